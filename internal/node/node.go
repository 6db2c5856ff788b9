// Package node assembles one entry node as a tree of supervised parts: the servers for
// callers, upstreams and operators, the control group's member or follower, the links to
// the other nodes, the control loop and the planner.
package node

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/currency"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/connlimit"
	"github.com/agateslip/agateslip/internal/detour"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/internal/operator"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/internal/supervisor"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/raft"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

// Timing and limits of the control group's Raft. A leader's lease ends raftLease after it
// sent the round of messages that a majority answered.
const (
	raftHeartbeat = 100 * time.Millisecond
	raftElection  = 1000 * time.Millisecond
	raftLease     = 700 * time.Millisecond
	raftBatch     = 1 << 20
	raftInflight  = 64
)

// Timing of the links between nodes. Both ends detect a silent link within 2.5 s: the
// silence limit, one heartbeat interval and one more for the answer.
const (
	linkHeartbeat = 500 * time.Millisecond
	linkSilence   = 1500 * time.Millisecond
)

// Node is one entry node.
type Node struct {
	cfg config.Config
	log logrus.FieldLogger
	// clock includes time during which the VM is suspended, so that no proof outlives a
	// suspension.
	clock func() time.Duration
	// start is the reading of clock at the start of the process.
	start time.Duration
	// boot identifies this process and differs after each start.
	boot string
	seed uint64
	// memberID is this node's member of the control group; 0 if it has none.
	memberID raft.MemberID

	store *store
	// disk is nil on a node without a data folder.
	disk    *storage.Store
	mesh    *peer.Mesh
	members *memberNodes
	group   *groupClient
	proofs  currency.Tracker
	loop    *controlLoop
	gateway *gateway.Gateway
	metrics *expvar.Map

	// dial connects to upstreams directly, and connect also through other nodes. helper lets other
	// nodes do so through this one.
	dial, connect upstreamconn.Dial
	paths         *detour.Paths
	helper        *detour.Server

	callers   net.Listener
	upstreams net.Listener
	operators net.Listener
	// detourListener is nil if the node does not help others.
	detourListener net.Listener
	cuts           *connectionCuts
	guard          *connlimit.Guard
	bodies         *bodybuffer.Budget
	intake         bodybuffer.Intake

	// nextVoter rotates the voters that anyVoter returns.
	nextVoter atomic.Uint64
	// syncFailed is set while the latest report has no answer. Only the sync part uses it.
	syncFailed bool
	drainOnce  sync.Once
	// draining is closed when a planned stop begins.
	draining chan struct{}
}

// Option changes how a node works.
type Option func(*Node)

// WithDial sets the function that connects to upstreams directly.
func WithDial(dial upstreamconn.Dial) Option { return func(n *Node) { n.dial = dial } }

