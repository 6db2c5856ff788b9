package replica

import "github.com/agateslip/agateslip/raft"

// regressionThreshold is the number of consecutive rejected appends that show that
// a member lacks entries it acknowledged. A single reject may be a delayed reply.
const regressionThreshold = 3

// detectRegression logs and counts a member that lost its disk or restored an old
// copy of it and restarted under its old ID. Such a member rejects appends that
// follow an entry it had acknowledged to this leader. The core cannot bring it up
// to date, because it does not resend acknowledged entries; the member must join
// again under a new ID.
func (r *Replica) detectRegression(core *raft.Core, m raft.Message) {
	if m.Kind != raft.MsgAppendReply {
		return
	}
	if !m.Reject {
		delete(r.consecutiveRejects, m.From)
		return
	}
	status := core.Status()
	if status.Role != raft.Leader || m.Term != status.Term || m.LogIndex > status.Match[m.From] {
		return
	}
	r.consecutiveRejects[m.From]++
	if r.consecutiveRejects[m.From] != regressionThreshold {
		return
	}
	r.counters.regressedMember.Store(uint64(m.From))
	r.cfg.Log.WithField("member", m.From).WithField("acknowledged", status.Match[m.From]).
		Error("member lacks entries that it acknowledged; replace it under a new member ID")
}
