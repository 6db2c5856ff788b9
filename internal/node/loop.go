package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/placement"
	"github.com/agateslip/agateslip/routing"
	"github.com/sirupsen/logrus"
)

const (
	// tickInterval is the cadence of the control loop without events.
	tickInterval = 100 * time.Millisecond
	// minWake bounds the cadence of looking for due verdicts.
	minWake = time.Millisecond
	// forecastLife is how long a forecast of the leader counts.
	forecastLife = 2 * time.Second
	// refreshEvery is when targets are set again although nothing changed, for
	// forecasts that have aged.
	refreshEvery = 500 * time.Millisecond
	// postQueue bounds the events that wait for the control loop.
	postQueue = 1024
	// adapterAllowance is added to a forecast for a request that also needs an
	// adapter.
	adapterAllowance = 250 * time.Millisecond
)

// targetKey is what admission and routing know a model's calls by. Replicas are
// held for one customer.
func targetKey(customer, model, adapter string) string {
	key := customer + "/" + model
	if adapter != "" {
		key += "#" + adapter
	}
	return key
}

// demandKey names one row of demand.
type demandKey struct {
	placement.Key
	Adapter string
}

// demand is what one model or adapter has on this node.
type demand struct {
	running  int
	arrivals int
}

// waiter is a call that waits for admission.
type waiter struct {
	key      demandKey
	deadline time.Duration
	decided  chan admission.Decision
}

// forecast is the leader's forecast of one model, with the time it came.
type forecast struct {
	placement.Forecast
	at time.Duration
}

// loop owns the node's control state. Everything in it is touched by its own
// goroutine only; others post functions.
type loop struct {
	node  *Node
	log   logrus.FieldLogger
	posts chan func()

	dir       *directory.Directory
	throttler *admission.Throttler
	selector  *routing.Selector
	retrier   *routing.Retrier
	waiters   map[uint64]*waiter
	nextID    uint64
	demands   map[demandKey]*demand
	forecasts map[placement.Key]forecast
	// local are the upstreams that announce themselves to this node.
	local map[string]bool
	// bodies and told are the announcements known here and those that the peers
	// were told, by digest.
	bodies *bodies
	told   map[string]uint64
	// pulls names peers to compare directories with now.
	pulls chan string
	// seen are the versions of upstreams that the selector knows.
	seen map[string]uint64
	// grants is the ledger that the selector's replicas were checked against.
	grants   placement.Ledger
	revision uint64
	// customers are those whose limits were put.
	customers map[string]bool
	// refreshed is the version of the directory that targets were set by, and
	// refreshedAt when.
	refreshed   uint64
	refreshedAt time.Duration
	// pushed is the version of the directory that peers were told.
	pushed uint64
	// pushedAt is when peers were last told anything.
	pushedAt time.Duration
	// kick asks for a report to the leader now.
	kick chan struct{}
	// ended is closed when the control goroutine has ended.
	ended chan struct{}
	cache *cacheEvents
	lead  *leadership
}

func newLoop(n *Node) *loop {
	random := rand.New(rand.NewPCG(n.seed, 1))
	l := &loop{
		node:      n,
		log:       n.log.WithField("part", "control"),
		posts:     make(chan func(), postQueue),
		dir:       directory.New(0),
		throttler: admission.NewThrottler(admission.Config{Node: n.cfg.Node}),
		selector:  routing.NewSelector(routing.Config{}, random),
		retrier:   routing.NewRetrier(routing.DefaultRetry, random),
		waiters:   map[uint64]*waiter{},
		demands:   map[demandKey]*demand{},
		forecasts: map[placement.Key]forecast{},
		local:     map[string]bool{},
		bodies:    newBodies(),
		told:      map[string]uint64{},
		pulls:     make(chan string, 1),
		seen:      map[string]uint64{},
		kick:      make(chan struct{}, 1),
		ended:     make(chan struct{}),
	}
	l.cache = newCacheEvents(l.selector)
	var peers []string
	for _, p := range n.cfg.Peers {
		peers = append(peers, p.Node)
	}
	l.lead = newLeadership(peers)
	return l
}

