package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// wordTTL is how long the leader's word on a quota without room counts for calls that arrive later.
	wordTTL = 250 * time.Millisecond
	// useTime is the time over which a node averages what its calls use.
	useTime = 2 * time.Second
	// aheadTime is the time for which a node wants what it expects its calls to use.
	aheadTime = 750 * time.Millisecond
	// rareShare is the part of a call that a node expects within aheadTime below which it wants nothing ahead.
	rareShare = 0.25
	// maxQuotaWaits bounds the calls of one tenant that wait at a node.
	maxQuotaWaits = 64
	// quotaRetryAfter is when a call may come back if no leader answered, and maxQuotaRetry bounds when others may.
	quotaRetryAfter = 500 * time.Millisecond
	maxQuotaRetry   = 4 * time.Second
)

// QuotaCall is a call that is to take its cost.
type QuotaCall struct {
	ID uint64
	// Cost is in units of the quota.
	Cost    float64
	Arrived time.Duration
	// Limit is until when the call waits for the quota to have room, and LeaderLimit until when it waits for a leader or for
	// what other nodes hold.
	Limit, LeaderLimit time.Duration
}

// QuotaOutcome is what became of a call.
type QuotaOutcome uint8

const (
	// QuotaTaken means that the call may run.
	QuotaTaken QuotaOutcome = iota + 1
	// QuotaExceeded means that the quota has no room in time.
	QuotaExceeded
	// QuotaUnknown means that no leader answered in time.
	QuotaUnknown
)

// QuotaVerdict tells what became of a call.
type QuotaVerdict struct {
	ID      uint64
	Outcome QuotaOutcome
	// RetryAfter is when the quota is expected to have room for the call.
	RetryAfter time.Duration
}

// Shares is what a node holds of the tenants' quotas, and its calls that wait for more.
type Shares struct {
	process uint64
	seq     uint64
	term    uint64
	tenants map[string]*share
	// sent holds the use by tenant that the latest report told.
	sent map[string]float64
	// retell is set from the beginning of a term until its leader has answered a report of the earlier leader's word on all
	// reserves.
	retell bool
}

// share is the node's part of one tenant's quota.
type share struct {
	// current is what the leader of the node's term has granted, and earlier what remains of an earlier leader's.
	current, earlier purse
	// used is the use in the term; reported is that which the leader has heard of.
	used, reported float64
	// returnable are calls that took their cost lately and may give it back, in the order in which they took it.
	returnable []taken
	// waiting is sorted by arrival.
	waiting []QuotaCall
	// heardAt is when the leader's word on the waiting calls arrived, zero before that; roomAt is when it expects room for
	// the first of them, and perSecond what can be expected from then on.
	heardAt, roomAt time.Duration
	perSecond       float64
	// later is set if the calls lack room only because of what other nodes hold.
	later bool
	// backlog is how much later there is room for calls that were refused and come back. refused is what they cost since the
	// last report.
	backlog time.Duration
	refused float64
	// kept is the latest word that a leader keeps the reserve.
	kept KeptReserve
	// average is the use per second, as of averagedAt; largest is the cost of the dearest call lately.
	average, largest float64
	averagedAt       time.Duration
}

// purse is an amount that is void from a time on.
type purse struct {
	term      uint64
	amount    float64
	expiresAt time.Duration
}

// taken is a cost that a call took.
type taken struct {
	id   uint64
	cost float64
	at   time.Duration
	term uint64
}

// NewShares returns the shares of a process that holds nothing yet. process tells it from earlier ones of the node.
func NewShares(process uint64) *Shares {
	return &Shares{process: process, tenants: map[string]*share{}}
}

func (s *Shares) of(tenant string) *share {
	sh := s.tenants[tenant]
	if sh == nil {
		sh = &share{}
		s.tenants[tenant] = sh
	}
	return sh
}

// Take lets a call take its cost, or lets it wait: it then returns false, and a verdict follows.
func (s *Shares) Take(tenant string, bound QuotaBound, call QuotaCall, now time.Duration) (QuotaVerdict, bool) {
	sh := s.of(tenant)
	sh.expire(s.term, now)
	if call.Cost > bound.Out {
		return QuotaVerdict{call.ID, QuotaExceeded, maxQuotaRetry}, true
	}
	at, _ := slices.BinarySearchFunc(sh.waiting, call, func(w, c QuotaCall) int {
		return cmp.Or(cmp.Compare(w.Arrived, c.Arrived), cmp.Compare(w.ID, c.ID))
	})
	if at == 0 && sh.take(&call, now) {
		return QuotaVerdict{ID: call.ID, Outcome: QuotaTaken}, true
	}
	if len(sh.waiting) >= maxQuotaWaits {
		return sh.refuse(&call, sh.roomFor(len(sh.waiting)), now), true
	}
	if sh.heardAt > 0 && now-sh.heardAt < wordTTL && sh.roomFor(at) > sh.limit(&call) {
		return sh.refuse(&call, sh.roomFor(at), now), true
	}
	sh.waiting = slices.Insert(sh.waiting, at, call)
	return QuotaVerdict{}, false
}

