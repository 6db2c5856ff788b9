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
	"github.com/agateslip/agateslip/raft"
	"github.com/agateslip/agateslip/residency"
	"github.com/agateslip/agateslip/routes"
)

const (
	// raftHeartbeat to raftLease: a leader that is lost is replaced within about a
	// second, one that is held up for a third of a second is not. Entry nodes that
	// start again serve nobody until there is a leader.
	raftHeartbeat = 100 * time.Millisecond
	raftElection  = 500 * time.Millisecond
	raftLease     = 400 * time.Millisecond
	// raftBatch and raftInflight bound what is on its way to a member.
	raftBatch    = 1 << 20
	raftInflight = 16
	// linkHeartbeat and linkSilence find a silent connection within two seconds.
	linkHeartbeat = 400 * time.Millisecond
	linkSilence   = 1200 * time.Millisecond
	// silentHeartbeats is how many announcements an upstream may miss.
	silentHeartbeats = 5
	// tombstone is how long an ended upstream is remembered; messages held up by
	// a partition arrive within it.
	tombstone = 60 * time.Second
)

// Orders sends orders and questions to engines.
type Orders interface {
	// Order sends an order in the name of a holder with its fencing token.
	Order(ctx context.Context, u fleet.Upstream, o residency.Order, holder string, fence uint64) residency.Answer
	// Report asks an engine what it holds.
	Report(ctx context.Context, u fleet.Upstream) (*residency.Report, error)
}

// Decoder decodes a configuration from the operators' encoding.
type Decoder func(document []byte) (*routes.Configuration, error)

// Controller is one control node.
type Controller struct {
	cfg     config.Managed
	log     *eventlog.Log
	metrics *metrics.Set
	orders  Orders
	store   *store
	files   storage.FS
	disk    *storage.Store
	mesh    *peer.Mesh
	member  raft.MemberID
	rep     *replica.Replica
	links   *addressBook
	seeds   []string
	loop    *owner.Loop
	news    *broadcast

	// The rest belongs to the loop.
	registry *fleet.Registry
	lists    newsBook
	planner  *residency.Planner
	// planned is the configuration version that the planner knows.
	planned uint64
	// widths are the widths of the weight stores as last logged.
	widths map[string]int
	// term is the term in which this node leads; zero while it does not.
	term  uint64
	led   time.Duration
	fence uint64
	// ordering is when orders may be sent.
	ordering time.Duration
	// planAgain is when the next round of planning may begin, planWaits that one is
	// due then.
	planAgain time.Duration
	planWaits bool
	// claiming says that the right to send orders is being claimed.
	claiming bool
	entries  map[string]time.Duration
	lost     map[raft.MemberID]time.Duration
}

// Option changes a control node from what its settings say.
type Option func(*Controller)

// WithFiles keeps the log in another file system than the operating system's.
func WithFiles(files storage.FS) Option { return func(c *Controller) { c.files = files } }

