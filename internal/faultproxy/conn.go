package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Direction is one of the two directions of a connection.
type Direction uint8

// Directions of a connection.
const (
	// ToTarget is from the client to the target.
	ToTarget Direction = iota
	// ToClient is from the target to the client.
	ToClient
)

// Conn is one relayed connection. It is safe for concurrent use.
type Conn struct {
	client *net.TCPConn
	// done is closed when the sockets to the client and the target are closed.
	done chan struct{}

	mu     sync.Mutex
	target *net.TCPConn
	rules  [2]Rule
	// rulesChanged is closed and replaced whenever the rules change.
	rulesChanged chan struct{}
	// relayed counts the relayed bytes by Direction.
	relayed [2]int64
	closed  bool
}

// newConn returns a connection that is not connected to the target yet.
func newConn(client *net.TCPConn) *Conn {
	return &Conn{client: client, done: make(chan struct{}), rulesChanged: make(chan struct{})}
}

// Set replaces the rules of both directions. A direction that is held follows its new
// rule at once.
func (c *Conn) Set(r Rules) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules = [2]Rule{r.ToTarget, r.ToClient}
	close(c.rulesChanged)
	c.rulesChanged = make(chan struct{})
}

// Relayed returns the number of bytes relayed in a direction.
func (c *Conn) Relayed(d Direction) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed[d]
}

// Reset resets the connection to the client and the one to the target.
func (c *Conn) Reset() {
	c.closeBoth(true)
}

// HalfClose ends the stream that the receiver of one direction reads (FIN). The other
// direction stays open.
func (c *Conn) HalfClose(d Direction) {
	if to := c.receiver(d); to != nil {
		_ = to.CloseWrite()
	}
}

// closeBoth closes the sockets to the client and the target, with a reset or cleanly.
// Calls after the first do nothing.
func (c *Conn) closeBoth(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	closeSocket(c.client, reset)
	if c.target != nil {
		closeSocket(c.target, reset)
	}
	close(c.done)
}

// closeSocket closes one socket, with a reset (RST) or cleanly (FIN).
func closeSocket(socket *net.TCPConn, reset bool) {
	if reset {
		_ = socket.SetLinger(0)
	}
	_ = socket.Close()
}

// receiver returns the socket to which the bytes of a direction are written, or nil if
// that is the target and it is not connected yet.
func (c *Conn) receiver(d Direction) *net.TCPConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d == ToClient {
		return c.client
	}
	return c.target
}

// run relays both directions until the connection is closed.
func (c *Conn) run(target *net.TCPConn) {
	c.mu.Lock()
	c.target = target
	closed := c.closed
	c.mu.Unlock()
	if closed {
		closeSocket(target, true)
		return
	}
	var pumps sync.WaitGroup
	eofDropped := [2]bool{}
	pumps.Go(func() { eofDropped[ToTarget] = c.pump(ToTarget, c.client, target) })
	pumps.Go(func() { eofDropped[ToClient] = c.pump(ToClient, target, c.client) })
	pumps.Wait()
	if eofDropped[ToTarget] || eofDropped[ToClient] {
		// One side has ended but a Drop rule hides that from the other, which must see
		// an open connection until Reset closes it.
		<-c.done
	}
	c.closeBoth(false)
}

// pump relays one direction until its stream ends. It returns true if a Drop rule kept the
// end of the stream from the receiver, whose connection then stays open.
func (c *Conn) pump(d Direction, from, to *net.TCPConn) bool {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.forward(d, to, buffer[:n]) {
			// This direction has ended. The other one is relayed until its own stream
			// ends or the connection is closed.
			discard(from, buffer)
			return false
		}
		if err == nil {
			continue
		}
		rule, open := c.awaitRelease(d)
		if !open {
			return false
		}
		if rule.Drop {
			return true
		}
		if !errors.Is(err, io.EOF) {
			c.closeBoth(true)
			return false
		}
		_ = to.CloseWrite()
		return false
	}
}

// awaitRelease waits while the direction is held. It returns the current rule, and false
// if the connection was closed meanwhile.
func (c *Conn) awaitRelease(d Direction) (Rule, bool) {
	for {
		c.mu.Lock()
		rule, rulesChanged := c.rules[d], c.rulesChanged
		c.mu.Unlock()
		if !rule.Hold {
			return rule, true
		}
		select {
		case <-rulesChanged:
		case <-c.done:
			return rule, false
		}
	}
}

// forward relays one chunk according to the current rule. It returns false if the
// direction has ended.
func (c *Conn) forward(d Direction, to *net.TCPConn, chunk []byte) bool {
	rule, open := c.awaitRelease(d)
	if !open {
		return false
	}
	if rule.Drop {
		return true
	}
	if rule.Delay > 0 && !c.sleep(rule.Delay) {
		return false
	}
	relayed := c.Relayed(d)
	cutAt, reset := byteLimit(rule)
	if cutAt > 0 && relayed+int64(len(chunk)) >= cutAt {
		rest := max(0, cutAt-relayed)
		_, _ = to.Write(chunk[:rest])
		c.addRelayed(d, rest)
		c.endDirection(to, reset)
		return false
	}
	n, err := to.Write(chunk)
	c.addRelayed(d, int64(n))
	return err == nil
}

// byteLimit returns the number of bytes after which a rule ends a direction, zero for
// never, and whether it does so with a reset.
func byteLimit(r Rule) (at int64, reset bool) {
	if r.ResetAfter > 0 {
		return r.ResetAfter, true
	}
	return r.TruncateAfter, false
}

// endDirection ends a direction that has reached its byte limit. A reset closes the
// whole connection.
func (c *Conn) endDirection(to *net.TCPConn, reset bool) {
	if reset {
		c.closeBoth(true)
		return
	}
	_ = to.CloseWrite()
}

// addRelayed adds n to the relayed bytes of a direction.
func (c *Conn) addRelayed(d Direction, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayed[d] += n
}

// discard reads a stream to its end and drops the bytes, so that the sender does not
// block.
func discard(from *net.TCPConn, buffer []byte) {
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}

// sleep waits for d and returns true. It returns false early if the connection is closed.
func (c *Conn) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}
