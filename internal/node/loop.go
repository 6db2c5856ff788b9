package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/placement"
	"github.com/agateslip/agateslip/routing"
	"github.com/sirupsen/logrus"
)

const (
	// tickInterval is the cadence of the control loop without events.
	tickInterval = 100 * time.Millisecond
	// minWake bounds the cadence of looking for due verdicts.
	minWake = time.Millisecond
	// refreshEvery is when targets are set again although nothing changed, for
	// forecasts that have aged.
	refreshEvery = 500 * time.Millisecond
	// postQueue bounds the events that wait for the control loop.
	postQueue = 1024
)

// waiter is a call that waits for admission.
type waiter struct {
	key      demandKey
	deadline time.Duration
	decided  chan admission.Decision
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
		if at, ok := l.throttler.NextPoll(l.now()); ok {
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
