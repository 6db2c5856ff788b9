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
	// tickInterval is the interval of the control loop's periodic work.
	tickInterval = 100 * time.Millisecond
	// minWake is the shortest wait before the throttler is polled again.
	minWake = time.Millisecond
	// refreshInterval is how often targets are set again without a change, because
	// forecasts expire.
	refreshInterval = 500 * time.Millisecond
	// postQueueSize is the capacity of the queue of functions for the control
	// goroutine.
	postQueueSize = 1024
)

// waiter is a call in the admission queue.
type waiter struct {
	key      demandKey
	deadline time.Duration
	decision chan admission.Decision
}

// controlLoop owns the node's admission, routing and directory state. Its fields are
// accessed on the control goroutine only, except for the channels; other goroutines
// submit functions with post or call.
type controlLoop struct {
	node  *Node
	log   logrus.FieldLogger
	posts chan func()

	dir       *directory.Directory
	throttler *admission.Throttler
	selector  *routing.Selector
	retrier   *routing.Retrier
	waiters   map[uint64]*waiter
	nextID    uint64
	demands   map[demandKey]*demandCounts
	forecasts map[placement.Key]forecast
	// local holds the IDs of the upstreams that announce themselves to this node.
	local map[string]bool
	// digests are those of the announcements known here, and pushedDigests those that
	// the peers were sent, by upstream ID.
	digests       *announcementDigests
	pushedDigests map[string]uint64
	// pullRequests names a peer to compare directories with at once.
	pullRequests chan string
	// selectorVersions are the directory versions of the upstreams that the selector
	// holds, by ID.
	selectorVersions map[string]uint64
	// grants is the placement ledger as of the last state change; the selector uses
	// only replicas with a grant in it.
	grants placement.Ledger
	// revision is that of the contracts whose limits are set.
	revision uint64
	// limitedCustomers are those whose limits are set in the throttler.
	limitedCustomers map[string]bool
	// refreshedVersion is the directory version for which targets were last set, at
	// refreshedAt.
	refreshedVersion uint64
	refreshedAt      time.Duration
	// pushedVersion is the directory version that the peers were last sent.
	pushedVersion uint64
	// pushedAt is when the last push was sent to the peers.
	pushedAt time.Duration
	// reportNow asks the sync part to report to the leader at once.
	reportNow chan struct{}
	// ended is closed when the control goroutine has stopped.
	ended       chan struct{}
	cache       *cacheEvents
	leaderState *leaderState
	crashes     crashWatch
}

func newControlLoop(n *Node) *controlLoop {
	random := rand.New(rand.NewPCG(n.seed, 1))
	l := &controlLoop{
		node:             n,
		log:              n.log.WithField("part", "control"),
		posts:            make(chan func(), postQueueSize),
		dir:              directory.New(0),
		throttler:        admission.NewThrottler(admission.Config{Node: n.cfg.Node}),
		selector:         routing.NewSelector(routing.Config{}, random),
		retrier:          routing.NewRetrier(routing.DefaultRetry, random),
		waiters:          map[uint64]*waiter{},
		demands:          map[demandKey]*demandCounts{},
		forecasts:        map[placement.Key]forecast{},
		local:            map[string]bool{},
		digests:          newAnnouncementDigests(),
		pushedDigests:    map[string]uint64{},
		pullRequests:     make(chan string, 1),
		selectorVersions: map[string]uint64{},
		reportNow:        make(chan struct{}, 1),
		crashes:          newCrashWatch(),
		ended:            make(chan struct{}),
	}
	l.cache = newCacheEvents(l.selector)
	var peers []string
	for _, p := range n.cfg.Peers {
		peers = append(peers, p.Node)
	}
	l.leaderState = newLeaderState(peers)
	return l
}

