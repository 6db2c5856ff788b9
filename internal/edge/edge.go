// Package edge implements the entry node of a managed deployment. It accepts callers'
// requests, finds each route in the configuration in force, asks package dispatch for
// an upstream, and relays the answer.
//
// An entry node gets the configuration and the list of upstreams from the leading
// control node. While no control node is reachable, it continues with what it has. It
// never returns to an older configuration.
package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/connlimit"
	"github.com/agateslip/agateslip/internal/controller"
	"github.com/agateslip/agateslip/internal/detour"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
	"github.com/agateslip/agateslip/internal/owner"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/supervisor"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/quarantine"
	"github.com/agateslip/agateslip/ratelimit"
	"github.com/agateslip/agateslip/residency"
	"github.com/agateslip/agateslip/routes"
)

const (
	// dialTimeout bounds the setup of a connection to an upstream. Within a region this
	// takes a few milliseconds; a lost SYN packet costs a second.
	dialTimeout = 300 * time.Millisecond
	// tickInterval is the interval at which the dispatcher runs while calls wait.
	tickInterval = 20 * time.Millisecond
	// cleanupInterval is the interval at which expired idle connections are closed and
	// upstreams that the leader no longer lists are dropped.
	cleanupInterval = 250 * time.Millisecond
)

// routingConfig is a version of the configuration with its route table. It is
// immutable.
type routingConfig struct {
	version uint64
	table   *routes.Table
}

// Edge is an entry node.
type Edge struct {
	cfg     config.Managed
	log     *eventlog.Log
	dialect Dialect
	decode  controller.Decoder
	metrics *metrics.Set
	mesh    *peer.Mesh
	dial    upstreamconn.Dial
	// paths opens connections to upstreams with dial, or through other entry nodes that detours
	// knows; helper lets those connect through this node.
	paths   *detour.Paths
	detours *detour.Client
	helper  *detour.Server
	pool    *upstreamconn.Pool
	loop    *owner.Loop
	leader  *leaderFinder
	// routing is the configuration in force; nil before the first one arrives.
	routing atomic.Pointer[routingConfig]
	// unreadable is the version of the latest configuration that this node could not read; zero if there was
	// none. Only followLeader uses it.
	unreadable uint64
	proof      currencyProof
	// configured is closed once the first configuration is in force.
	configured chan struct{}
	// entryNodes is the number of entry nodes as last reported by the leader; initially 1.
	entryNodes atomic.Int64
	// quarantine identifies the calls to refuse; nil before the first list arrives.
	quarantine atomic.Pointer[quarantineList]
	lastCallID atomic.Uint64
	// streams records the streams that begin here.
	streams *streamRecorder
	// proofs are the questions whether an upstream has started again, by incarnation.
	proofs singleflight.Group
	// silentServices holds, by service, until when upstreams are not asked when they started.
	silentServices sync.Map
	// stopping is set once Stop was called: the node reports itself as not ready.
	stopping atomic.Bool
	// guard and shares limit the connections to the process.
	guard  *connlimit.Guard
	shares connlimit.Shares
	// bodies bounds the bodies that the calls in progress hold.
	bodies *bodybuffer.Budget
	// activeCalls is the number of callers' requests in progress.
	activeCalls atomic.Int64
	// closing is closed during a stop. From then on, calls that have not started are
	// turned away, because the node would end before it could relay their answers.
	closing chan struct{}
	// ending ends with the time for a stop: calls that still run then end with an answer of this node.
	ending context.Context
	end    context.CancelFunc
	// stopAt is when Stop was called, on the clock of package boottime; zero before that.
	stopAt atomic.Int64
	// waitingCalls is the number of calls that wait for the dispatcher's verdict.
	waitingCalls atomic.Int64
	// waitingQuota is the number of calls that wait for their tenant's quota.
	waitingQuota atomic.Int64
	// demandChanged wakes reportDemand.
	demandChanged chan struct{}
	// plannerCounts is used on the goroutine of reportDemand only.
	plannerCounts plannerCountsVersion

	// The fields below are used on the loop only.
	dispatcher *dispatch.Dispatcher
	quota      quotaShares
	// waiters holds the channels of the waiting calls; budgets is keyed by service.
	waiters   map[dispatch.CallID]chan dispatch.Verdict
	budgets   map[string]*retryBudget
	upstreams map[string]knownUpstream
	// upstreamsAskedAt is when this node asked for the latest list of upstreams that it received.
	upstreamsAskedAt time.Duration
	// reportedArrivals holds the arrivals that the leader has received.
	reportedArrivals map[dispatch.ModelKey]uint64
	// streamQuality counts finished streams by upstream ID; reportedQuality holds the
	// counts that the leader has received.
	streamQuality   map[string]residency.Quality
	reportedQuality map[string]residency.Quality
	crashEvidence   quarantine.Reporter
	// suspicions are calls that may have been lost with their upstreams.
	suspicions quarantine.Suspicions
	// trialWaiters are the calls whose wish for a trial the leader does not know yet.
	trialWaiters []trialWaiter
	// brittle is the leader's latest word on the services whose upstreams are brittle.
	brittle map[string]ratelimit.Brittle
	// overloaded holds the models that this node last logged as overloaded.
	overloaded map[dispatch.ModelKey]bool
	// memoryShort holds the services that this node last logged as short of engine memory.
	memoryShort map[string]bool
	// starved holds the tenants of each service that this node last logged as starved.
	starved map[string][]string
	// unreportedLeaving holds the upstreams that said that they are leaving and of which
	// the leader does not know it yet.
	unreportedLeaving map[fleet.Incarnation]bool
}