// New makes a control node from its data folder. It waits while the disk is full.
func New(ctx context.Context, cfg config.Managed, log *eventlog.Log, decode Decoder, orders Orders, options ...Option) (*Controller, error) {
	seeds, err := cfg.SeedLinks()
	if err != nil {
		return nil, err
	}
	c := &Controller{
		cfg: cfg, log: log, orders: orders, seeds: seeds, files: storage.OS{},
		metrics: metrics.New("control." + cfg.Node),
		loop:    owner.New(),
		entries: map[string]time.Duration{},
		lost:    map[raft.MemberID]time.Duration{},
	}
	for _, change := range options {
		change(c)
	}
	c.news = newBroadcast(func() {
		c.loop.Post(func() { c.lists.begin(c.registry.Revision()) })
	})
	c.store = newStore(decode, log, c.news.wake)
	c.registry = fleet.NewRegistry(fleet.Timeouts{
		Silence: silentHeartbeats * time.Duration(cfg.Heartbeat), Tombstone: tombstone,
	})
	restored, err := c.waitForDisk(ctx)
	if err != nil {
		return nil, err
	}
	c.links = newAddressBook(c.store, foundingMembers(cfg, seeds))
	c.links.tell(joinedIn(restored.Entries))
	mux := peer.NewMux()
	c.handle(mux)
	c.mesh, err = peer.New(peer.Options{
		Self: cfg.Listen.Links, Addr: cfg.Listen.BindLinks(), Secret: cfg.Secret, AcceptUnlisted: true, Mux: mux,
		Log:    log.Logger().WithField("part", "links"),
		Timing: peer.Timing{Heartbeat: linkHeartbeat, Silence: linkSilence},
		Seed:   uint64(c.member),
	})
	if err != nil {
		return nil, err
	}
	c.rep, err = replica.New(replica.Config{
		Raft: raft.Config{
			ID: c.member, Heartbeat: raftHeartbeat, ElectionTimeout: raftElection, Lease: raftLease,
			MaxBatchBytes: raftBatch, MaxInflight: raftInflight, Seed: uint64(c.member),
		},
		Restored: restored, Store: c.disk, Machine: c.store,
		Transport: replica.MeshTransport{Mesh: c.mesh, Directory: c.links},
		Clock:     boottime.Now,
		Log:       log.Logger().WithField("part", "replica"),
	})
	if err != nil {
		return nil, err
	}
	replica.HandleMessages(mux, c.links, c.rep.Deliver)
	c.publishGauges()
	return c, nil
}

// publishGauges publishes what the node holds at present.
func (c *Controller) publishGauges() {
	c.metrics.Gauge("leads", func() int64 {
		if c.rep.Status().Role == raft.Leader {
			return 1
		}
		return 0
	})
	c.metrics.Gauge("term", func() int64 { return int64(c.rep.Status().Term) })
	c.metrics.Gauge("commitIndex", func() int64 { return int64(c.rep.Status().Commit) })
	c.metrics.Gauge("appliedIndex", func() int64 { return int64(c.rep.Status().Applied) })
	c.metrics.Gauge("voters", func() int64 { return int64(len(c.rep.Status().Members.Voters)) })
	c.metrics.Gauge("learners", func() int64 { return int64(len(c.rep.Status().Members.Learners)) })
	c.metrics.Gauge("configurationVersion", func() int64 { return int64(c.store.version()) })
}

// Run runs the node until the context ends, then hands leadership over.
func (c *Controller) Run(ctx context.Context, parts ...supervisor.Part) error {
	defer c.disk.Close()
	tree := supervisor.Tree{
		Log: c.log.Logger(),
		Parts: append([]supervisor.Part{
			{Name: "state", Run: c.loop.Run},
			{Name: "links", Run: c.mesh.Run},
			{Name: "replica", Run: func(ctx context.Context) error { return supervisor.Permanent(c.rep.Run(ctx)) }},
			{Name: "membership", Run: c.keepMembership},
			{Name: "registry copy", Run: c.follow},
			{Name: "lead", Run: c.lead},
			{Name: "hand over", Run: c.handOver},
		}, parts...),
	}
	return tree.Run(ctx)
}

// handOverTime bounds handing over leadership at a planned stop.
const handOverTime = time.Second

// handOver gives leadership away when the node stops, while all else still runs.
func (c *Controller) handOver(ctx context.Context) error {
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTime)
	defer cancel()
	if err := c.rep.Transfer(bounded); err != nil && !errors.Is(err, replica.ErrNoTarget) {
		c.log.Event("leadership not handed over", eventlog.Fields{"error": err.Error()})
	}
	return nil
}

// Leader returns the link address of the leader, if it is known.
func (c *Controller) leader() string {
	link, _ := c.links.NodeOf(c.rep.Status().Leader)
	return link
}

// self is this node as a member.
func (c *Controller) self() confstate.Member {
	return confstate.Member{
		ID: uint64(c.member), Node: c.cfg.Node, Link: c.cfg.Listen.Links, Operators: c.cfg.Listen.Operators,
	}
}
