// Package edge is an entry node of a managed deployment: it takes callers'
// requests, finds their route in the configuration in force, has package dispatch
// choose an upstream, and relays the answer.
//
// It follows the leading control node for configuration and upstreams. What it
// knows it goes on using while no control node is in reach; it never goes back to
// an older configuration.
package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/controller"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
	"github.com/agateslip/agateslip/internal/owner"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/supervisor"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/residency"
	"github.com/agateslip/agateslip/routes"
)

const (
	// dialTime bounds a new connection to an upstream. Within a region it takes a
	// few milliseconds, and a lost opening packet costs a second.
	dialTime = 300 * time.Millisecond
	// tickInterval is the cadence of decisions while calls wait.
	tickInterval = 20 * time.Millisecond
	// tidyInterval is the cadence of closing idle connections.
	tidyInterval = 250 * time.Millisecond
)

// view is the configuration in force. It never changes.
type view struct {
	version uint64
	table   *routes.Table
}

// Edge is one entry node.
type Edge struct {
	cfg        config.Managed
	log        *eventlog.Log
	dialect    Dialect
	decode     controller.Decoder
	metrics    *metrics.Set
	mesh       *peer.Mesh
	pool       *upstreamconn.Pool
	loop       *owner.Loop
	leader     *leaderFinder
	view       atomic.Pointer[view]
	entries    atomic.Int64
	lastCallID atomic.Uint64
	// stopping says that the node was told to stop.
	stopping atomic.Bool
	active   atomic.Int64
	// closing ends when calls that wait are turned away, because the node will not
	// be there for their answers.
	closing chan struct{}
	// waitingCalls is how many calls have no verdict yet.
	waitingCalls atomic.Int64
	// stirred wakes the reporter of demand.
	stirred chan struct{}
	// loads belongs to the reporter of demand.
	loads loadsKnown

	// The rest belongs to the loop.
	dispatcher *dispatch.Dispatcher
	waiters    map[dispatch.CallID]chan dispatch.Verdict
	budgets    map[string]*retryBudget
	upstreams  map[string]known
	reported   map[dispatch.ModelKey]uint64
	quality    map[string]residency.Quality
	judged     map[string]residency.Quality
}

// known is an upstream as this node last heard of it.
type known struct {
	desc fleet.Upstream
	// doubted is since when the leader does not list it; zero while it does.
	doubted time.Duration
}

// New makes an entry node.
func New(cfg config.Managed, log *eventlog.Log, dialect Dialect, decode controller.Decoder) (*Edge, error) {
	seeds, err := cfg.SeedLinks()
	if err != nil {
		return nil, err
	}
	e := &Edge{
		cfg: cfg, log: log, dialect: dialect, decode: decode,
		metrics:    metrics.New("entry." + cfg.Node),
		pool:       upstreamconn.NewPool(dialTime),
		loop:       owner.New(),
		leader:     newLeaderFinder(seeds),
		stirred:    make(chan struct{}, 1),
		closing:    make(chan struct{}),
		dispatcher: dispatch.New(dispatch.DefaultLimits(), cfg.Domain),
		waiters:    map[dispatch.CallID]chan dispatch.Verdict{},
		budgets:    map[string]*retryBudget{},
		upstreams:  map[string]known{},
		reported:   map[dispatch.ModelKey]uint64{},
		quality:    map[string]residency.Quality{},
		judged:     map[string]residency.Quality{},
	}
	e.entries.Store(1)
	e.publishGauges()
	e.mesh, err = peer.New(peer.Options{
		Self: cfg.Node, Addr: cfg.Listen.BindLinks(), Secret: cfg.Secret, Mux: peer.NewMux(),
		Log:    log.Logger().WithField("part", "links"),
		Timing: peer.Timing{Heartbeat: linkHeartbeat, Silence: linkSilence, BackoffMax: linkBackoff},
	})
	if err != nil {
		return nil, err
	}
	return e, nil
}

// publishGauges publishes what the node holds at present.
func (e *Edge) publishGauges() {
	e.metrics.Gauge("callsActive", e.active.Load)
	e.metrics.Gauge("callsWaiting", e.waitingCalls.Load)
	e.metrics.Gauge("entryNodes", e.entries.Load)
	e.metrics.Gauge("configurationVersion", func() int64 {
		if v := e.view.Load(); v != nil {
			return int64(v.version)
		}
		return 0
	})
	e.metrics.Gauge("upstreamConnectionsOpened", func() int64 { return int64(e.pool.Stats().Opened) })
}

// Run runs the node until the context ends and its callers are served.
func (e *Edge) Run(ctx context.Context) error {
	tree := supervisor.Tree{
		Log: e.log.Logger(),
		Parts: []supervisor.Part{
			{Name: "state", Run: e.loop.Run},
			{Name: "links", Run: e.mesh.Run},
			{Name: "news", Run: e.follow},
			{Name: "demand", Run: e.reportDemand},
			{Name: "ticker", Run: e.tick},
			{Name: "readiness", Run: func(ctx context.Context) error { return e.serve(ctx, e.cfg.Listen.Ready, e.readiness(), 0) }},
			{Name: "callers", Run: e.serveCallers},
		},
	}
	return tree.Run(ctx)
}

// readiness answers the balancer: this node takes callers once it has a
// configuration and until it is told to stop.
func (e *Edge) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if e.view.Load() == nil || e.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// serve runs an HTTP server until the context ends, then for the given time.
func (e *Edge) serve(ctx context.Context, addr string, handler http.Handler, linger time.Duration) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrapf(err, "serve on %s", addr)
	case <-ctx.Done():
	}
	if linger > 0 {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), linger)
		defer cancel()
		if err := server.Shutdown(bounded); err == nil {
			return nil
		}
	}
	server.Close()
	return nil
}

// tick lets time make its decisions.
func (e *Edge) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	tidied := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if now.Sub(tidied) > tidyInterval {
				tidied = now
				e.pool.CloseExpired(now)
				e.loop.Post(func() { e.dropDoubted(boottime.Now()) })
			}
		}
		if e.waitingCalls.Load() == 0 {
			continue
		}
		e.loop.Post(func() { e.deliver(e.dispatcher.Tick(boottime.Now())) })
	}
}

// apply puts a configuration in force unless this node has a newer one.
func (e *Edge) apply(c *confstate.Configure) {
	if v := e.view.Load(); v != nil && v.version >= c.Version {
		return
	}
	text, err := controller.Expand(c.Document)
	if err == nil {
		var conf *routes.Configuration
		if conf, err = e.decode(text); err == nil {
			e.view.Store(&view{version: c.Version, table: routes.NewTable(conf)})
			e.log.Event("configuration in force", eventlog.Fields{"version": c.Version, "routes": len(conf.Routes)})
			return
		}
	}
	e.log.Event("configuration unreadable", eventlog.Fields{"version": c.Version, "error": err.Error()})
}