// take takes the cost of a call if the node holds it.
func (sh *share) take(call *QuotaCall, now time.Duration) bool {
	for _, p := range []*purse{&sh.earlier, &sh.current} {
		if p.amount < call.Cost {
			continue
		}
		p.amount -= call.Cost
		sh.returnable = append(sh.returnable, taken{call.ID, call.Cost, now, p.term})
		if sh.wanted(now) == 0 {
			sh.largest = 0
		}
		sh.largest = max(call.Cost, sh.largest)
		sh.average = sh.averageUse(now) + call.Cost/useTime.Seconds()
		sh.averagedAt = now
		return true
	}
	return false
}

// averageUse returns the recent use per second.
func (sh *share) averageUse(now time.Duration) float64 {
	return sh.average * math.Exp(-(now-sh.averagedAt).Seconds()/useTime.Seconds())
}

// wanted returns what the node should hold for calls that have not arrived.
func (sh *share) wanted(now time.Duration) float64 {
	expected := sh.averageUse(now) * aheadTime.Seconds()
	if expected < rareShare*sh.largest {
		return 0
	}
	return math.Ceil(max(expected, sh.largest))
}

// expire drops what is void, and settles what calls can no longer give back.
func (sh *share) expire(term uint64, now time.Duration) {
	if now >= sh.earlier.expiresAt {
		sh.earlier.amount = 0
	}
	void := now >= sh.current.expiresAt
	if void {
		sh.current.amount = 0
	}
	sh.returnable = slices.DeleteFunc(sh.returnable, func(t taken) bool {
		settled := now-t.at >= ReturnTime || (t.term == term && void)
		if settled && t.term == term {
			sh.used += t.cost
		}
		return settled
	})
}

// GiveBack gives back the cost of a call that did not run. It returns the verdicts on calls that take it.
func (s *Shares) GiveBack(tenant string, id uint64, now time.Duration) []QuotaVerdict {
	sh := s.of(tenant)
	sh.expire(s.term, now)
	at := slices.IndexFunc(sh.returnable, func(t taken) bool { return t.id == id })
	if at < 0 {
		return nil
	}
	t := sh.returnable[at]
	sh.returnable = slices.Delete(sh.returnable, at, at+1)
	for _, p := range []*purse{&sh.current, &sh.earlier} {
		if p.term == t.term && now < p.expiresAt {
			p.amount += t.cost
		}
	}
	return sh.serve(now)
}

// Withdraw removes a call that waits.
func (s *Shares) Withdraw(tenant string, id uint64) {
	sh := s.of(tenant)
	sh.waiting = slices.DeleteFunc(sh.waiting, func(c QuotaCall) bool { return c.ID == id })
}

// serve lets the calls that wait take their costs, in their order, as far as the node holds enough.
func (sh *share) serve(now time.Duration) []QuotaVerdict {
	var verdicts []QuotaVerdict
	for len(sh.waiting) > 0 && sh.take(&sh.waiting[0], now) {
		verdicts = append(verdicts, QuotaVerdict{ID: sh.waiting[0].ID, Outcome: QuotaTaken})
		sh.waiting = slices.Delete(sh.waiting, 0, 1)
	}
	return verdicts
}

// roomFor returns when the leader's latest word lets expect room for a call behind the given number of calls that wait.
func (sh *share) roomFor(others int) time.Duration {
	at := sh.roomAt
	if others > 0 {
		var amount float64
		for _, w := range sh.waiting[:others] {
			amount += w.Cost
		}
		at += seconds(amount / sh.perSecond)
	}
	return at
}

// limit returns until when a call waits for room.
func (sh *share) limit(c *QuotaCall) time.Duration {
	if sh.later {
		return max(c.Limit, c.LeaderLimit)
	}
	return c.Limit
}

// refuse returns the verdict on a call for which the quota is expected to have room at the given time, but for those
// refused before it.
func (sh *share) refuse(c *QuotaCall, roomAt, now time.Duration) QuotaVerdict {
	sh.refused += c.Cost
	at := max(now, roomAt) + max(0, sh.backlog-(now-sh.heardAt))
	return QuotaVerdict{c.ID, QuotaExceeded, min(at-now, maxQuotaRetry)}
}

// Tick returns the verdicts on the calls that can go on, or have waited as long as they may.
func (s *Shares) Tick(now time.Duration) []QuotaVerdict {
	var verdicts []QuotaVerdict
	for _, sh := range s.tenants {
		sh.expire(s.term, now)
		// The leader has answered if its word is more recent than the time within which it is asked again.
		heard := sh.heardAt > 0 && now-sh.heardAt < 2*wordTTL
		sh.waiting = slices.DeleteFunc(sh.waiting, func(c QuotaCall) bool {
			switch {
			case heard && now >= sh.limit(&c) && sh.heardAt >= c.Arrived:
				verdicts = append(verdicts, sh.refuse(&c, sh.roomAt, now))
			case now >= c.LeaderLimit:
				verdicts = append(verdicts, QuotaVerdict{c.ID, QuotaUnknown, quotaRetryAfter})
			default:
				return false
			}
			return true
		})
		verdicts = append(verdicts, sh.serve(now)...)
	}
	return verdicts
}

