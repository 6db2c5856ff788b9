package replica

import (
	"sync/atomic"

	"github.com/agateslip/agateslip/raft"
)

// publishedStatus is the latest status; changed is closed when another role,
// term or leader is published.
type publishedStatus struct {
	status  raft.Status
	changed chan struct{}
}

// Status returns the member's status after the owner's last step.
func (r *Replica) Status() raft.Status { return r.status.Load().status }

// Observe returns the member's status at this instant, ahead of what is durable
// or applied, and whether it may act alone as the leader. Everything accepted
// before is within Commit where it may, and everything that it acknowledged to a
// leader within LastIndex.
func (r *Replica) Observe() (status raft.Status, leads bool) {
	r.withCore(func(core *raft.Core, now raft.Instant) {
		status = core.Status()
		leads = core.LeaseValid(now)
	})
	return status, leads
}

// Changed returns the status and a channel that is closed when the member's
// role, term or leader has changed from it.
func (r *Replica) Changed() (raft.Status, <-chan struct{}) {
	p := r.status.Load()
	return p.status, p.changed
}

func (r *Replica) publish(status raft.Status) {
	old := r.status.Load()
	if old == nil {
		r.status.Store(&publishedStatus{status: status, changed: make(chan struct{})})
		return
	}
	was := old.status
	if was.Role == status.Role && was.Term == status.Term && was.Leader == status.Leader {
		r.status.Store(&publishedStatus{status: status, changed: old.changed})
		return
	}
	r.status.Store(&publishedStatus{status: status, changed: make(chan struct{})})
	close(old.changed)
	r.cfg.Log.WithField("term", status.Term).WithField("leader", status.Leader).
		WithField("leads", status.Role == raft.Leader).Info("consensus role changed")
}

// Stats counts a replica's work since it was made.
type Stats struct {
	// Entries counts log entries written.
	Entries uint64 `json:"entries"`
	// Applied is the index of the last applied entry.
	Applied uint64 `json:"applied"`
	// DroppedMessages counts received messages for which there was no room.
	DroppedMessages uint64 `json:"droppedMessages"`
	// Regressed is the last member that was found, while this one led, to lack
	// entries that it had acknowledged; zero if none.
	Regressed raft.MemberID `json:"regressed,omitempty"`
}

type counters struct {
	entries, applied, dropped, regressed atomic.Uint64
}

// Stats returns the counters.
func (r *Replica) Stats() Stats {
	return Stats{
		Entries:         r.counters.entries.Load(),
		Applied:         r.counters.applied.Load(),
		DroppedMessages: r.counters.dropped.Load(),
		Regressed:       raft.MemberID(r.counters.regressed.Load()),
	}
}
