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

	"github.com/agateslip/agateslip/internal/pause"
)

// dialer keeps one connection to one peer.
type dialer struct {
	mesh   *Mesh
	peer   Peer
	random *rand.Rand
	// stop ends run; the mesh sets it when it starts the dialer.
	stop context.CancelFunc

	mu     sync.Mutex
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
	}
}

// run connects again and again until the context ends.
func (d *dialer) run(ctx context.Context) {
	backoff := d.mesh.opts.Timing.BackoffMin
	for ctx.Err() == nil {
		link, err := d.connect(ctx)
		if err != nil {
			d.mesh.counters.dialFailures.Add(1)
			d.log(err)
			d.wait(ctx, backoff)
			backoff = min(2*backoff, d.mesh.opts.Timing.BackoffMax)
			continue
		}
		d.serve(ctx, link)
		backoff = d.mesh.opts.Timing.BackoffMin
		d.wait(ctx, backoff)
	}
}

// wait sleeps for between half of the backoff and all of it.
func (d *dialer) wait(ctx context.Context, backoff time.Duration) {
	half := backoff / 2
	pause.For(ctx, half+time.Duration(d.random.Int64N(int64(half)+1)))
}

// connect dials the peer and proves both ends.
func (d *dialer) connect(ctx context.Context) (*link, error) {
	t := d.mesh.opts.Timing
	netDialer := net.Dialer{Timeout: t.Dial}
	conn, err := netDialer.DialContext(ctx, "tcp", d.peer.Addr)
	if err != nil {
		return nil, err
	}
	closeOnDone := context.AfterFunc(ctx, func() { conn.Close() })
	defer closeOnDone()
	watched := watchConn(conn, &d.mesh.counters)
	reader := bufio.NewReader(watched)
	h := handshake{secret: []byte(d.mesh.opts.Secret), self: d.mesh.opts.Self, conn: watched, reader: reader}
	err = h.withDeadline(t.Dial, func() error { return h.dial(d.peer.Name) })
	if err != nil {
		conn.Close()
		return nil, err
	}
	d.mesh.counters.connects.Add(1)
	return newLink(watched, reader, t, &d.mesh.counters), nil
}

// serve uses the link until it is closed.
func (d *dialer) serve(ctx context.Context, l *link) {
	closeOnDone := context.AfterFunc(ctx, func() { l.Close() })
	defer closeOnDone()
	client := jrpc2.NewClient(l, nil)
	d.set(l, client)
	l.run()
	d.set(nil, nil)
	client.Close()
}

func (d *dialer) set(l *link, c *jrpc2.Client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.link, d.client = l, c
}

func (d *dialer) current() *jrpc2.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.client
}

func (d *dialer) reachable() bool {
	d.mu.Lock()
	l := d.link
	d.mu.Unlock()
	return l != nil && l.alive()
}

func (d *dialer) log(err error) {
	d.mesh.opts.Log.WithField("peer", d.peer.Name).WithError(err).Debug("connect to peer")
}