// Waiting returns the number of calls that wait, and when the leader is to be asked again for them.
func (s *Shares) Waiting(now time.Duration) (calls int, askAt time.Duration) {
	askAt = now + needTTL/2
	for _, sh := range s.tenants {
		if len(sh.waiting) > 0 {
			calls += len(sh.waiting)
			askAt = min(askAt, max(now, sh.roomAt))
		}
	}
	return calls, askAt
}

// Report returns the next report, and false if there is nothing to tell. The first report that lacks a tenant tells that the
// node holds nothing of its quota. What the node holds beyond what it wants is not in the report, and thereby given back.
func (s *Shares) Report(now time.Duration) (ShareReport, bool) {
	s.seq++
	r := ShareReport{Process: s.process, Seq: s.seq, Term: s.term}
	told := len(s.sent) > 0
	s.sent = map[string]float64{}
	for tenant, sh := range s.tenants {
		sh.expire(s.term, now)
		if state, ok := sh.state(tenant, s.term, now); ok || s.retell && sh.kept.Term > 0 {
			r.Shares = append(r.Shares, state)
			s.sent[tenant] = sh.used
		}
	}
	return r, told || len(r.Shares) > 0
}

// state returns what a report says of the tenant, and false if it needs to say nothing.
func (sh *share) state(tenant string, term uint64, now time.Duration) (Share, bool) {
	state := Share{Tenant: tenant, Used: sh.used, Refused: sh.refused, Kept: sh.kept}
	sh.refused = 0
	if len(sh.waiting) == 0 {
		wanted := sh.wanted(now)
		if wanted < sh.current.amount/2 {
			sh.current.amount = min(sh.current.amount, wanted)
		}
		state.Ahead = max(0, wanted-sh.current.amount)
	} else {
		first := sh.waiting[0]
		state.Waited = now - first.Arrived
		lacks := -sh.current.amount
		for _, w := range sh.waiting {
			lacks += w.Cost
			state.Patience = max(state.Patience, sh.limit(&w)-now)
		}
		state.Need, state.First = max(0, lacks), max(0, first.Cost-sh.current.amount)
	}
	state.Held = sh.current.amount
	for _, t := range sh.returnable {
		if t.term == term {
			state.Held += t.cost
		}
	}
	return state, state.Held+state.Need+state.Ahead+state.Refused > 0 || sh.used != sh.reported
}

// Apply applies the answer to the latest report, which was sent at askedAt, and returns the verdicts on calls that waited.
func (s *Shares) Apply(answer ShareAnswer, askedAt, now time.Duration) []QuotaVerdict {
	if answer.Seq != s.seq || answer.Term < s.term {
		return nil
	}
	var verdicts []QuotaVerdict
	if answer.Term > s.term {
		s.beginTerm(answer.Term, now)
	} else {
		s.retell = false
		for tenant, used := range s.sent {
			sh := s.tenants[tenant]
			sh.reported = used
			if now < sh.current.expiresAt {
				sh.current.expiresAt = askedAt + ShareTTL
			}
		}
	}
	for _, tenant := range answer.Kept {
		s.of(tenant).kept = KeptReserve{answer.Term, answer.Version}
	}
	for _, g := range answer.Grants {
		sh := s.of(g.Tenant)
		sh.expire(s.term, now)
		if now < askedAt+ShareTTL {
			sh.current = purse{s.term, sh.current.amount + g.Amount, askedAt + ShareTTL}
		}
		if g.Return {
			sh.current.amount = 0
		}
		if g.PerSecond > 0 {
			sh.heardAt, sh.roomAt, sh.perSecond, sh.later, sh.backlog = now, now+g.In, g.PerSecond, g.Later, g.Backlog
		}
		verdicts = append(verdicts, sh.serve(now)...)
		verdicts = append(verdicts, sh.refuseLate(now)...)
	}
	return verdicts
}

// beginTerm lets the node hold what it has of earlier leaders until that is void, apart from what a new leader grants.
func (s *Shares) beginTerm(term uint64, now time.Duration) {
	for _, sh := range s.tenants {
		sh.expire(s.term, now)
		sh.earlier = sh.current
		sh.current = purse{}
		sh.used, sh.reported = 0, 0
	}
	s.term, s.retell = term, true
}

// refuseLate refuses the calls that wait and for which the leader's word lets expect no room in time.
func (sh *share) refuseLate(now time.Duration) []QuotaVerdict {
	var verdicts []QuotaVerdict
	for i := 0; i < len(sh.waiting); {
		at := max(now, sh.roomFor(i))
		if c := sh.waiting[i]; at > sh.limit(&c) && sh.heardAt >= c.Arrived {
			verdicts = append(verdicts, sh.refuse(&c, at, now))
			sh.waiting = slices.Delete(sh.waiting, i, i+1)
			continue
		}
		i++
	}
	return verdicts
}
