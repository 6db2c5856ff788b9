package dispatch

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/origin"
)

// Dispatcher assigns the calls of one entry node to upstreams. One goroutine uses it.
type Dispatcher struct {
	limits    Limits
	domain    string
	upstreams map[string]*upstream
	// byService lists the upstreams of each service, sorted by ID.
	byService map[string][]*upstream
	queue     []*queuedCall
	running   map[CallID]*runningCall
	forecasts map[ModelKey]forecast
	// another holds the forecasts of when another engine holds a model.
	another map[ModelKey]forecast
	// arrivals counts the calls for each model and adapter since the start, without
	// repeats.
	arrivals map[ModelKey]uint64
	// firstArrival is when the first of these calls was submitted.
	firstArrival time.Duration
	// plannerCountAt is when the latest counts of calls arrived from the planner.
	plannerCountAt time.Duration
	// plannerCounted is set once there are such counts.
	plannerCounted bool
	// overloads holds the models whose engines have more calls than they can run; the keys have no adapter.
	overloads map[ModelKey]overload
	// memory is that of each engine of a service, in tokens; services without a limit are left out.
	memory map[string]int
	// fair is what is known of tenants that compete.
	fair fairness
	// departed holds the requests of upstreams that were removed, by ID.
	departed map[string]departed
	// brittle holds what upstreams say of the rejections that they bear, by service, to this node or
	// others, and observedBrittle what they said to this node.
	brittle, observedBrittle map[string]brittleness
	// granted holds the services of whose upstreams the leader grants the slots.
	granted map[string]slotGrants
	// entryNodes is the number of nodes that send calls, and selfHash identifies this one.
	entryNodes int
	selfHash   uint64
	// slowness is that of all engines of a service, and prompts the mix of its calls.
	slowness map[string]*slowness
	prompts  map[string]*promptMix
	// origins tells which streams must be recorded.
	origins origin.View
}

// runningCall is a call that runs at an upstream.
type runningCall struct {
	call     Call
	upstream *upstream
	// tokens is what the call takes of the upstream.
	tokens EngineTokens
	// usualFirstEvent is what the time to the first event is compared with; zero if nothing is learned from it.
	usualFirstEvent time.Duration
	// limitSeq is the number of the upstream's rate limit that this node knew at the start.
	limitSeq uint64
}

// forecast is the planner's forecast of when a model can run.
type forecast struct {
	readyAt time.Duration
	// expiresAt is when the forecast becomes too old to be used.
	expiresAt time.Duration
}

// New returns a dispatcher without upstreams for a node in the given failure domain.
func New(limits Limits, domain string) *Dispatcher {
	return &Dispatcher{
		limits:    limits,
		domain:    domain,
		upstreams: map[string]*upstream{},
		byService: map[string][]*upstream{},
		running:   map[CallID]*runningCall{},
		forecasts: map[ModelKey]forecast{},
		another:   map[ModelKey]forecast{},
		arrivals:  map[ModelKey]uint64{},
		departed:  map[string]departed{},
		overloads: map[ModelKey]overload{},
		slowness:  map[string]*slowness{},
		prompts:   map[string]*promptMix{},
		fair:      newFairness(),

		brittle: map[string]brittleness{}, observedBrittle: map[string]brittleness{},
		granted: map[string]slotGrants{}, entryNodes: 1,
	}
}

// Update applies the changed upstreams and returns the decisions on waiting calls that
// follow. A new incarnation of an upstream starts without the state of the earlier one.
func (d *Dispatcher) Update(changed []fleet.Upstream, now time.Duration) []Verdict {
	for i := range changed {
		d.updateUpstream(&changed[i], now)
	}
	return d.processQueue(now)
}

