package replica

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/raft"
)

const (
	// SnapshotInterval is the number of applied entries between two snapshots,
	// and so the most that a restart replays beside what was not yet applied.
	SnapshotInterval = 256

	// ticksPerHeartbeat is how often timers are looked at.
	ticksPerHeartbeat = 4
	// maxQueuedProposals bounds the proposals that wait for the owner; more
	// callers wait in Propose.
	maxQueuedProposals = 4096
	// maxQueuedMessages bounds the received batches of messages that wait; more
	// are dropped, which the protocol survives.
	maxQueuedMessages = 1024
)

// StateMachine is the replicated application. Only the replica's owner
// goroutine calls it. Its state must depend on the entries alone.
type StateMachine interface {
	// Apply applies a committed entry of any kind and returns the result for
	// its proposer.
	Apply(entry raft.Entry) any
	// Snapshot returns the state after the entries applied so far.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// Store makes outputs of the core durable. After an error it is not used again.
type Store interface {
	// Save makes hard state, snapshot and entries durable.
	Save(out raft.Output) error
	// Compact makes a snapshot durable and drops the log before it.
	Compact(snapshot raft.Snapshot) error
}

// Transport sends messages to other members. It must not block; messages may
// be lost.
type Transport interface {
	Send(messages []raft.Message)
}

// Config configures a Replica.
type Config struct {
	// Raft configures the core.
	Raft raft.Config
	// Restored is the durable state that Store was opened with.
	Restored raft.Restored
	// Store is the durable log.
	Store Store
	// Machine is the application.
	Machine StateMachine
	// Transport reaches the other members.
	Transport Transport
	// Log receives changes of role and failures.
	Log logrus.FieldLogger
	// Clock never goes back; its origin does not matter. Leases hold across a
	// suspended VM only on one that counts suspended time, as that of package
	// boottime. Nil means the steady clock, which does not.
	Clock func() time.Duration
}

func (c *Config) clock() func() time.Duration {
	if c.Clock != nil {
		return c.Clock
	}
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// Founding returns the state that each founding voter of a new group starts
// from. The machine must be in the same initial state on all of them.
func Founding(voters []raft.MemberID, machine StateMachine) (raft.Restored, error) {
	data, err := machine.Snapshot()
	if err != nil {
		return raft.Restored{}, err
	}
	return raft.Restored{Snapshot: raft.Snapshot{
		Index:   1,
		Term:    1,
		Members: raft.Members{Voters: voters},
		Data:    data,
	}}, nil
}

// tickInterval is how often the owner looks at the timers.
func (c *Config) tickInterval() time.Duration { return c.Raft.Heartbeat / ticksPerHeartbeat }
