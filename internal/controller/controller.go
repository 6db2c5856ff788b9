package controller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
	"github.com/agateslip/agateslip/internal/owner"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/internal/supervisor"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/origin"
	"github.com/agateslip/agateslip/raft"
	"github.com/agateslip/agateslip/ratelimit"
	"github.com/agateslip/agateslip/residency"
	"github.com/agateslip/agateslip/routes"
)

const (
	// Raft timing: a crashed leader is replaced within about a second, but a leader that
	// pauses for a third of a second keeps its role. A restarted entry node cannot serve
	// calls until there is a leader.
	raftHeartbeat       = 100 * time.Millisecond
	raftElectionTimeout = 500 * time.Millisecond
	raftLease           = 400 * time.Millisecond
	// raftMaxBatchBytes and raftMaxInflight bound the size of one append message and the
	// number of unacknowledged messages per member.
	raftMaxBatchBytes = 1 << 20
	raftMaxInflight   = 16
	// raftCatchUpMargin is how many entries behind a learner may be promoted. While entries come faster than its
	// disk takes them it is always some behind, as a voter with such a disk would be.
	raftCatchUpMargin = raftMaxInflight
	// linkHeartbeat and linkSilenceTimeout detect a dead connection between nodes within
	// two seconds.
	linkHeartbeat      = 400 * time.Millisecond
	linkSilenceTimeout = 1200 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without an announcement
	// after which an upstream counts as gone.
	maxMissedHeartbeats = 5
	// tombstoneTTL is how long the registry remembers an upstream that has ended.
	// Messages that a network partition delayed arrive within this time and must not
	// bring it back.
	tombstoneTTL = 60 * time.Second
)

// Orders sends load and unload orders and state queries to engines.
type Orders interface {
	// Order sends an order on behalf of the control node named holder, with its fencing
	// token. It also returns what is known of the origin of the answer; zero if none came.
	Order(ctx context.Context, u fleet.Upstream, o residency.Order, holder string, fence uint64) (residency.Answer, upstreamconn.Provenance)
	// Report queries an engine for its current state.
	Report(ctx context.Context, u fleet.Upstream) (*residency.Report, error)
}

// Decoder decodes a configuration document in the encoding that operators use.
type Decoder func(document []byte) (*routes.Configuration, error)

// Controller is a control node: a member of the Raft group that replicates the
// configuration. While it leads, it also keeps the upstream registry and plans model
// placement.
type Controller struct {
	cfg          config.Managed
	log          *eventlog.Log
	metrics      *metrics.Set
	orders       Orders
	stateMachine *stateMachine
	files        storage.FS
	disk         *storage.Store
	mesh         *peer.Mesh
	member       raft.MemberID
	raftReplica  *replica.Replica
	addresses    *addressBook
	seeds        []string
	loop         *owner.Loop
	notifier     *watchNotifier
	streams      streamRecorder
	quotaGauges  quotaGauges

	// The fields below are accessed only on the loop.
	registry   *fleet.Registry
	changes    changeCache
	planner    *residency.Planner
	quarantine quarantineWatch
	// origins decides on the base versions of software; nil unless this node leads.
	// proposingOrigins is set while its decision is being proposed.
	origins          *origin.Tracker
	proposingOrigins bool
	// permits hands out permits for upstreams that named a rate limit, and slots those of brittle
	// upstreams; nil unless this node leads.
	permits *ratelimit.Allocator
	slots   *ratelimit.Slots
	// quotas divides the tenants' quotas among the entry nodes; the zero value unless this node leads.
	quotas quotaWatch
	// brittleRevision is the revision of slots of which the entry nodes were told.
	brittleRevision uint64
	// plannedVersion is the configuration version that the planner was last given.
	plannedVersion uint64
	// loggedWidths holds, by service, the limit of parallel loads from the weight store
	// that was last logged.
	loggedWidths map[string]int
	// term is the Raft term in which this node leads, or zero while it does not lead.
	term uint64
	// leaseWaitStart is the start of the wait for the order lease of another orderer: the
	// start of the term, or the time at which an engine refused an order as fenced.
	leaseWaitStart time.Duration
	// fence is the fencing number of this node's orders, or zero while it is not the
	// orderer. lastFence is the latest one of this process.
	fence, lastFence uint64
	// ordersInFlight is the number of this process's orders that have not ended, whatever
	// the term. lastOrderAt is when the latest one ended; zero if there was none.
	ordersInFlight int
	lastOrderAt    time.Duration
	// ordersAllowedAt is the earliest time at which this node may send orders. It outlasts
	// the term: the orderer whose lease it waits for does too.
	ordersAllowedAt time.Duration
	// nextPlanAt is the earliest time of the next planning round. planTimer is set while a
	// timer for that round is pending, adapterTimer while one for the next adapter that
	// becomes usable is.
	nextPlanAt              time.Duration
	planTimer, adapterTimer bool
	// busiestModelsAt is when the busiest models are logged next.
	busiestModelsAt time.Duration
	// claimPending is set while the command that makes this node the orderer is being
	// proposed.
	claimPending bool
	// departuresUntil is the log index of the latest departure that is in the registry of this term.
	departuresUntil uint64
	// ledSince is the beginning of this node's term of leadership.
	ledSince time.Duration
	// entryNodes holds the entry nodes that watch; detoursRevision counts their changes.
	entryNodes      map[string]entryNode
	detoursRevision uint64
	// silence tracks the unreachable members. Unlike the fields above, it is not accessed on
	// the loop.
	silence silence
	// leaderless and unresponsive decide when a missing leader and, on the leader, voters that do
	// not reply are logged. Only observeMembers accesses them.
	leaderless, unresponsive absenceWatch
	// membershipInterval is the interval of membership checks while nothing changes.
	membershipInterval time.Duration
	// memberJoined wakes the membership part of the leader once a member has joined.
	memberJoined chan struct{}
	// leaderSeen passes the link address of a leader that takes this node for another member.
	leaderSeen chan string
	// membershipTerm is the latest term in which this node led and had applied every change
	// of earlier terms. Only the membership part accesses it.
	membershipTerm uint64
}

