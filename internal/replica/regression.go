package replica

import "github.com/agateslip/agateslip/raft"

// regressionProof is how many refusals in a row show that a member lacks what
// it acknowledged; one alone can be late.
const regressionProof = 3

// checkRegression reports a member whose disk was wiped or replaced by an old
// copy and that came back under its old ID: it refuses appends that follow an
// entry which it had acknowledged to this leader. The core sends it nothing
// that it could use; it must join again under a new ID.
func (r *Replica) checkRegression(core *raft.Core, m raft.Message) {
	if m.Kind != raft.MsgAppendReply {
		return
	}
	if !m.Reject {
		delete(r.regressions, m.From)
		return
	}
	status := core.Status()
	if status.Role != raft.Leader || m.Term != status.Term || m.LogIndex > status.Match[m.From] {
		return
	}
	r.regressions[m.From]++
	if r.regressions[m.From] != regressionProof {
		return
	}
	r.counters.regressed.Store(uint64(m.From))
	r.cfg.Log.WithField("member", m.From).WithField("acknowledged", status.Match[m.From]).
		Error("member lacks entries that it acknowledged; replace it under a new member ID")
}
