package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// Replica is one member of the consensus group. Its methods may be called from any
// goroutine while Run runs.
type Replica struct {
	cfg   Config
	clock func() time.Duration
	// clockOrigin is the clock's reading when the replica was created.
	clockOrigin time.Duration
	feed        *Feed

	// mu guards core, which the owner uses and which LeaseValid and CurrentStatus read
	// from other goroutines. It is not held while the owner waits for the disk or
	// the state machine.
	mu   sync.Mutex
	core *raft.Core

	proposals chan *proposal
	// inbox queues batches of messages received from other members.
	inbox chan []raft.Message
	// ownerFuncs carries functions to run on the owner goroutine.
	ownerFuncs chan func()
	// stopped is closed when Run returns.
	stopped  chan struct{}
	status   atomic.Pointer[publishedStatus]
	counters counters

	// Only the owner goroutine accesses the fields below.

	// pending holds the appended proposals by entry index until they are applied.
	pending map[uint64]*proposal
	// readBarriers holds the result channels of unconfirmed read barriers by
	// request ID.
	readBarriers   map[uint64]chan raft.ReadResult
	lastBarrierID  uint64
	appliedWaiters []appliedWaiter
	// applied is the index of the last applied entry.
	applied uint64
	// snapshotIndex is the index of the latest durable snapshot.
	snapshotIndex uint64
	// pendingCompaction is the latest snapshot while the core still holds the log
	// before it; otherwise nil. The store has already dropped that log.
	pendingCompaction *raft.Snapshot
	// consecutiveRejects counts, per member, rejected appends that follow an
	// acknowledged entry.
	consecutiveRejects map[raft.MemberID]int
	observer           observer
	// current is the write that is running; nil if there is none.
	current *write
	// written receives the results of the current write.
	written chan writeResult
}

// New returns a replica that starts from its durable state, and restores the state
// machine from the snapshot in it. Run must be called next.
func New(cfg Config) (*Replica, error) {
	r := &Replica{
		cfg:          cfg,
		clock:        cfg.clockOrDefault(),
		feed:         newFeed(cfg.Restored.Snapshot),
		proposals:    make(chan *proposal, maxQueuedProposals),
		inbox:        make(chan []raft.Message, maxQueuedMessages),
		ownerFuncs:   make(chan func()),
		stopped:      make(chan struct{}),
		written:      make(chan writeResult),
		pending:      map[uint64]*proposal{},
		readBarriers: map[uint64]chan raft.ReadResult{},

		consecutiveRejects: map[raft.MemberID]int{},
	}
	r.clockOrigin = r.clock()
	r.observer = observer{log: cfg.Log, slowFlush: cfg.Raft.Heartbeat, slowFlushLogged: -slowFlushLogInterval}
	core, err := raft.New(cfg.Raft, cfg.Restored, r.now())
	if err != nil {
		return nil, errors.Wrap(err, "start raft core from durable state")
	}
	r.core = core
	if index := cfg.Restored.Snapshot.Index; index > 0 {
		if err := cfg.Machine.Restore(cfg.Restored.Snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "restore snapshot at index %d", index)
		}
		r.applied, r.snapshotIndex = index, index
	}
	r.publishStatus(core.Status())
	return r, nil
}

// now returns the time since New by the configured clock, which should include the
// time for which the VM was suspended (see Config.Clock).
func (r *Replica) now() raft.Instant { return r.clock() - r.clockOrigin }

// Run drives the replica until the context ends, and then returns nil. It returns
// an error if the store or the state machine fails; the process must then stop.
func (r *Replica) Run(ctx context.Context) error {
	defer r.awaitWrite()
	defer r.shutDown()
	ticker := time.NewTicker(r.cfg.tickInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case result := <-r.written:
			if err := r.onWritten(result); err != nil {
				return err
			}
		case messages := <-r.inbox:
			r.step(messages)
		case p := <-r.proposals:
			r.appendProposal(p)
		case op := <-r.ownerFuncs:
			op()
		}
		r.drainQueues()
		r.tick()
		if err := r.flush(); err != nil {
			return err
		}
	}
}

// drainQueues processes all queued messages and proposals, so that their entries
// share the next write. It must run before the core's tick: after a slow
// application of entries, the queued replies show that the followers still hear
// the leader, and without them the leader could step down.
func (r *Replica) drainQueues() {
	for range len(r.inbox) {
		r.step(<-r.inbox)
	}
	for range len(r.proposals) {
		r.appendProposal(<-r.proposals)
	}
}

// withCore calls fn with the core and the current time while it holds mu.
func (r *Replica) withCore(fn func(core *raft.Core, now raft.Instant)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.core, r.now())
}

func (r *Replica) tick() {
	r.withCore(func(core *raft.Core, now raft.Instant) { core.Tick(now) })
}

// step passes received messages to the core.
func (r *Replica) step(messages []raft.Message) {
	r.withCore(func(core *raft.Core, now raft.Instant) {
		for _, m := range messages {
			r.detectRegression(core, m)
			core.Step(m, now)
		}
	})
}

// Deliver queues messages received from other members. It never blocks: if the
// queue is full, it drops the messages and counts them.
func (r *Replica) Deliver(messages []raft.Message) {
	select {
	case r.inbox <- messages:
	default:
		r.counters.droppedMessages.Add(uint64(len(messages)))
	}
}

// runOnOwner runs fn on the owner goroutine and waits until it returns. If the
// context ends or the replica stops first, fn does not run and the error matches
// ErrNotProposed.
func (r *Replica) runOnOwner(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	op := func() {
		defer close(done)
		fn()
	}
	select {
	case r.ownerFuncs <- op:
		<-done
		return nil
	case <-ctx.Done():
		return notProposed(ctx.Err())
	case <-r.stopped:
		return notProposed(ErrStopped)
	}
}

// shutDown closes stopped and fails the pending and queued proposals and the read
// barriers.
func (r *Replica) shutDown() {
	close(r.stopped)
	r.failPending("the replica has stopped")
	for range len(r.proposals) {
		p := <-r.proposals
		p.finish(nil, notProposed(ErrStopped))
	}
	for id, resultCh := range r.readBarriers {
		resultCh <- raft.ReadResult{Request: id}
	}
}

// Feed returns the feed of applied entries for followers without a disk.
func (r *Replica) Feed() *Feed { return r.feed }