// knownUpstream is the latest description of an upstream that this node accepted.
type knownUpstream struct {
	desc fleet.Upstream
	// unlistedSince is when the leader stopped listing the upstream; zero while it is
	// listed.
	unlistedSince time.Duration
	// saidLeaving is set once the upstream said with an answer that it is leaving.
	saidLeaving bool
	// provedAt is the latest time, on the clock of package boottime, at which this incarnation is known to have run.
	provedAt time.Duration
}

// Option overrides a dependency of an entry node.
type Option func(*Edge)

// WithDial opens connections to upstreams with the given function.
func WithDial(dial upstreamconn.Dial) Option { return func(e *Edge) { e.dial = dial } }

// New returns an entry node that is not running yet. It fails if the seeds of cfg are
// invalid or the links to other nodes cannot be set up.
func New(cfg config.Managed, log *eventlog.Log, dialect Dialect, decode controller.Decoder, options ...Option) (*Edge, error) {
	seeds, err := cfg.SeedLinkAddrs()
	if err != nil {
		return nil, err
	}
	e := &Edge{
		cfg: cfg, log: log, dialect: dialect, decode: decode,
		metrics:          metrics.New("entry." + cfg.Node),
		dial:             upstreamconn.NewDial(dialTimeout),
		loop:             owner.New(),
		bodies:           bodybuffer.BudgetOf(cfg.MemoryMB),
		leader:           newLeaderFinder(seeds),
		demandChanged:    make(chan struct{}, 1),
		quota:            newQuotaShares(),
		configured:       make(chan struct{}),
		closing:          make(chan struct{}),
		streams:          newStreamRecorder(),
		dispatcher:       dispatch.New(dispatch.DefaultLimits(), cfg.Domain),
		waiters:          map[dispatch.CallID]chan dispatch.Verdict{},
		budgets:          map[string]*retryBudget{},
		upstreams:        map[string]knownUpstream{},
		reportedArrivals: map[dispatch.ModelKey]uint64{},
		streamQuality:    map[string]residency.Quality{},
		reportedQuality:  map[string]residency.Quality{},
		crashEvidence:    quarantine.NewReporter(),

		unreportedLeaving: map[fleet.Incarnation]bool{},
		proof:             currencyProof{bound: time.Duration(cfg.Revocation)},
		overloaded:        map[dispatch.ModelKey]bool{},
		memoryShort:       map[string]bool{},
	}
	e.ending, e.end = context.WithCancel(context.Background())
	for _, change := range options {
		change(e)
	}
	e.shares = cfg.Connections.Shares(cfg.MemoryMB, cfg.Descriptors)
	if e.guard == nil {
		e.guard = connlimit.New(e.shares.HeadMemory, nil)
	}
	e.detours = detour.NewClient(cfg.Secret)
	e.paths = detour.NewPaths(e.dial, e.detours.Dial, e.noteCutOff)
	e.paths.SetWitnesses(e.upstreamAddrs)
	e.helper = &detour.Server{Secret: cfg.Secret, Paths: e.paths, Serves: e.mayHelp, Failed: func(err error) {
		e.log.Event("detour not accepted", eventlog.Fields{"error": err.Error()})
	}, MaxPending: e.shares.Pending, Cut: e.detourCut, Memory: e.bodies}
	e.pool = upstreamconn.NewPool(e.paths.Dial)
	e.entryNodes.Store(1)
	e.registerGauges()
	e.mesh, err = peer.New(peer.Options{
		Self: cfg.Node, Addr: cfg.Listen.LinksBindAddr(), Secret: cfg.Secret, Mux: peer.NewMux(),
		Log:        log.Logger().WithField("part", "links"),
		Timing:     linkTiming,
		MaxPending: e.shares.Pending,
	})
	if err != nil {
		return nil, err
	}
	return e, nil
}

