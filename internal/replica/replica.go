package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// Replica is one member of the group. Its methods may be called from any
// goroutine while Run runs.
type Replica struct {
	cfg   Config
	clock func() time.Duration
	start time.Duration
	feed  *Feed

	// mu guards core, which the owner uses and LeaseValid reads. It is not held
	// while the owner waits for the disk or the state machine.
	mu   sync.Mutex
	core *raft.Core

	proposals chan *proposal
	inbox     chan []raft.Message
	ops       chan func()
	stopped   chan struct{}
	status    atomic.Pointer[publishedStatus]
	counters  counters

	// The rest belongs to the owner.
	pending     map[uint64]*proposal
	barriers    map[uint64]chan raft.ReadResult
	nextBarrier uint64
	waiting     []appliedWaiter
	applied     uint64
	snapshotAt  uint64
	compaction  *raft.Snapshot
	regressions map[raft.MemberID]int
}

// New makes a replica from its durable state and restores the state machine.
func New(cfg Config) (*Replica, error) {
	r := &Replica{
		cfg:       cfg,
		clock:     cfg.clock(),
		feed:      newFeed(cfg.Restored.Snapshot),
		proposals: make(chan *proposal, maxQueuedProposals),
		inbox:     make(chan []raft.Message, maxQueuedMessages),
		ops:       make(chan func()),
		stopped:   make(chan struct{}),
		pending:   map[uint64]*proposal{},
		barriers:  map[uint64]chan raft.ReadResult{},

		regressions: map[raft.MemberID]int{},
	}
	r.start = r.clock()
	core, err := raft.New(cfg.Raft, cfg.Restored, r.now())
	if err != nil {
		return nil, errors.Wrap(err, "start from durable state")
	}
	r.core = core
	if index := cfg.Restored.Snapshot.Index; index > 0 {
		if err := cfg.Machine.Restore(cfg.Restored.Snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "restore snapshot at %d", index)
		}
		r.applied, r.snapshotAt = index, index
	}
	r.publish(core.Status())
	return r, nil
}

// now is the time since the replica was made, also that for which the VM was
// suspended.
func (r *Replica) now() raft.Instant { return r.clock() - r.start }

// Run drives the replica until the context ends or storage fails, in which
// case the process must stop.
func (r *Replica) Run(ctx context.Context) error {
	defer r.shutDown()
	ticker := time.NewTicker(r.cfg.tickInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case messages := <-r.inbox:
			r.step(messages)
		case p := <-r.proposals:
			r.propose(p)
		case op := <-r.ops:
			op()
		}
		r.drain()
		r.tick()
		if err := r.flush(); err != nil {
			return err
		}
	}
}

// drain takes what else is queued, so that it shares the next write. Messages
// are taken before the timers are looked at: after a slow write, answers that
// wait here show that the leader is still heard.
func (r *Replica) drain() {
	for range len(r.inbox) {
		r.step(<-r.inbox)
	}
	for range len(r.proposals) {
		r.propose(<-r.proposals)
	}
}

// withCore runs fn with the core and the present time.
func (r *Replica) withCore(fn func(core *raft.Core, now raft.Instant)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.core, r.now())
}

func (r *Replica) tick() {
	r.withCore(func(core *raft.Core, now raft.Instant) { core.Tick(now) })
}

func (r *Replica) step(messages []raft.Message) {
	r.withCore(func(core *raft.Core, now raft.Instant) {
		for _, m := range messages {
			r.checkRegression(core, m)
			core.Step(m, now)
		}
	})
}

// Deliver queues messages received from other members. It never blocks; when
// the queue is full the messages are dropped and counted.
func (r *Replica) Deliver(messages []raft.Message) {
	select {
	case r.inbox <- messages:
	default:
		r.counters.dropped.Add(uint64(len(messages)))
	}
}

// do runs fn on the owner goroutine and waits for it.
func (r *Replica) do(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	op := func() {
		defer close(done)
		fn()
	}
	select {
	case r.ops <- op:
		<-done
		return nil
	case <-ctx.Done():
		return notProposed(ctx.Err())
	case <-r.stopped:
		return notProposed(ErrStopped)
	}
}

// shutDown answers everyone who waits.
func (r *Replica) shutDown() {
	close(r.stopped)
	r.failPending("the replica has stopped")
	for range len(r.proposals) {
		p := <-r.proposals
		p.finish(nil, notProposed(ErrStopped))
	}
	for id, answer := range r.barriers {
		answer <- raft.ReadResult{Request: id}
	}
}

// Feed returns the committed entries for followers without a disk.
func (r *Replica) Feed() *Feed { return r.feed }
