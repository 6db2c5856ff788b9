package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/creachadair/jrpc2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// Peer is another node.
type Peer struct {
	// Name is the node's name.
	Name string
	// Addr is its address as host:port.
	Addr string
}

// Timing sets the bounds of a connection. Zero fields take the defaults.
type Timing struct {
	// Heartbeat is the interval between heartbeats.
	Heartbeat time.Duration
	// Silence is how long a connection may give no sign of life in either
	// direction. Both ends notice within Silence and two Heartbeats.
	Silence time.Duration
	// Dial bounds connecting, and again the handshake.
	Dial time.Duration
	// BackoffMin and BackoffMax bound the wait between two attempts to connect.
	BackoffMin, BackoffMax time.Duration
}

// Default bounds: both ends notice a silent connection within one second.
const (
	DefaultHeartbeat  = 200 * time.Millisecond
	DefaultSilence    = 600 * time.Millisecond
	DefaultDial       = time.Second
	DefaultBackoffMin = 20 * time.Millisecond
	DefaultBackoffMax = time.Second
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.Heartbeat, DefaultHeartbeat)
	setDefault(&t.Silence, DefaultSilence)
	setDefault(&t.Dial, DefaultDial)
	setDefault(&t.BackoffMin, DefaultBackoffMin)
	setDefault(&t.BackoffMax, DefaultBackoffMax)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Options configure a Mesh.
type Options struct {
	// Self is this node's name.
	Self string
	// Addr is the address to listen on as host:port.
	Addr string
	// Peers are the other nodes; an entry for Self is ignored.
	Peers []Peer
	// Secret is shared by all nodes.
	Secret string
	// AcceptUnlisted lets nodes that are not among Peers connect; they must know
	// the secret all the same.
	AcceptUnlisted bool
	// Mux answers the peers' requests.
	Mux *Mux
	// Log receives connects and disconnects.
	Log logrus.FieldLogger
	// Timing sets the bounds; its zero value takes the defaults.
	Timing Timing
	// Seed seeds the jitter of the backoff.
	Seed uint64
}

// Mesh holds the connections to and from the peers. All methods may be called
// from any goroutine.
type Mesh struct {
	opts     Options
	listener net.Listener
	counters counters

	mu      sync.Mutex
	dialers map[string]*dialer
	inbound map[string]*link
	running *errgroup.Group
	ctx     context.Context
}

// New listens on the address and returns a mesh that does nothing before Run.
func New(opts Options) (*Mesh, error) {
	opts.Timing = opts.Timing.withDefaults()
	if opts.Secret == "" {
		return nil, errors.New("peers need a shared secret")
	}
	listener, err := net.Listen("tcp", opts.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", opts.Addr)
	}
	m := &Mesh{
		opts:     opts,
		listener: listener,
		dialers:  map[string]*dialer{},
		inbound:  map[string]*link{},
	}
	m.SetPeers(opts.Peers)
	return m, nil
}

// Addr returns the address that the mesh listens on.
func (m *Mesh) Addr() string { return m.listener.Addr().String() }

// Run connects to the peers and serves them until the context ends. It returns
// after all of its goroutines.
func (m *Mesh) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	m.mu.Lock()
	m.running, m.ctx = group, ctx
	for _, d := range m.dialers {
		m.start(d)
	}
	m.mu.Unlock()
	group.Go(func() error {
		m.acceptLoop(ctx, group)
		return nil
	})
	<-ctx.Done()
	m.mu.Lock()
	m.running = nil
	m.mu.Unlock()
	m.listener.Close()
	return group.Wait()
}

// Close releases the address of a mesh that was never run.
func (m *Mesh) Close() error { return m.listener.Close() }

// SetPeers replaces the list of peers. Connections to and from peers that are
// no longer listed, or listed under another address, are closed.
func (m *Mesh) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := map[string]string{}
	for _, p := range peers {
		if p.Name != m.opts.Self {
			listed[p.Name] = p.Addr
		}
	}
	for name, d := range m.dialers {
		if addr, ok := listed[name]; !ok || addr != d.peer.Addr {
			m.drop(name, d)
		}
	}
	for name, addr := range listed {
		if m.dialers[name] == nil {
			d := newDialer(m, Peer{Name: name, Addr: addr})
			m.dialers[name] = d
			m.start(d)
		}
	}
}

// drop stops a dialer and the peer's inbound link. The caller holds mu.
func (m *Mesh) drop(name string, d *dialer) {
	d.stop()
	delete(m.dialers, name)
	if in := m.inbound[name]; in != nil {
		in.Close()
	}
}

// start runs a dialer when the mesh runs. The caller holds mu.
func (m *Mesh) start(d *dialer) {
	if m.running == nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	d.stop = cancel
	m.running.Go(func() error {
		defer cancel()
		d.run(ctx)
		return nil
	})
}

// Call sends a request and waits for its answer, which it decodes into result
// unless that is nil. An error is marked ErrNotSent or ErrUnknown, or it is the
// RemoteError of the handler.
func (m *Mesh) Call(ctx context.Context, to, method string, params, result any) error {
	err := m.call(ctx, to, method, params, result)
	switch {
	case errors.Is(err, ErrNotSent):
		m.counters.notSent.Add(1)
	case errors.Is(err, ErrUnknown):
		m.counters.unknown.Add(1)
	}
	return err
}

func (m *Mesh) call(ctx context.Context, to, method string, params, result any) error {
	if err := ctx.Err(); err != nil {
		return notSent(err)
	}
	client, err := m.client(to)
	if err != nil {
		return notSent(err)
	}
	sealed, err := seal(ctx, params)
	if err != nil {
		return notSent(err)
	}
	answers, err := client.Batch(ctx, []jrpc2.Spec{{Method: method, Params: sealed}})
	if err != nil {
		return notSent(err)
	}
	if e := answers[0].Error(); e != nil {
		return errors.Wrapf(answerError(e), "%s at %s", method, to)
	}
	if result == nil {
		return nil
	}
	if err := answers[0].UnmarshalResult(result); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode answer of %s at %s", method, to), ErrUnknown)
	}
	return nil
}

// Notify queues a notification and reports whether it was queued. It never
// blocks; a notification is dropped, and counted, when the peer is not
// connected or its queue is full.
func (m *Mesh) Notify(to, method string, params any) bool {
	err := m.notify(to, method, params)
	if err != nil {
		m.counters.dropped.Add(1)
	}
	return err == nil
}

func (m *Mesh) notify(to, method string, params any) error {
	client, err := m.client(to)
	if err != nil {
		return err
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	return client.Notify(context.Background(), method, envelope{Params: data})
}

// Reachable reports whether the connection to a peer is open and has returned
// a heartbeat.
func (m *Mesh) Reachable(to string) bool {
	m.mu.Lock()
	d := m.dialers[to]
	m.mu.Unlock()
	return d != nil && d.reachable()
}

// Stats returns the counters.
func (m *Mesh) Stats() Stats { return m.counters.stats() }

func (m *Mesh) client(to string) (*jrpc2.Client, error) {
	m.mu.Lock()
	d := m.dialers[to]
	m.mu.Unlock()
	if d == nil {
		return nil, errors.Newf("no peer named %q", to)
	}
	client := d.current()
	if client == nil {
		return nil, errors.Newf("no connection to %q", to)
	}
	return client, nil
}