// registerGauges registers the gauges of the node's current state.
func (e *Edge) registerGauges() {
	e.metrics.Gauge("callsActive", e.activeCalls.Load)
	e.metrics.Gauge("callsWaiting", e.waitingCalls.Load)
	e.metrics.Gauge("callsWaitingForQuota", e.waitingQuota.Load)
	e.metrics.Gauge("bytesHeld", e.bodies.Used)
	for name, part := range map[string]bodybuffer.Part{
		"bytesHeldOfRequests": bodybuffer.Requests, "bytesHeldOfAnswers": bodybuffer.Answers,
		"bytesHeldOfEvents": bodybuffer.Events, "bytesHeldOfDetours": bodybuffer.Detours,
	} {
		e.metrics.Gauge(name, func() int64 { return e.bodies.UsedFor(part) })
	}
	e.metrics.Gauge("entryNodes", e.entryNodes.Load)
	e.metrics.Gauge("configurationVersion", func() int64 { return int64(e.appliedVersion()) })
	e.metrics.Gauge("proofMillis", func() int64 {
		age, _ := e.proofAge()
		return age.Milliseconds()
	})
	e.metrics.Gauge("upstreamConnectionsOpened", func() int64 { return int64(e.pool.Stats().Opened) })
}

// Run runs the node until ctx ends and the callers in progress are served.
func (e *Edge) Run(ctx context.Context) error {
	tree := supervisor.Tree{
		Log: e.log.Logger(),
		Parts: []supervisor.Part{
			{Name: "state", Run: e.loop.Run},
			{Name: "links", Run: e.mesh.Run},
			{Name: "news", Run: e.followLeader},
			{Name: "demand", Run: e.reportDemand},
			{Name: "quotas", Run: e.reportQuotas},
			{Name: "streams", Run: e.recordStreams},
			{Name: "detours", Run: e.serveDetours},
			{Name: "ticker", Run: e.tick},
			{Name: "readiness", Run: func(ctx context.Context) error {
				ready := connlimit.ListenerOptions{Name: "ready", MaxOpen: e.shares.Side, ReadBuffer: e.shares.ReadBuffer(e.shares.Side)}
				return e.serve(ctx, e.cfg.Listen.Ready, ready, e.readiness(), 0)
			}},
			{Name: "callers", Run: e.serveCallers},
		},
	}
	return tree.Run(ctx)
}

// readiness answers the load balancer's health check: 200 from the first configuration
// until Stop is called, otherwise 503. A node that cannot take calls with keys is not ready.
func (e *Edge) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if e.routing.Load() == nil || e.stopping.Load() || !e.takesKeys() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// serve runs an HTTP server until ctx ends. Requests in progress then have
// shutdownTimeout to finish before their connections are closed.
func (e *Edge) serve(ctx context.Context, addr string, limits connlimit.ListenerOptions, handler http.Handler, shutdownTimeout time.Duration) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	serveErr := make(chan error, 1)
	listener = e.guard.Protect(server, listener, limits)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.Wrapf(err, "serve on %s", addr)
	case <-ctx.Done():
	}
	if shutdownTimeout > 0 {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err == nil {
			return nil
		}
	}
	server.Close()
	return nil
}

// tick runs the dispatcher's time-dependent decisions while calls wait, and the
// periodic cleanup.
func (e *Edge) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastCleanup := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if now.Sub(lastCleanup) > cleanupInterval {
				lastCleanup = now
				e.pool.CloseExpired(now)
				e.watchCurrency()
				e.loop.Post(func() {
					e.dropUnlisted(boottime.Now())
					e.reviewSuspicions(boottime.Now())
					e.noteMemoryShortage()
					e.noteStarved()
				})
			}
		}
		if e.waitingQuota.Load() > 0 {
			e.loop.Post(func() { e.deliverQuota(e.quota.shares.Tick(boottime.Now())) })
		}
		if e.waitingCalls.Load() == 0 {
			continue
		}
		e.loop.Post(func() { e.deliver(e.dispatcher.Tick(boottime.Now())) })
	}
}

// applyConfiguration puts a configuration in force unless it is invalid or not newer
// than the current one.
func (e *Edge) applyConfiguration(c *confstate.Configure) {
	current := e.routing.Load()
	if current != nil && current.version >= c.Version {
		return
	}
	text, err := controller.Decompress(c.Document)
	if err == nil {
		var conf *routes.Configuration
		if conf, err = e.decode(text); err == nil {
			e.routing.Store(&routingConfig{version: c.Version, table: routes.NewTable(conf)})
			e.applyEngineMemory(conf)
			if current == nil {
				close(e.configured)
			}
			e.log.Event("configuration in force", eventlog.Fields{"version": c.Version, "routes": len(conf.Routes)})
			return
		}
	}
	e.unreadable = c.Version
	e.log.Event("configuration unreadable", eventlog.Fields{"version": c.Version, "error": err.Error()})
}