// Option overrides a dependency of a control node.
type Option func(*Controller)

// WithFiles stores the log in the given file system instead of that of the operating
// system.
func WithFiles(files storage.FS) Option { return func(c *Controller) { c.files = files } }

// New opens or creates the log in the data folder and returns a control node that is
// ready to run. While the disk is full, it retries until ctx ends.
func New(ctx context.Context, cfg config.Managed, log *eventlog.Log, decode Decoder, orders Orders, options ...Option) (*Controller, error) {
	seeds, err := cfg.SeedLinkAddrs()
	if err != nil {
		return nil, err
	}
	c := &Controller{
		cfg: cfg, log: log, orders: orders, seeds: seeds, files: storage.OS{},
		metrics:    metrics.New("control." + cfg.Node),
		loop:       owner.New(),
		entryNodes: map[string]entryNode{},
		leaderSeen: make(chan string, 1), memberJoined: make(chan struct{}, 1),

		membershipInterval: membershipInterval,
	}
	for _, change := range options {
		change(c)
	}
	c.notifier = newWatchNotifier(func() {
		c.loop.Post(func() { c.changes.beginRound(c.registry.Revision()) })
	})
	c.stateMachine = newStateMachine(decode, log, c.notifier.notify)
	c.registry = fleet.NewRegistry(fleet.Timeouts{
		Silence: maxMissedHeartbeats * time.Duration(cfg.Heartbeat), Tombstone: tombstoneTTL,
	})
	restored, err := c.waitForDisk(ctx)
	if err != nil {
		return nil, err
	}
	c.addresses = newAddressBook(c.stateMachine, foundingMembers(cfg, seeds))
	c.addresses.add(joinedMembers(restored.Entries))
	mux := peer.NewMux()
	c.registerHandlers(mux)
	c.mesh, err = peer.New(peer.Options{
		Self: cfg.Listen.Links, Addr: cfg.Listen.LinksBindAddr(), Secret: cfg.Secret, AcceptUnlisted: true, Mux: mux,
		Log:    log.Logger().WithField("part", "links"),
		Timing: peer.Timing{Heartbeat: linkHeartbeat, SilenceTimeout: linkSilenceTimeout},
		Seed:   uint64(c.member),

		MaxPending: cfg.Connections.Shares(cfg.MemoryMB, cfg.Descriptors).Pending,
	})
	if err != nil {
		return nil, err
	}
	c.raftReplica, err = replica.New(replica.Config{
		Raft: raft.Config{
			ID: c.member, Heartbeat: raftHeartbeat, ElectionTimeout: raftElectionTimeout, Lease: raftLease,
			MaxBatchBytes: raftMaxBatchBytes, MaxInflight: raftMaxInflight,
			CatchUpMargin: raftCatchUpMargin, Seed: uint64(c.member),
		},
		Restored: restored, Store: c.disk, Machine: c.stateMachine,
		Transport: replica.MeshTransport{Mesh: c.mesh, Directory: c.addresses},
		Clock:     boottime.Now,
		Log:       log.Logger().WithField("part", "replica"),
	})
	if err != nil {
		return nil, err
	}
	replica.HandleMessages(mux, replica.Receiver{
		Self: c.member, Directory: c.addresses, Deliver: c.raftReplica.Deliver, Learn: c.addresses.learn, LeaderOfOther: c.noteLeader,
	})
	c.registerGauges()
	return c, nil
}

