package replica

import (
	"sync/atomic"

	"github.com/agateslip/agateslip/raft"
)

// publishedStatus is a published status and the channel that announces a change from
// it.
type publishedStatus struct {
	status raft.Status
	// changed is closed when a status with another role, term or leader is
	// published.
	changed chan struct{}
}

// Status returns the member's status after the last iteration of the owner's loop.
func (r *Replica) Status() raft.Status { return r.status.Load().status }

// CurrentStatus returns the core's current status, which may be ahead of what is durable
// or applied, and whether this replica leads under a valid lease. If it leads,
// status.Commit covers every entry accepted before the call. status.LastIndex
// always covers every entry that the member has acknowledged to a leader.
func (r *Replica) CurrentStatus() (status raft.Status, leads bool) {
	r.withCore(func(core *raft.Core, now raft.Instant) {
		status = core.Status()
		leads = core.LeaseValid(now)
	})
	return status, leads
}

// WatchStatus returns the status and a channel that is closed once the member's role,
// term or leader differs from that status.
func (r *Replica) WatchStatus() (raft.Status, <-chan struct{}) {
	p := r.status.Load()
	return p.status, p.changed
}

// publishStatus stores the status for Status and WatchStatus. If the role, term or
// leader differs from the previous status, it wakes the callers of WatchStatus and
// logs the change.
func (r *Replica) publishStatus(status raft.Status) {
	old := r.status.Load()
	if old == nil {
		r.status.Store(&publishedStatus{status: status, changed: make(chan struct{})})
		return
	}
	oldStatus := old.status
	if oldStatus.Role == status.Role && oldStatus.Term == status.Term && oldStatus.Leader == status.Leader {
		r.status.Store(&publishedStatus{status: status, changed: old.changed})
		return
	}
	r.status.Store(&publishedStatus{status: status, changed: make(chan struct{})})
	close(old.changed)
	r.cfg.Log.WithField("term", status.Term).WithField("leader", status.Leader).
		WithField("leads", status.Role == raft.Leader).Info("consensus role changed")
}

// Stats holds a replica's counters since it was created.
type Stats struct {
	// Entries counts the log entries that the replica made durable.
	Entries uint64 `json:"entries"`
	// Applied is the index of the last applied entry.
	Applied uint64 `json:"applied"`
	// DroppedMessages counts received messages dropped because the queue was full.
	DroppedMessages uint64 `json:"droppedMessages"`
	// Regressed is the last member that this replica, as leader, found to lack
	// entries that the member had acknowledged; zero if none.
	Regressed raft.MemberID `json:"regressed,omitempty"`
}

// counters holds the values of Stats, which the owner goroutine and Deliver update.
type counters struct {
	entriesWritten, appliedIndex, droppedMessages, regressedMember atomic.Uint64
}

// Stats returns the counters.
func (r *Replica) Stats() Stats {
	return Stats{
		Entries:         r.counters.entriesWritten.Load(),
		Applied:         r.counters.appliedIndex.Load(),
		DroppedMessages: r.counters.droppedMessages.Load(),
		Regressed:       raft.MemberID(r.counters.regressedMember.Load()),
	}
}