func (d *Dispatcher) updateUpstream(next *fleet.Upstream, now time.Duration) {
	known := d.upstreams[next.ID]
	if next.Gone {
		if known != nil {
			d.removeUpstream(known, now)
		}
		return
	}
	copied := *next
	if known != nil && known.desc.Born == next.Born && known.desc.Service == next.Service {
		known.desc = &copied
		known.adoptRateLimit()
		return
	}
	if known != nil {
		d.removeUpstream(known, now)
	}
	u := &upstream{desc: &copied}
	if before, ok := d.departed[next.ID]; ok && before.born == next.Born {
		u.request = before.request
	}
	u.adoptRateLimit()
	d.upstreams[next.ID] = u
	d.byService[next.Service] = append(d.byService[next.Service], u)
	slices.SortFunc(d.byService[next.Service], byID)
}

func (d *Dispatcher) removeUpstream(u *upstream, now time.Duration) {
	d.rememberRequest(u, now)
	delete(d.upstreams, u.desc.ID)
	d.byService[u.desc.Service] = slices.DeleteFunc(d.byService[u.desc.Service],
		func(o *upstream) bool { return o == u })
}

// Submit adds a call and returns the decisions that are due. The call's own is among
// them unless it waits.
func (d *Dispatcher) Submit(c Call, now time.Duration) []Verdict {
	if c.Model != "" && !c.Repeat {
		if len(d.arrivals) == 0 {
			d.firstArrival = now
		}
		d.arrivals[ModelKey{c.Service, c.Model, c.Adapter}]++
	}
	d.notePrompt(&c, now)
	d.enqueue(&queuedCall{call: c})
	return d.processQueue(now)
}

// Withdraw removes a waiting call whose caller has left.
func (d *Dispatcher) Withdraw(id CallID) {
	d.queue = slices.DeleteFunc(d.queue, func(w *queuedCall) bool { return w.call.ID == id })
}

// maxReportedCalls bounds the numbers of calls in a load report, so that their sum is in range.
const maxReportedCalls = 1 << 30

// Observe records the load that an upstream reported with its answer to a running call.
// A report without slots is ignored.
func (d *Dispatcher) Observe(id CallID, l Load, now time.Duration) {
	r := d.running[id]
	if r == nil || l.Slots <= 0 {
		return
	}
	u := r.upstream
	l = Load{Running: min(l.Running, maxReportedCalls), Waiting: min(l.Waiting, maxReportedCalls), Slots: min(l.Slots, fleet.MaxSlots), Pace: l.Pace}
	u.othersReported = max(0, l.Running+l.Waiting-u.ownRunning)
	u.reportedAt = now
	u.reportedSlots = l.Slots
	u.observePace(l.Pace, now)
	if l.Waiting > 0 && l.Running < l.Slots {
		u.crowdedRunning, u.crowdedAt = max(1, l.Running), now
	}
}

// ObservePlannerCounts records the planner's counts of the calls of all nodes, by engine
// ID. A node that handles a small part of the traffic gets too few answers from an engine
// to know its load from them alone. The counts only rank engines; whether an engine has a
// free slot is decided by its own reports. running holds the counts that changed; if whole
// is set, it holds all of them, and engines that it does not name have no calls.
func (d *Dispatcher) ObservePlannerCounts(running map[string]int, whole bool, now time.Duration) {
	if whole {
		for _, u := range d.upstreams {
			u.plannerCount = 0
		}
	}
	for id, calls := range running {
		if u := d.upstreams[id]; u != nil {
			u.plannerCount = max(0, calls-u.ownRunning)
		}
	}
	d.plannerCountAt, d.plannerCounted = now, true
}

// FirstByte records that the answer to a running call has begun.
func (d *Dispatcher) FirstByte(id CallID) {
	if r := d.running[id]; r != nil {
		r.upstream.answerStarted()
	}
}

// Finish records the end of a call at its upstream and returns the decisions on waiting
// calls that follow. A call that is not running is ignored.
func (d *Dispatcher) Finish(id CallID, result Result, now time.Duration) []Verdict {
	r := d.running[id]
	if r == nil {
		return nil
	}
	delete(d.running, id)
	r.upstream.ownRunning--
	r.upstream.ownTokens = r.upstream.ownTokens.minus(r.tokens)
	r.upstream.recordResult(&d.limits, &r.call, result, now)
	if result == Rejected {
		d.pauseBrittle(r.upstream, now)
	}
	return d.processQueue(now)
}

