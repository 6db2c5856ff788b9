package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Direction is one direction of a connection.
type Direction uint8

// Directions.
const (
	// ToTarget is from the client to the target.
	ToTarget Direction = iota
	// ToClient is from the target to the client.
	ToClient
)

// Conn is one relayed connection.
type Conn struct {
	client *net.TCPConn
	// done is closed when the connection has ended at both ends.
	done chan struct{}

	mu      sync.Mutex
	target  *net.TCPConn
	rules   [2]Rule
	changed chan struct{}
	relayed [2]int64
	ended   bool
}

// newConn makes a connection whose target is not connected yet.
func newConn(client *net.TCPConn) *Conn {
	return &Conn{client: client, done: make(chan struct{}), changed: make(chan struct{})}
}

// Set replaces the rules of both directions.
func (c *Conn) Set(r Rules) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules = [2]Rule{r.ToTarget, r.ToClient}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Relayed is the number of bytes relayed in a direction.
func (c *Conn) Relayed(d Direction) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed[d]
}

// Reset resets the connection at both ends.
func (c *Conn) Reset() {
	c.finish(true)
}

// HalfClose tells the receiver of a direction that the stream has ended. The
// other direction stays open.
func (c *Conn) HalfClose(d Direction) {
	if to := c.receiver(d); to != nil {
		_ = to.CloseWrite()
	}
}

// finish closes both ends once, by a reset or cleanly.
func (c *Conn) finish(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	closeEnd(c.client, reset)
	if c.target != nil {
		closeEnd(c.target, reset)
	}
	close(c.done)
}

// closeEnd closes one end, by a reset or cleanly.
func closeEnd(end *net.TCPConn, reset bool) {
	if reset {
		_ = end.SetLinger(0)
	}
	_ = end.Close()
}

// receiver is the end that gets the bytes of a direction.
func (c *Conn) receiver(d Direction) *net.TCPConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d == ToClient {
		return c.client
	}
	return c.target
}

// run relays both directions until the connection has ended.
func (c *Conn) run(target *net.TCPConn) {
	c.mu.Lock()
	c.target = target
	ended := c.ended
	c.mu.Unlock()
	if ended {
		closeEnd(target, true)
		return
	}
	var pumps sync.WaitGroup
	lingering := [2]bool{}
	pumps.Go(func() { lingering[ToTarget] = c.pump(ToTarget, c.client, target) })
	pumps.Go(func() { lingering[ToClient] = c.pump(ToClient, target, c.client) })
	pumps.Wait()
	if lingering[ToTarget] || lingering[ToClient] {
		// One end is gone and the other has not been told.
		<-c.done
	}
	c.finish(false)
}

// pump relays one direction. It returns true if the end of the stream was not
// told to the receiver, which then waits for good.
func (c *Conn) pump(d Direction, from, to *net.TCPConn) bool {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.forward(d, to, buffer[:n]) {
			// The receiver is gone. The other pump ends by its read.
			discard(from, buffer)
			return false
		}
		if err == nil {
			continue
		}
		rule, open := c.await(d)
		if !open {
			return false
		}
		if rule.Drop {
			return true
		}
		if !errors.Is(err, io.EOF) {
			c.finish(true)
			return false
		}
		_ = to.CloseWrite()
		return false
	}
}

// await waits while the direction is held. It returns the rule in force, and
// false if the connection has ended.
func (c *Conn) await(d Direction) (Rule, bool) {
	for {
		c.mu.Lock()
		rule, changed := c.rules[d], c.changed
		c.mu.Unlock()
		if !rule.Hold {
			return rule, true
		}
		select {
		case <-changed:
		case <-c.done:
			return rule, false
		}
	}
}

// forward relays one piece by the rule in force. It returns false if the
// direction has ended.
func (c *Conn) forward(d Direction, to *net.TCPConn, piece []byte) bool {
	rule, open := c.await(d)
	if !open {
		return false
	}
	if rule.Drop {
		return true
	}
	if rule.Delay > 0 && !c.sleep(rule.Delay) {
		return false
	}
	already := c.Relayed(d)
	cutAt, reset := limitOf(rule)
	if cutAt > 0 && already+int64(len(piece)) >= cutAt {
		rest := max(0, cutAt-already)
		_, _ = to.Write(piece[:rest])
		c.count(d, rest)
		c.end(to, reset)
		return false
	}
	n, err := to.Write(piece)
	c.count(d, int64(n))
	return err == nil
}

// limitOf is the byte at which a rule ends a direction, zero for none, and
// whether it does so by a reset.
func limitOf(r Rule) (at int64, reset bool) {
	if r.ResetAfter > 0 {
		return r.ResetAfter, true
	}
	return r.TruncateAfter, false
}

// end ends a direction at its limit.
func (c *Conn) end(to *net.TCPConn, reset bool) {
	if reset {
		c.finish(true)
		return
	}
	_ = to.CloseWrite()
}

// count adds to the relayed bytes of a direction.
func (c *Conn) count(d Direction, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayed[d] += n
}

// discard reads a direction to its end and loses it, so that the sender is not
// held up.
func discard(from *net.TCPConn, buffer []byte) {
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}

// sleep waits for d and returns false if the connection ends meanwhile.
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
