package peer

import (
	"bufio"
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"
)

// dialer maintains the outbound connection to one peer.
type dialer struct {
	mesh   *Mesh
	peer   Peer
	random *rand.Rand
	// stop ends run. The mesh sets it when it starts the dialer.
	stop context.CancelFunc
	// seen ends a backoff: the peer has just connected to this node.
	seen chan struct{}

	mu sync.Mutex
	// link and client are nil while there is no connection.
	link   *link
	client *jrpc2.Client
}

func newDialer(m *Mesh, p Peer) *dialer {
	h := fnv.New64a()
	h.Write([]byte(p.Name))
	return &dialer{
		mesh:   m,
		peer:   p,
		random: rand.New(rand.NewPCG(m.opts.Seed, h.Sum64())),
		stop:   func() {},
		seen:   make(chan struct{}, 1),
	}
}

// run keeps the peer connected until the context ends. Failed attempts are retried with
// exponential backoff.
func (d *dialer) run(ctx context.Context) {
	backoff := d.mesh.opts.Timing.BackoffMin
	for ctx.Err() == nil {
		link, err := d.dialPeer(ctx)
		if err != nil {
			d.mesh.counters.dialFailures.Add(1)
			d.logDialError(err)
			if d.waitBackoff(ctx, backoff) {
				backoff = d.mesh.opts.Timing.BackoffMin
			} else {
				backoff = min(2*backoff, d.mesh.opts.Timing.BackoffMax)
			}
			continue
		}
		d.runLink(ctx, link)
		backoff = d.mesh.opts.Timing.BackoffMin
		d.waitBackoff(ctx, backoff)
	}
}

// waitBackoff sleeps for a random time between half of the backoff and all of it, until the peer connects to
// this node, or until the context ends. It reports whether the peer connected.
func (d *dialer) waitBackoff(ctx context.Context, backoff time.Duration) (seen bool) {
	half := backoff / 2
	timer := time.NewTimer(half + time.Duration(d.random.Int64N(int64(half)+1)))
	defer timer.Stop()
	select {
	case <-d.seen:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// dialPeer connects to the peer and runs the handshake, in which both ends prove that
// they know the secret.
func (d *dialer) dialPeer(ctx context.Context) (*link, error) {
	timing := d.mesh.opts.Timing
	var netDialer net.Dialer
	connectCtx, cancel := context.WithTimeout(ctx, timing.DialTimeout)
	defer cancel()
	conn, err := connect(connectCtx, reconnectInterval, func(ctx context.Context) (net.Conn, error) {
		return netDialer.DialContext(ctx, "tcp", d.peer.Addr)
	})
	if err != nil {
		return nil, err
	}
	cancelClose := context.AfterFunc(ctx, func() { conn.Close() })
	defer cancelClose()
	progress := newProgressConn(conn, &d.mesh.counters)
	reader := bufio.NewReader(progress)
	h := handshake{secret: []byte(d.mesh.opts.Secret), self: d.mesh.opts.Self, conn: progress, reader: reader}
	err = h.withDeadline(timing.DialTimeout, func() error { return h.runDialer(d.peer.Name) })
	if err != nil {
		conn.Close()
		return nil, err
	}
	d.mesh.counters.connects.Add(1)
	return newLink(progress, reader, timing, &d.mesh.counters), nil
}

// runLink makes the link the dialer's current one and runs it until it is closed or the
// context ends.
func (d *dialer) runLink(ctx context.Context, l *link) {
	cancelClose := context.AfterFunc(ctx, func() { l.Close() })
	defer cancelClose()
	client := jrpc2.NewClient(l, nil)
	d.setLink(l, client)
	l.run()
	d.setLink(nil, nil)
	client.Close()
}

func (d *dialer) setLink(l *link, c *jrpc2.Client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.link, d.client = l, c
}

// currentClient returns the client on the open connection, or nil.
func (d *dialer) currentClient() *jrpc2.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.client
}

// reachable reports whether the current link is alive.
func (d *dialer) reachable() bool {
	d.mu.Lock()
	l := d.link
	d.mu.Unlock()
	return l != nil && l.alive()
}

func (d *dialer) logDialError(err error) {
	d.mesh.opts.Log.WithField("peer", d.peer.Name).WithError(err).Debug("connecting to peer failed")
}