// registerGauges registers the gauges for Raft status, membership and configuration
// version.
func (c *Controller) registerGauges() {
	c.metrics.Gauge("leads", func() int64 {
		if c.raftReplica.Status().Role == raft.Leader {
			return 1
		}
		return 0
	})
	c.quotaGauges.register(c.metrics)
	c.metrics.Gauge("term", func() int64 { return int64(c.raftReplica.Status().Term) })
	c.metrics.Gauge("commitIndex", func() int64 { return int64(c.raftReplica.Status().Commit) })
	c.metrics.Gauge("durableIndex", func() int64 { return int64(c.raftReplica.Status().Durable) })
	c.metrics.Gauge("appliedIndex", func() int64 { return int64(c.raftReplica.Status().Applied) })
	c.metrics.Gauge("voters", func() int64 { return int64(len(c.raftReplica.Status().Members.Voters)) })
	c.metrics.Gauge("spareVoters", func() int64 { return int64(spareVoters(c.raftReplica.Status())) })
	c.metrics.Gauge("learners", func() int64 { return int64(len(c.raftReplica.Status().Members.Learners)) })
	c.metrics.Gauge("configurationVersion", func() int64 { return int64(c.stateMachine.version()) })
}

// Run runs the node and the additional parts until ctx ends, then transfers leadership to
// another member.
func (c *Controller) Run(ctx context.Context, parts ...supervisor.Part) error {
	defer c.disk.Close()
	tree := supervisor.Tree{
		Log: c.log.Logger(),
		Parts: append([]supervisor.Part{
			{Name: "state", Run: c.loop.Run},
			{Name: "configuration", Run: c.stateMachine.decodeConfigurations},
			{Name: "links", Run: c.mesh.Run},
			{Name: "replica", Run: func(ctx context.Context) error { return supervisor.Permanent(c.raftReplica.Run(ctx)) }},
			{Name: "reachability", Run: c.observeMembers},
			{Name: "membership", Run: c.keepMembership},
			{Name: "registry copy", Run: c.copyLeaderRegistry},
			{Name: "lead", Run: c.lead},
			{Name: "hand over", Run: c.transferLeadership},
		}, parts...),
	}
	return tree.Run(ctx)
}

// transferTimeout bounds the leadership transfer at a planned stop.
const transferTimeout = time.Second

// transferLeadership waits for ctx to end and then transfers leadership. The replica and
// the links keep running until it returns.
func (c *Controller) transferLeadership(ctx context.Context) error {
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferTimeout)
	defer cancel()
	if err := c.raftReplica.Transfer(bounded); err != nil && !errors.Is(err, replica.ErrNoOtherVoter) {
		c.log.Event("leadership not transferred", eventlog.Fields{"error": err.Error()})
	}
	return nil
}

// leader returns the link address of the current leader, or "" if it is unknown.
func (c *Controller) leader() string {
	link, _ := c.addresses.NodeOf(c.raftReplica.Status().Leader)
	return link
}

// selfMember returns the member entry that describes this node.
func (c *Controller) selfMember() confstate.Member {
	return confstate.Member{
		ID: uint64(c.member), Node: c.cfg.Node, Link: c.cfg.Listen.Links, Operators: c.cfg.Listen.Operators,
	}
}
