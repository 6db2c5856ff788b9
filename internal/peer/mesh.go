package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/creachadair/jrpc2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/agateslip/agateslip/internal/connlimit"
)

// Peer is another node.
type Peer struct {
	// Name is the node's name.
	Name string
	// Addr is its address as host:port.
	Addr string
}

// Timing sets the intervals and timeouts of connections. Zero fields mean the defaults.
type Timing struct {
	// Heartbeat is the interval between heartbeats.
	Heartbeat time.Duration
	// SilenceTimeout is how long either direction of a connection may be silent before
	// the connection is closed. Both ends detect the silence within SilenceTimeout plus
	// two Heartbeats.
	SilenceTimeout time.Duration
	// DialTimeout is the timeout for connecting and, separately, for the handshake.
	DialTimeout time.Duration
	// BackoffMin and BackoffMax bound the backoff between two attempts to connect.
	BackoffMin, BackoffMax time.Duration
}

// Default values of Timing. With these, both ends detect a silent connection within one
// second.
const (
	DefaultHeartbeat  = 200 * time.Millisecond
	DefaultSilence    = 600 * time.Millisecond
	DefaultDial       = time.Second
	DefaultBackoffMin = 20 * time.Millisecond
	DefaultBackoffMax = time.Second
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.Heartbeat, DefaultHeartbeat)
	setDefault(&t.SilenceTimeout, DefaultSilence)
	setDefault(&t.DialTimeout, DefaultDial)
	setDefault(&t.BackoffMin, DefaultBackoffMin)
	setDefault(&t.BackoffMax, DefaultBackoffMax)
	return t
}

// setDefault sets a zero d to value.
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
	// Peers lists the other nodes. An entry for Self is ignored.
	Peers []Peer
	// Secret is the secret shared by all nodes. It must not be empty.
	Secret string
	// AcceptUnlisted accepts connections from nodes that are not in Peers. They must
	// still prove that they know the secret.
	AcceptUnlisted bool
	// Mux handles the peers' requests and notifications.
	Mux *Mux
	// Log receives failed dials, failed accepts, rejected connections and ended
	// inbound connections.
	Log logrus.FieldLogger
	// Timing sets the intervals and timeouts; zero fields mean the defaults.
	Timing Timing
	// Seed seeds the random jitter of the backoff.
	Seed uint64
	// MaxPending bounds the inbound connections that have not finished the handshake; zero means the default. Beyond
	// it, the oldest one is closed.
	MaxPending int
}

// Mesh maintains the connections to and from the peers. All methods may be called from
// any goroutine.
type Mesh struct {
	opts     Options
	listener net.Listener
	counters counters

	mu sync.Mutex
	// dialers and inbound are keyed by the peer's name.
	dialers map[string]*dialer
	inbound map[string]*link
	// group runs the mesh's goroutines with runCtx. It is nil while Run does not run.
	group  *errgroup.Group
	runCtx context.Context
}

// New listens on the address and returns a mesh that accepts and dials no connections
// until Run. It returns an error if the secret is empty or it cannot listen.
func New(opts Options) (*Mesh, error) {
	opts.Timing = opts.Timing.withDefaults()
	if opts.Secret == "" {
		return nil, errors.New("peer secret is empty")
	}
	listener, err := net.Listen("tcp", opts.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", opts.Addr)
	}
	m := &Mesh{
		opts:    opts,
		dialers: map[string]*dialer{},
		inbound: map[string]*link{},
	}
	pending := connlimit.ListenerOptions{Name: "links", MaxIncomplete: cmp.Or(opts.MaxPending, defaultMaxPending)}
	m.listener = connlimit.New(0, nil).Listen(listener, pending)
	m.SetPeers(opts.Peers)
	return m, nil
}

// Addr returns the address on which the mesh listens, as host:port.
func (m *Mesh) Addr() string { return m.listener.Addr().String() }

