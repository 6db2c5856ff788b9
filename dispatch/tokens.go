package dispatch

import "time"

// EngineTokens are the tokens of the calls at an engine.
type EngineTokens struct {
	// Unread is the length of the prompts of calls whose answer has no event yet.
	Unread int `json:"u,omitempty"`
	// Held is what running calls reserve of the engine's memory.
	Held int `json:"h,omitempty"`
}

func (t EngineTokens) minus(o EngineTokens) EngineTokens {
	return EngineTokens{Unread: max(0, t.Unread-o.Unread), Held: max(0, t.Held-o.Held)}
}

// Use is what the calls of one node for one model or adapter take of an engine.
type Use struct {
	Calls int
	EngineTokens
}

// tokens returns what a call takes of an engine that has the given memory and has not begun its answer.
func (c *Call) tokens(memory int) EngineTokens {
	return EngineTokens{Unread: c.unread(), Held: c.reserved(memory)}
}

// FirstEvent records that the first event of a running call's answer arrived, so long after the call was sent: the
// engine has read the prompt. Later events of a call are ignored.
func (d *Dispatcher) FirstEvent(id CallID, took time.Duration) {
	if r := d.running[id]; r != nil {
		d.learnSlowness(r, took)
		r.upstream.ownTokens.Unread -= r.tokens.Unread
		r.tokens.Unread = 0
	}
}

// ObservePlannerTokens records the planner's counts of the tokens of the calls of all nodes, by engine ID. The arguments are
// those of ObservePlannerCounts. The counts hold what Running returned last, whatever has started or ended since.
func (d *Dispatcher) ObservePlannerTokens(tokens map[string]EngineTokens, whole bool) {
	if whole {
		for _, u := range d.upstreams {
			u.othersTokens = EngineTokens{}
		}
	}
	for id, t := range tokens {
		if u := d.upstreams[id]; u != nil {
			u.othersTokens = t.minus(u.reportedTokens)
		}
	}
}