// Tick returns the decisions that have become due by the passing of time.
func (d *Dispatcher) Tick(now time.Duration) []Verdict { return d.processQueue(now) }

// Forecast records the planner's forecast that a model can run after the time in. It
// replaces the earlier forecast for that model. k has no adapter.
func (d *Dispatcher) Forecast(k ModelKey, in, now time.Duration) {
	d.forecasts[k] = forecast{readyAt: now + in, expiresAt: now + d.limits.ForecastTTL}
}

// Health is a dispatcher's view of an upstream.
type Health struct {
	// Calls is the number of this node's calls that run there; Others is the number of
	// calls of other nodes by the planner's count.
	Calls  int `json:"calls"`
	Others int `json:"others"`
	// HeldTokens is what the calls of all nodes reserve of the upstream's memory.
	HeldTokens int `json:"heldTokens,omitempty"`
	// Failing is the recent share of calls that failed, 0 to 1.
	Failing float64 `json:"failing"`
	// PausedFor is how much longer the upstream is paused and gets no calls.
	PausedFor time.Duration `json:"-"`
	// RateLimit is the upstream's limit for all nodes together.
	RateLimit fleet.RateLimit `json:"-"`
}

// Health returns the view of an upstream, or the zero Health if it is unknown.
func (d *Dispatcher) Health(id string, now time.Duration) Health {
	u := d.upstreams[id]
	if u == nil {
		return Health{}
	}
	return Health{Calls: u.ownRunning, Others: u.plannerCount, HeldTokens: d.heldTokens(u, now), Failing: u.recentFailureRate(now), PausedFor: max(0, u.pausedUntil-now, u.request.pausedUntil-now), RateLimit: u.request.rateLimit}
}

// Waiting returns the number of waiting calls.
func (d *Dispatcher) Waiting() int { return len(d.queue) }

// Arrivals returns the number of calls for each model and adapter since the start,
// without repeats. The map is the dispatcher's own.
func (d *Dispatcher) Arrivals() map[ModelKey]uint64 { return d.arrivals }

// CountedFor returns the time since the first call that Arrivals counts; zero if there was
// none.
func (d *Dispatcher) CountedFor(now time.Duration) time.Duration {
	if len(d.arrivals) == 0 {
		return 0
	}
	return now - d.firstArrival
}

// unreachableTTL is how long an upstream that could not be reached counts as unreachable without
// another try. It exceeds the longest pause between two tries.
const unreachableTTL = 4 * time.Second

// Unreachable returns the upstreams that this node could not reach when it last tried.
func (d *Dispatcher) Unreachable(now time.Duration) []fleet.Incarnation {
	var all []fleet.Incarnation
	for _, u := range d.upstreams {
		if u.consecutiveUnreachable > 0 && now-u.unreachableAt < unreachableTTL {
			all = append(all, u.incarnation())
		}
	}
	return all
}

// Running returns what calls for models that run take of engines, by upstream ID and by model
// and adapter. ObservePlannerTokens assumes that the planner is told of it.
func (d *Dispatcher) Running() map[string]map[ModelKey]Use {
	count := map[string]map[ModelKey]Use{}
	for _, u := range d.upstreams {
		u.reportedTokens = EngineTokens{}
	}
	for _, r := range d.running {
		if r.call.Model == "" {
			continue
		}
		id := r.upstream.desc.ID
		if count[id] == nil {
			count[id] = map[ModelKey]Use{}
		}
		key := ModelKey{r.call.Service, r.call.Model, r.call.Adapter}
		use := count[id][key]
		use.Calls++
		use.Unread += r.tokens.Unread
		use.Held += r.tokens.Held
		count[id][key] = use
		if u := d.upstreams[id]; u != nil {
			u.reportedTokens.Unread += r.tokens.Unread
			u.reportedTokens.Held += r.tokens.Held
		}
	}
	return count
}
