package replica

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/raft"
)

const (
	// SnapshotInterval is the number of applied entries between two snapshots. It
	// bounds the applied entries that a restart replays.
	SnapshotInterval = 256

	// ticksPerHeartbeat is the number of core ticks in one heartbeat interval.
	ticksPerHeartbeat = 4
	// maxQueuedProposals bounds the proposals queued for the owner goroutine. When
	// the queue is full, Propose blocks.
	maxQueuedProposals = 4096
	// maxQueuedMessages bounds the queued batches of received messages. When the
	// queue is full, further batches are dropped; raft tolerates lost messages.
	maxQueuedMessages = 1024
)

// StateMachine is the replicated application. Only the replica's owner
// goroutine calls it. Its state must be a deterministic function of the applied
// entries.
type StateMachine interface {
	// Apply applies a committed entry of any kind and returns the result that
	// the entry's proposer receives.
	Apply(entry raft.Entry) any
	// Snapshot returns the encoded state after all entries applied so far.
	Snapshot() ([]byte, error)
	// Restore replaces the state with the one that Snapshot encoded.
	Restore(snapshot []byte) error
}

// Store makes the core's outputs durable. After the first error the replica
// stops and does not use the store again.
type Store interface {
	// Save makes the hard state, snapshot and entries of an output durable.
	Save(out raft.Output) error
	// Compact makes a snapshot durable and drops the log up to its index.
	Compact(snapshot raft.Snapshot) error
}

// Transport sends messages to other members.
type Transport interface {
	// Send sends each message to the member in its To field. It must not block;
	// messages may be lost.
	Send(messages []raft.Message)
}

// Config configures a Replica.
type Config struct {
	// Raft configures the raft core.
	Raft raft.Config
	// Restored is the durable state that Store held when it was opened.
	Restored raft.DurableState
	// Store is the durable log.
	Store Store
	// Machine is the replicated state machine.
	Machine StateMachine
	// Transport sends messages to the other members.
	Transport Transport
	// Log receives role changes and regressed members.
	Log logrus.FieldLogger
	// Clock returns the time since an arbitrary origin and never goes backwards.
	// It must count the time for which a VM is suspended, as package boottime's
	// clock does; otherwise a suspended leader can resume with a lease that has
	// already expired for the other members. Nil means Go's monotonic clock,
	// which does not count suspended time.
	Clock func() time.Duration
}

// clockOrDefault returns Clock, or Go's monotonic clock if Clock is nil.
func (c *Config) clockOrDefault() func() time.Duration {
	if c.Clock != nil {
		return c.Clock
	}
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// InitialState returns the initial durable state of a founding voter of a new group.
// The machine must be in the same initial state on every founding voter. The
// error is that of the machine's Snapshot.
func InitialState(voters []raft.MemberID, machine StateMachine) (raft.DurableState, error) {
	data, err := machine.Snapshot()
	if err != nil {
		return raft.DurableState{}, err
	}
	return raft.DurableState{Snapshot: raft.Snapshot{
		Index:   1,
		Term:    1,
		Members: raft.Members{Voters: voters},
		Data:    data,
	}}, nil
}

// tickInterval returns the longest interval between two ticks of the core.
func (c *Config) tickInterval() time.Duration { return c.Raft.Heartbeat / ticksPerHeartbeat }