// Run connects to the peers and serves their requests until the context ends. It
// returns once all of its goroutines have returned.
func (m *Mesh) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	m.mu.Lock()
	m.group, m.runCtx = group, ctx
	for _, d := range m.dialers {
		m.startDialer(d)
	}
	m.mu.Unlock()
	group.Go(func() error {
		m.acceptLoop(ctx, group)
		return nil
	})
	<-ctx.Done()
	m.mu.Lock()
	m.group = nil
	m.mu.Unlock()
	m.listener.Close()
	return group.Wait()
}

// Close closes the listener of a mesh that was never run.
func (m *Mesh) Close() error { return m.listener.Close() }

// SetPeers replaces the list of peers. It closes the connections to and from peers that
// are no longer listed or whose address changed.
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
			m.removePeer(name, d)
		}
	}
	for name, addr := range listed {
		if m.dialers[name] == nil {
			d := newDialer(m, Peer{Name: name, Addr: addr})
			m.dialers[name] = d
			m.startDialer(d)
		}
	}
}

// removePeer stops a peer's dialer and closes its inbound link. The caller holds mu.
func (m *Mesh) removePeer(name string, d *dialer) {
	d.stop()
	delete(m.dialers, name)
	if in := m.inbound[name]; in != nil {
		in.Close()
	}
}

// startDialer starts a dialer if the mesh runs. The caller holds mu.
func (m *Mesh) startDialer(d *dialer) {
	if m.group == nil {
		return
	}
	ctx, cancel := context.WithCancel(m.runCtx)
	d.stop = cancel
	m.group.Go(func() error {
		defer cancel()
		d.run(ctx)
		return nil
	})
}

// Call sends a request to the node named to, waits for the response and decodes it into
// result, unless result is nil. Every error matches ErrNotSent, ErrOutcomeUnknown or a
// RemoteError.
func (m *Mesh) Call(ctx context.Context, to, method string, params, result any) error {
	err := m.call(ctx, to, method, params, result)
	switch {
	case errors.Is(err, ErrNotSent):
		m.counters.notSent.Add(1)
	case errors.Is(err, ErrOutcomeUnknown):
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
	request, err := newEnvelope(ctx, params)
	if err != nil {
		return notSent(err)
	}
	responses, err := client.Batch(ctx, []jrpc2.Spec{{Method: method, Params: request}})
	if err != nil {
		return notSent(err)
	}
	if e := responses[0].Error(); e != nil {
		return errors.Wrapf(convertResponseError(e), "%s at %s", method, to)
	}
	if result == nil {
		return nil
	}
	if err := responses[0].UnmarshalResult(result); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode answer of %s at %s", method, to), ErrOutcomeUnknown)
	}
	return nil
}

// Notify queues a notification to the node named to and reports whether it was queued.
// It never blocks: if the peer is not connected or its queue is full, it drops the
// notification and counts it.
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

// Reachable reports whether the connection to a peer is open and the peer has
// acknowledged a heartbeat on it.
func (m *Mesh) Reachable(to string) bool {
	m.mu.Lock()
	d := m.dialers[to]
	m.mu.Unlock()
	return d != nil && d.reachable()
}

// Connected reports whether there is an open connection to a peer, so that a request can be sent. Unlike
// Reachable, it does not wait for the peer's first heartbeat.
func (m *Mesh) Connected(to string) bool {
	_, err := m.client(to)
	return err == nil
}

// Stats returns the counters.
func (m *Mesh) Stats() Stats { return m.counters.stats() }

// client returns the JSON-RPC client on the open connection to a peer, or an error if
// there is none.
func (m *Mesh) client(to string) (*jrpc2.Client, error) {
	m.mu.Lock()
	d := m.dialers[to]
	m.mu.Unlock()
	if d == nil {
		return nil, errors.Newf("no peer named %q", to)
	}
	client := d.currentClient()
	if client == nil {
		return nil, errors.Newf("no connection to %q", to)
	}
	return client, nil
}
