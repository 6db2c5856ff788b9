package dispatch

import (
	"maps"
	"math"
	"time"
)

const (
	// averageOutputShare is the average share of its stated maximum that an answer has.
	averageOutputShare = 0.5
	// memoryReserve is the share of an engine's memory that only urgent calls, calls that have waited and streams
	// that go on may use.
	memoryReserve = 1.0 / 16
	// maxAnswerShare bounds the share of an engine's memory that a call reserves for its answer, whatever its caller
	// states.
	maxAnswerShare = 1.0 / 16
	// retryOdds reduces the odds of a call that has waited for memory. It draws several times while it waits, where new
	// calls draw once.
	retryOdds = 0.1
	// tooLargeRetryAfter is the wait asked of the callers of calls that exceed the memory of all engines. Only another
	// configuration helps.
	tooLargeRetryAfter = 30 * time.Second
)

// SetMemory records the memory of the engines of each service, in tokens, in place of what was known, and returns the
// decisions on waiting calls that follow. Services that are left out, or have none, set no limit.
//
// It answers this load pattern: prompts that differ several times in length. Engines have slots for many of the mean
// length and no memory for as many of the longest; when it runs out they put requests back in the middle of their
// answers. A call is sent only where its prompt and its expected answer fit beside those of all nodes.
func (d *Dispatcher) SetMemory(tokens map[string]int, now time.Duration) []Verdict {
	d.memory = maps.Clone(tokens)
	return d.processQueue(now)
}

// reserved returns what a call takes of an engine with the given memory, in tokens; zero is unknown memory.
func (c *Call) reserved(memory int) int {
	if memory <= 0 {
		return c.PromptTokens + c.OutputTokens
	}
	return c.PromptTokens + int(min(float64(c.OutputTokens)*averageOutputShare, float64(memory)*maxAnswerShare))
}

// exceedsMemory reports whether no engine of the call's service can ever hold its prompt. A stream that goes on was held
// by one.
func (d *Dispatcher) exceedsMemory(c *Call) bool {
	memory := d.memory[c.Service]
	return c.Model != "" && !c.Pinned && memory > 0 && c.PromptTokens > memory
}

// memoryCeiling returns the most tokens that an engine may hold for the call to be sent there, or math.MaxInt if its
// memory does not matter. An engine that holds none takes any call that it can ever hold; below zero, no engine can.
func (d *Dispatcher) memoryCeiling(c *Call, now time.Duration) int {
	memory := d.memory[c.Service]
	if c.Model == "" || memory <= 0 || c.PromptTokens+c.OutputTokens == 0 {
		return math.MaxInt
	}
	if d.exceedsMemory(c) {
		return -1
	}
	limit := int(float64(memory) * (1 - memoryReserve*heldBack(c, now)))
	return max(0, limit-c.reserved(memory))
}

// withMemory returns the candidates for a call that have memory for it, or none if the call has to wait.
//
// Other nodes see the same room and send calls before the counts show them. If the candidates have less room on average
// than is contested, the call is sent with odds that fall with it, and draws anew with each count of the planner. What
// full engines do not take goes to others only as far as these have room to spare: all nodes would send it there.
func (d *Dispatcher) withMemory(candidates []candidate, c *Call, now time.Duration) []candidate {
	ceiling := d.memoryCeiling(c, now)
	if ceiling == math.MaxInt || len(candidates) == 0 {
		return candidates
	}
	odds, sum := make([]float64, len(candidates)), 0.0
	for i, o := range candidates {
		odds[i] = d.memoryOdds(o.upstream, c, ceiling, now)
		sum += odds[i]
	}
	draw := c.ID ^ CallID(d.plannerCountAt)<<1
	if callDraw(draw)*float64(len(candidates)) >= sum {
		return nil
	}
	var kept []candidate
	likeliest, lowest := 0, math.Inf(1)
	for i, o := range candidates {
		score := rendezvousScore(uint64(draw), o.upstream.desc.ID) / odds[i]
		if score < 1 {
			kept = append(kept, o)
		}
		if score < lowest {
			likeliest, lowest = i, score
		}
	}
	if len(kept) == 0 {
		kept = append(kept, candidates[likeliest])
	}
	return kept
}

// memoryOdds returns the room that an engine has for a call if it may hold as many tokens as ceiling, as a multiple of
// what is contested: the tokens that other nodes are expected to send unseen.
func (d *Dispatcher) memoryOdds(u *upstream, c *Call, ceiling int, now time.Duration) float64 {
	held := d.heldTokens(u, now)
	if held > ceiling {
		return 0
	}
	room := float64(ceiling - held + c.reserved(d.memory[c.Service]))
	contested := d.unseenShare(now) * float64(u.othersTokens.Held)
	if c.waitedForMemory {
		contested /= retryOdds
	}
	if held == 0 || c.Pinned || contested == 0 {
		return math.Inf(1)
	}
	return room / contested
}

// unseenShare returns the share of the tokens of other nodes that has been replaced unseen, in a steady state, by the
// time at which the planner counts this call. It is zero without recent counts.
func (d *Dispatcher) unseenShare(now time.Duration) float64 {
	age := now - d.plannerCountAt + 2*countLag
	if !d.plannerCounted || age >= d.limits.LoadReportTTL {
		return 0
	}
	return float64(age) / float64(d.limits.LoadReportTTL)
}

// heldBack returns the share of the reserve that a call may not use: none of it is left when its answer is due.
func heldBack(c *Call, now time.Duration) float64 {
	if c.Pinned {
		return 0
	}
	rank := float64(1 + max(0, c.Rank))
	waited := 1.0
	if c.Target > c.Arrived {
		waited = min(1, max(0, float64(now-c.Arrived)/float64(c.Target-c.Arrived)))
	}
	return (1 - 1/(rank*rank)) * (1 - waited)
}

// heldTokens returns the tokens that calls of all nodes reserve at an engine, as far as they are known. The planner's
// count is ignored once it is old.
func (d *Dispatcher) heldTokens(u *upstream, now time.Duration) int {
	held := u.ownTokens.Held
	if d.plannerCounted && now-d.plannerCountAt < d.limits.LoadReportTTL {
		held += u.othersTokens.Held
	}
	return held
}

// MemoryShortage returns the number of calls that wait because only engine memory is missing, by service.
func (d *Dispatcher) MemoryShortage() map[string]int {
	short := map[string]int{}
	for _, w := range d.queue {
		if w.outcome == lacksMemory {
			short[w.call.Service]++
		}
	}
	return short
}
