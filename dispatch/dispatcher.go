package dispatch

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// Dispatcher holds what one entry node knows of upstreams and its calls.
type Dispatcher struct {
	limits    Limits
	domain    string
	upstreams map[string]*upstream
	// byService are the upstreams of a service, by id.
	byService map[string][]*upstream
	waiting   []*waiting
	running   map[Token]*run
	forecasts map[Key]forecast
	// arrivals counts the calls for each model since the start.
	arrivals map[Key]uint64
	// countedAt is when the planner's counts of calls were last confirmed.
	countedAt time.Duration
}

// run is a call at an upstream.
type run struct {
	call     Call
	upstream *upstream
}

// forecast is when a model can run, as the planner expects.
type forecast struct {
	at time.Duration
	// until is when the forecast is too old to decide by.
	until time.Duration
}

// New returns a dispatcher for a node in a failure domain.
func New(limits Limits, domain string) *Dispatcher {
	return &Dispatcher{
		limits:    limits,
		domain:    domain,
		upstreams: map[string]*upstream{},
		byService: map[string][]*upstream{},
		running:   map[Token]*run{},
		forecasts: map[Key]forecast{},
		arrivals:  map[Key]uint64{},
	}
}

// Update takes changed upstreams and returns what that lets happen.
func (d *Dispatcher) Update(changed []fleet.Upstream, now time.Duration) []Verdict {
	for i := range changed {
		d.update(&changed[i])
	}
	return d.decide(now)
}

func (d *Dispatcher) update(next *fleet.Upstream) {
	known := d.upstreams[next.ID]
	if next.Gone {
		if known != nil {
			d.drop(known)
		}
		return
	}
	copied := *next
	if known != nil && known.desc.Born == next.Born && known.desc.Service == next.Service {
		known.desc = &copied
		return
	}
	if known != nil {
		d.drop(known)
	}
	u := &upstream{desc: &copied}
	d.upstreams[next.ID] = u
	d.byService[next.Service] = append(d.byService[next.Service], u)
	slices.SortFunc(d.byService[next.Service], byID)
}

func (d *Dispatcher) drop(u *upstream) {
	delete(d.upstreams, u.desc.ID)
	d.byService[u.desc.Service] = slices.DeleteFunc(d.byService[u.desc.Service],
		func(o *upstream) bool { return o == u })
}

// Submit takes a call and returns the decisions that are due, its own among them
// unless it waits.
func (d *Dispatcher) Submit(c Call, now time.Duration) []Verdict {
	if c.Model != "" && !c.Repeat {
		d.arrivals[Key{c.Service, c.Model, c.Adapter}]++
	}
	d.enqueue(&waiting{call: c})
	return d.decide(now)
}

// Withdraw forgets a waiting call whose caller has left.
func (d *Dispatcher) Withdraw(t Token) {
	d.waiting = slices.DeleteFunc(d.waiting, func(w *waiting) bool { return w.call.Token == t })
}

// Observe takes the load that an upstream stated with its answer to a call.
func (d *Dispatcher) Observe(t Token, l Load, now time.Duration) {
	r := d.running[t]
	if r == nil || l.Slots <= 0 {
		return
	}
	u := r.upstream
	u.others = max(0, l.Running+l.Waiting-u.own)
	u.observed = now
	u.slots = l.Slots
}

// ObserveAll takes the calls of all nodes at each engine whose count has changed,
// as the planner counts them, to choose between engines: a node that sees a small
// part of the traffic hears from an engine too seldom to know its load from answers
// alone. Whether an engine has room it says itself. whole says that engines that are
// not named have no calls.
func (d *Dispatcher) ObserveAll(running map[string]int, whole bool, now time.Duration) {
	if whole {
		for _, u := range d.upstreams {
			u.counted = 0
		}
	}
	for id, calls := range running {
		if u := d.upstreams[id]; u != nil {
			u.counted = max(0, calls-u.own)
		}
	}
	d.countedAt = now
}

// FirstByte takes note that a call's answer has begun.
func (d *Dispatcher) FirstByte(t Token) {
	if r := d.running[t]; r != nil {
		r.upstream.answered()
	}
}

// Finish takes the end of a call's attempt and returns what that lets happen.
func (d *Dispatcher) Finish(t Token, result Result, now time.Duration) []Verdict {
	r := d.running[t]
	if r == nil {
		return nil
	}
	delete(d.running, t)
	r.upstream.own--
	r.upstream.settle(&d.limits, &r.call, result, now)
	return d.decide(now)
}

// Tick returns the decisions that time alone makes due.
func (d *Dispatcher) Tick(now time.Duration) []Verdict { return d.decide(now) }

// Forecast takes the planner's word on when a model, named without adapter, can run. It
// replaces the earlier word on the same one.
func (d *Dispatcher) Forecast(k Key, in, now time.Duration) {
	d.forecasts[k] = forecast{at: now + in, until: now + d.limits.ForecastAge}
}

// Health is what a dispatcher makes of an upstream.
type Health struct {
	// Calls is how many calls of this node run there; Others how many of other nodes
	// the planner counted.
	Calls  int `json:"calls"`
	Others int `json:"others"`
	// Failing is the recent share of calls that failed.
	Failing float64 `json:"failing"`
	// Closed is for how long it gets no calls.
	Closed time.Duration `json:"-"`
}

// Health returns what is known of an upstream; zero if nothing is.
func (d *Dispatcher) Health(id string, now time.Duration) Health {
	u := d.upstreams[id]
	if u == nil {
		return Health{}
	}
	return Health{Calls: u.own, Others: u.counted, Failing: u.failures(now), Closed: max(0, u.closed-now)}
}

// Waiting is how many calls wait.
func (d *Dispatcher) Waiting() int { return len(d.waiting) }

// Arrivals counts the calls for each model and adapter since the start.
func (d *Dispatcher) Arrivals() map[Key]uint64 { return d.arrivals }

// Running counts the calls that run, by upstream, model and adapter.
func (d *Dispatcher) Running() map[string]map[Key]int {
	count := map[string]map[Key]int{}
	for _, r := range d.running {
		if r.call.Model == "" {
			continue
		}
		id := r.upstream.desc.ID
		if count[id] == nil {
			count[id] = map[Key]int{}
		}
		count[id][Key{r.call.Service, r.call.Model, r.call.Adapter}]++
	}
	return count
}