// run is the control goroutine.
func (l *loop) run(ctx context.Context) error {
	defer close(l.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wake := time.NewTimer(tickInterval)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.posts:
			f()
		case <-wake.C:
		case <-l.node.store.changed:
			l.onState()
		case <-ticker.C:
			l.onTick()
		}
		l.decide()
		if at, ok := l.throttler.Wake(l.now()); ok {
			wake.Reset(max(at-l.now(), minWake))
		}
	}
}

// post runs f on the control goroutine. It is false where ctx ended first.
func (l *loop) post(ctx context.Context, f func()) bool {
	select {
	case l.posts <- f:
		return true
	case <-l.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// call runs f on the control goroutine and waits for its result.
func call[T any](ctx context.Context, l *loop, f func() T) (T, bool) {
	done := make(chan T, 1)
	var zero T
	if !l.post(ctx, func() { done <- f() }) {
		return zero, false
	}
	select {
	case v := <-done:
		return v, true
	case <-l.ended:
		return zero, false
	case <-ctx.Done():
		return zero, false
	}
}

func (l *loop) now() time.Duration { return l.node.now() }

// onState takes over contracts and grants after the log moved on.
func (l *loop) onState() {
	l.grants = l.node.store.grants()
	v := l.node.store.view.Load()
	if v.revision != l.revision {
		l.revision = v.revision
		l.takeContracts(v)
	}
	l.refreshUpstreams(true)
}

// takeContracts puts the limits of the contracts in force.
func (l *loop) takeContracts(v *view) {
	kept := map[string]bool{}
	for _, c := range v.contracts {
		kept[c.Contract.Customer] = true
		limits := admission.LimitsOf(c.Contract)
		l.throttler.SetLimits(limits)
		l.lead.setLimits(limits, l.now())
	}
	for customer := range l.customers {
		if !kept[customer] {
			l.throttler.RemoveLimits(customer)
			l.lead.removeLimits(customer, l.now())
		}
	}
	l.customers = kept
}

func (l *loop) onTick() {
	l.dir.Expire(l.now())
	l.refreshUpstreams(false)
	l.pushAnnouncements()
}

// refreshUpstreams passes changed upstreams to the selector and sets which
// targets serve. all repeats it for unchanged ones, after the grants changed.
func (l *loop) refreshUpstreams(all bool) {
	now := l.now()
	for _, e := range l.dir.TakeEvents() {
		l.onUpstreamEvent(e)
	}
	if !all && l.dir.Version() == l.refreshed && now-l.refreshedAt < refreshEvery {
		return
	}
	l.refreshed = l.dir.Version()
	l.refreshedAt = now
	views := l.dir.Snapshot(now)
	for _, v := range views {
		id := v.Announcement.ID
		if all || l.seen[id] != v.Version {
			l.seen[id] = v.Version
			l.selector.Update(l.granted(v))
		}
	}
	l.setTargets(views, now)
}

func (l *loop) onUpstreamEvent(e directory.Event) {
	l.log.WithFields(logrus.Fields{"upstream": e.ID, "incarnation": e.Incarnation, "event": e.Kind.String()}).Info("upstream changed")
	if e.Kind == directory.Gone {
		l.retrier.Forget(e.ID)
	}
	l.lead.kickPlan()
}

// granted is the view of an upstream that routing may use: only replicas that
// are granted and not withdrawn, each under its customer's target.
func (l *loop) granted(v directory.View) directory.View {
	var replicas []directory.Replica
	for _, r := range v.Announcement.Replicas {
		g, ok := l.grants.Find(r.Grant)
		if !ok || g.State == placement.Withdrawn || g.Incarnation != v.Announcement.Incarnation {
			continue
		}
		r.Model = targetKey(g.Customer, g.Model, "")
		replicas = append(replicas, r)
	}
	v.Announcement.Replicas = replicas
	return v
}

// setTargets tells admission which models, adapters and services serve.
func (l *loop) setTargets(views []directory.View, now time.Duration) {
	ready := l.readySlots(views)
	for i := range l.node.store.view.Load().contracts {
		c := &l.node.store.view.Load().contracts[i].Contract
		for _, m := range c.Models {
			l.setModel(c.Customer, m, "", ready, now)
			for _, a := range m.Adapters {
				l.setModel(c.Customer, m, a, ready, now)
			}
		}
		for _, s := range c.Services {
			name := gateway.ServiceTarget(s.Name)
			l.throttler.SetTarget(name, serviceState(ready[name]), now)
		}
	}
}

// serviceState is the state of a plain service: the system loads none, so one
// that nobody serves is gone until it announces itself.
func serviceState(slots int) admission.TargetState {
	if slots == 0 {
		return admission.TargetState{Readiness: admission.Gone, RetryAfter: time.Second}
	}
	return admission.TargetState{Readiness: admission.Ready, Slots: slots}
}

func (l *loop) setModel(customer string, m contract.Model, adapter string, ready map[string]int, now time.Duration) {
	key := targetKey(customer, m.Name, adapter)
	if slots := ready[key]; slots > 0 {
		l.throttler.SetTarget(key, admission.TargetState{Readiness: admission.Ready, Slots: slots}, now)
		return
	}
	f, ok := l.forecasts[placement.Key{Customer: customer, Model: m.Name}]
	l.throttler.SetTarget(key, forecastState(f, ok, adapter != "", now), now)
}

// forecastState is the state of a model that no replica serves now.
func forecastState(f forecast, known, adapter bool, now time.Duration) admission.TargetState {
	switch {
	case !known || now-f.at > forecastLife:
		return admission.TargetState{Readiness: admission.Unknown}
	case f.Readiness == placement.Blocked:
		return admission.TargetState{Readiness: admission.Gone, RetryAfter: f.RetryAfter}
	}
	at := f.at + f.ReadyIn
	if adapter {
		at += adapterAllowance
	}
	return admission.TargetState{Readiness: admission.Expected, ReadyAt: at, RetryAfter: f.RetryAfter}
}

// readySlots sums the slots of each target over the upstreams that take work.
func (l *loop) readySlots(views []directory.View) map[string]int {
	slots := map[string]int{}
	for _, v := range views {
		if !v.Takes() {
			continue
		}
		a := &v.Announcement
		if a.Kind == directory.Service {
			slots[gateway.ServiceTarget(a.Service)] += max(a.Slots, 1)
			continue
		}
		for _, r := range l.granted(v).Announcement.Replicas {
			if r.State != directory.Ready {
				continue
			}
			slots[r.Model] += max(a.Slots, 1)
			for _, adapter := range r.Adapters {
				slots[r.Model+"#"+adapter] += max(a.Slots, 1)
			}
		}
	}
	return slots
}

// decide hands out the verdicts that have become due.
func (l *loop) decide() {
	for _, d := range l.throttler.Poll(l.now()) {
		l.deliver(d)
	}
	if l.throttler.ReportDue(l.now()) {
		l.report()
	}
}

func (l *loop) deliver(d admission.Decision) {
	w, ok := l.waiters[d.ID]
	if !ok {
		return
	}
	delete(l.waiters, d.ID)
	if d.Verdict == admission.Run {
		l.demandOf(w.key).running++
	}
	w.decided <- d
}

// report asks the sync part to send a report now.
func (l *loop) report() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

func (l *loop) demandOf(k demandKey) *demand {
	d, ok := l.demands[k]
	if !ok {
		d = &demand{}
		l.demands[k] = d
	}
	return d
}

// takeDemand returns this node's demand and starts a new count of arrivals.
func (l *loop) takeDemand() []placement.Demand {
	now := l.now()
	rows := map[demandKey]*placement.Demand{}
	for k, d := range l.demands {
		if d.running == 0 && d.arrivals == 0 {
			delete(l.demands, k)
		}
		rows[k] = &placement.Demand{Key: k.Key, Adapter: k.Adapter, Node: l.node.cfg.Node, Running: d.running, Arrivals: d.arrivals}
		d.arrivals = 0
	}
	for _, w := range l.waiters {
		row, ok := rows[w.key]
		if !ok {
			row = &placement.Demand{Key: w.key.Key, Adapter: w.key.Adapter, Node: l.node.cfg.Node}
			rows[w.key] = row
		}
		left := w.deadline - now
		if row.Waiting == 0 || left < row.Remaining {
			row.Remaining = left
		}
		row.Waiting++
	}
	return sortedDemand(rows)
}

// returnDemand counts arrivals again whose report was lost.
func (l *loop) returnDemand(rows []placement.Demand) {
	for _, r := range rows {
		l.demandOf(demandKey{Key: r.Key, Adapter: r.Adapter}).arrivals += r.Arrivals
	}
}