// run is the body of the control goroutine.
func (l *controlLoop) run(ctx context.Context) error {
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
			l.onStateChange()
		case <-ticker.C:
			l.onTick()
		}
		l.deliverDue()
		if at, ok := l.throttler.NextPoll(l.now()); ok {
			wake.Reset(max(at-l.now(), minWake))
		}
	}
}

// post queues f for the control goroutine and reports whether it was queued. It reports
// false if ctx ends or the control goroutine stops first.
func (l *controlLoop) post(ctx context.Context, f func()) bool {
	select {
	case l.posts <- f:
		return true
	case <-l.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// call runs f on the control goroutine and returns its result. It reports false if ctx
// ends or the control goroutine stops first; f may still run later.
func call[T any](ctx context.Context, l *controlLoop, f func() T) (T, bool) {
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

func (l *controlLoop) now() time.Duration { return l.node.now() }

// onStateChange takes over contracts and grants after the replicated state changed.
func (l *controlLoop) onStateChange() {
	l.grants = l.node.store.grants()
	v := l.node.store.view.Load()
	if v.revision != l.revision {
		l.revision = v.revision
		l.applyContracts(v)
	}
	l.refreshUpstreams(true)
}

// applyContracts sets the admission limits of the contracts in force and removes those
// of ended contracts.
func (l *controlLoop) applyContracts(v *contractView) {
	kept := map[string]bool{}
	for _, c := range v.contracts {
		kept[c.Contract.Customer] = true
		limits := admission.LimitsOf(c.Contract)
		l.throttler.SetLimits(limits)
		l.leaderState.setLimits(limits, l.now())
	}
	for customer := range l.limitedCustomers {
		if !kept[customer] {
			l.throttler.RemoveLimits(customer)
			l.leaderState.removeLimits(customer, l.now())
		}
	}
	l.limitedCustomers = kept
}

func (l *controlLoop) onTick() {
	l.dir.Expire(l.now())
	l.refreshUpstreams(false)
	l.pushAnnouncements()
}

// refreshUpstreams passes changed upstreams to the selector and sets the state of the
// admission targets. With all set, unchanged upstreams are passed too, because the
// grants may have changed.
func (l *controlLoop) refreshUpstreams(all bool) {
	now := l.now()
	for _, e := range l.dir.TakeEvents() {
		l.onUpstreamEvent(e)
	}
	if !all && l.dir.Version() == l.refreshedVersion && now-l.refreshedAt < refreshInterval {
		return
	}
	l.refreshedVersion = l.dir.Version()
	l.refreshedAt = now
	views := l.dir.Snapshot(now)
	for _, v := range views {
		id := v.Announcement.ID
		if all || l.selectorVersions[id] != v.Version {
			l.selectorVersions[id] = v.Version
			l.selector.Update(l.grantedView(v))
		}
	}
	l.setTargets(views, now)
}

func (l *controlLoop) onUpstreamEvent(e directory.Event) {
	l.log.WithFields(logrus.Fields{"upstream": e.ID, "incarnation": e.Incarnation, "event": e.Kind.String()}).Info("upstream changed")
	if e.Kind == directory.Gone {
		l.retrier.Forget(e.ID)
	}
	l.leaderState.requestPlan()
}

// deliverDue delivers the admission decisions that have become due.
func (l *controlLoop) deliverDue() {
	for _, d := range l.throttler.Poll(l.now()) {
		l.deliver(d)
	}
	if l.throttler.ReportDue(l.now()) {
		l.requestReport()
	}
}

// deliver hands a decision to the waiting call, if its caller still waits.
func (l *controlLoop) deliver(d admission.Decision) {
	w, ok := l.waiters[d.ID]
	if !ok {
		return
	}
	delete(l.waiters, d.ID)
	if d.Verdict == admission.Run {
		l.demandOf(w.key).running++
	}
	w.decision <- d
}

// requestReport asks the sync part to report to the leader at once. It does not block.
func (l *controlLoop) requestReport() {
	select {
	case l.reportNow <- struct{}{}:
	default:
	}
}