// New opens the node's data folder and listeners. Run must be called next.
func New(cfg config.Config, log logrus.FieldLogger, options ...Option) (*Node, error) {
	n := &Node{
		cfg:      cfg,
		log:      log.WithFields(logrus.Fields{"node": cfg.Node, "domain": cfg.Domain}),
		clock:    boottime.Now,
		start:    boottime.Now(),
		boot:     uuid.NewString(),
		seed:     rand.Uint64(),
		store:    newStore(),
		members:  newMemberNodes(),
		metrics:  new(expvar.Map).Init(),
		draining: make(chan struct{}),
		dial:     gateway.Dial,
	}
	n.cuts = newConnectionCuts(n.metrics)
	n.guard = connlimit.New(n.shares().HeadMemory, n.connectionCut)
	n.bodies = bodybuffer.BudgetOf(n.cfg.MemoryMB)
	n.intake = n.limitBodies()
	for _, option := range options {
		option(n)
	}
	for _, p := range cfg.Peers {
		n.members.set(raft.MemberID(p.Voter), p.Node)
	}
	if err := n.open(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) open() error {
	mux := peer.NewMux()
	if err := n.openMesh(mux); err != nil {
		return err
	}
	n.group = &groupClient{node: n.cfg.Node, mesh: n.mesh, members: n.members}
	if n.cfg.Data != "" {
		if err := n.openReplica(mux); err != nil {
			return err
		}
	}
	n.loop = newControlLoop(n)
	n.openPaths()
	n.handle(mux)
	n.gateway = gateway.New(
		&contracts{node: n},
		&admitter{loop: n.loop},
		&router{loop: n.loop},
		&claims{group: n.group, owner: ledger.Owner{Node: n.cfg.Node, Boot: n.boot}},
		n.intake,
		n.log,
		gateway.NewMetrics(n.metrics),
		n.connect,
	)
	return n.listen()
}

func (n *Node) openMesh(mux *peer.Mux) error {
	var peers []peer.Peer
	for _, p := range n.cfg.Peers {
		peers = append(peers, peer.Peer{Name: p.Node, Addr: p.Addr})
	}
	mesh, err := peer.New(peer.Options{
		Self:   n.cfg.Node,
		Addr:   n.cfg.Listen.Peers,
		Peers:  peers,
		Secret: n.cfg.Secret,
		Mux:    mux,
		Log:    n.log.WithField("part", "peers"),
		Seed:   n.seed,
		Timing: peer.Timing{Heartbeat: linkHeartbeat, SilenceTimeout: linkSilence},

		MaxPending: n.shares().Pending,
	})
	if err != nil {
		return errors.Wrap(err, "listen.peers")
	}
	n.mesh = mesh
	return nil
}

// openReplica opens the data folder and the control group's member stored in it.
func (n *Node) openReplica(mux *peer.Mux) error {
	id, err := storage.ReadIdentity(nil, n.cfg.Data)
	if errors.Is(err, storage.ErrNotCreated) {
		return errors.Wrapf(err, "data folder %s: run agateslip init for a new group, or agateslip init --rejoin after a lost disk", n.cfg.Data)
	}
	if err != nil {
		return err
	}
	disk, restored, err := storage.Open(storage.Options{Dir: n.cfg.Data, Identity: storage.Identity{Group: n.cfg.Group, Member: id.Member}})
	if err != nil {
		return err
	}
	n.disk = disk
	n.memberID = id.Member
	n.members.set(id.Member, n.cfg.Node)
	rep, err := replica.New(replica.Config{
		Raft:      raftConfig(id.Member, n.seed),
		Restored:  restored,
		Store:     disk,
		Machine:   n.store,
		Transport: replica.MeshTransport{Mesh: n.mesh, Directory: n.members},
		Clock:     boottime.Now,
		Log:       n.log.WithField("part", "replica"),
	})
	if err != nil {
		return err
	}
	replica.HandleMessages(mux, replica.Receiver{Directory: n.members, Deliver: rep.Deliver})
	n.group.replica = rep
	return nil
}

func raftConfig(id raft.MemberID, seed uint64) raft.Config {
	return raft.Config{
		ID:              id,
		Heartbeat:       raftHeartbeat,
		ElectionTimeout: raftElection,
		Lease:           raftLease,
		MaxBatchBytes:   raftBatch,
		MaxInflight:     raftInflight,
		Seed:            seed,
	}
}

// handle registers the handlers of the methods between nodes.
func (n *Node) handle(mux *peer.Mux) {
	mux.Handle(methodPropose, n.group.servePropose)
	mux.Handle(methodEntries, n.serveEntries)
	mux.Handle(methodTail, n.serveTail)
	mux.Handle(methodMembers, n.serveMembers)
	mux.Handle(methodBarrier, n.serveBarrier)
	mux.Handle(methodSync, n.serveSync)
	mux.Handle(methodLearned, n.serveLearned)
	mux.Handle(methodLease, n.serveLease)
	mux.Handle(methodPush, n.servePush)
	mux.Handle(methodCacheEvents, n.serveCacheEvents)
	mux.Handle(methodPull, n.servePull)
}

func (n *Node) listen() error {
	listens := []struct {
		field string
		addr  string
		to    *net.Listener
	}{
		{"listen.callers", n.cfg.Listen.Callers, &n.callers},
		{"listen.upstreams", n.cfg.Listen.Upstreams, &n.upstreams},
		{"listen.operators", n.cfg.Listen.Operators, &n.operators},
		{"listen.detours", n.cfg.Listen.Detours, &n.detourListener},
	}
	for _, l := range listens {
		if l.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return errors.Wrap(err, l.field)
		}
		*l.to = ln
	}
	return nil
}

// close releases what New opened if New fails.
func (n *Node) close() {
	for _, ln := range []net.Listener{n.callers, n.upstreams, n.operators, n.detourListener} {
		if ln != nil {
			_ = ln.Close()
		}
	}
	if n.mesh != nil {
		_ = n.mesh.Close()
	}
	if n.disk != nil {
		_ = n.disk.Close()
	}
}

// CallersAddr returns the listening address for callers' requests.
func (n *Node) CallersAddr() string { return n.callers.Addr().String() }

// UpstreamsAddr returns the listening address for upstreams' announcements.
func (n *Node) UpstreamsAddr() string { return n.upstreams.Addr().String() }

// OperatorsAddr returns the listening address for operators' commands.
func (n *Node) OperatorsAddr() string { return n.operators.Addr().String() }

// now returns the time since the process started, including suspended time.
func (n *Node) now() time.Duration { return n.clock() - n.start }

// origin returns the origin of a command that actor gives on this node.
func (n *Node) origin(actor string) control.Origin {
	return control.Origin{Actor: actor, Node: n.cfg.Node, UnixMillis: time.Now().UnixMilli()}
}

// Run serves until ctx ends or Drain is called and then stops gracefully, as described
// at stop. It returns nil after a clean stop.
func (n *Node) Run(ctx context.Context) error {
	servers := n.servers()
	publishMetrics(n)
	group, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- n.tree(servers).Run(group) }()
	n.gateway.SetReady(true)
	n.log.WithFields(logrus.Fields{"callers": n.CallersAddr(), "operators": n.OperatorsAddr()}).Info("node started")
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	case <-n.draining:
	}
	n.stop(servers.callers)
	stop()
	err := <-ended
	if n.disk != nil {
		err = errors.CombineErrors(err, n.disk.Close())
	}
	n.log.Info("node stopped")
	return err
}

// servers holds the node's HTTP servers and the listeners that they serve.
type servers struct {
	callers   *http.Server
	upstreams *http.Server
	operators *http.Server
	listeners limitedListeners
}

func (n *Node) servers() servers {
	s := servers{
		callers:   n.gateway.Server(),
		upstreams: n.upstreamServer(),
		operators: operator.NewServer(&backend{node: n}, n.cfg.OperatorToken, n.intake),
	}
	s.listeners = n.limitConnections(&s)
	return s
}

// tree returns the node's parts in starting order. They stop in reverse order.
func (n *Node) tree(s servers) supervisor.Tree {
	parts := []supervisor.Part{
		{Name: "control", Run: n.loop.run},
		{Name: "peers", Run: n.mesh.Run},
	}
	if n.group.replica != nil {
		plan := newPlanner(n)
		parts = append(parts,
			supervisor.Part{Name: "replica", Run: n.runReplica},
			supervisor.Part{Name: "placement", Run: plan.run},
		)
	} else {
		parts = append(parts, supervisor.Part{Name: "follow", Run: n.runFollow})
	}
	parts = append(parts,
		supervisor.Part{Name: "sync", Run: n.runSync},
		supervisor.Part{Name: "pull", Run: n.runPull},
		supervisor.Part{Name: "upstreams", Run: serve(s.upstreams, s.listeners.upstreams)},
		supervisor.Part{Name: "operators", Run: serve(s.operators, s.listeners.operators)},
		supervisor.Part{Name: "callers", Run: serve(s.callers, s.listeners.callers)},
	)
	if n.detourListener != nil {
		parts = append(parts, supervisor.Part{Name: "detours", Run: n.serveDetours})
	}
	return supervisor.Tree{Parts: parts, Log: n.log}
}

// runReplica runs the control group's member. An error ends the process, because after
// a storage failure it is unknown which writes are durable.
func (n *Node) runReplica(ctx context.Context) error {
	if err := n.group.replica.Run(ctx); err != nil && ctx.Err() == nil {
		return supervisor.Permanent(err)
	}
	return nil
}

// contracts implements gateway.Contracts.
type contracts struct{ node *Node }

// ByKey implements gateway.Contracts.
func (c *contracts) ByKey(sha256 string) (*contract.Contract, bool) {
	found, ok := c.node.store.view.Load().byKey[sha256]
	return found, ok
}

// CheckCurrent implements gateway.Contracts.
func (c *contracts) CheckCurrent() error {
	age, ok := c.node.proofAge()
	if ok && age <= proofLifetime {
		return nil
	}
	return gateway.NewRefusal(gateway.ReasonNotCurrent, defaultRetryAfter, "this node cannot prove that its contracts are in force")
}

// proofAge returns the age of the latest proof that this node's contracts are in force.
// It reports false if there has been none.
func (n *Node) proofAge() (time.Duration, bool) {
	return n.proofs.Age(n.now(), n.store.applied.Load())
}
