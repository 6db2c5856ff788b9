package placement

import (
	"time"

	"github.com/agateslip/agateslip/directory"
)

const (
	// decisionDelay is the upper bound of the time for committing a grant, delivering its
	// order and receiving the report that the load ended.
	decisionDelay = 100 * time.Millisecond
	// maxRoundInterval is the longest time between two planning rounds, and
	// loadingRoundInterval the longest while loads are in progress.
	maxRoundInterval     = 10 * time.Second
	loadingRoundInterval = 250 * time.Millisecond
	// initialUnloadTime is assumed until an unload was observed, and unloadWeight is the
	// weight of the latest unload in the moving average.
	initialUnloadTime = 500 * time.Millisecond
	unloadWeight      = 0.2
	// typicalSize is the checkpoint size in bytes to which the initial load time applies. It
	// also stands for the sizes of the loads that queue for the store.
	typicalSize = 16 << 30
)

// Planner decides placement. It keeps soft state only: load times, arrival patterns and the
// orders in progress. It is not safe for concurrent use.
type Planner struct {
	config    Config
	estimator *Estimator
	// leaderSince is Leadership.Since of the leadership that the soft state belongs to.
	leaderSince Instant
	started     bool
	// roundNumber counts the calls of Plan.
	roundNumber uint64
	// ledgerLastAtStart is Ledger.Last in the first round of this leadership. Grants with
	// higher IDs were added by this leader.
	ledgerLastAtStart uint64

	// contractsRevision is the Snapshot.Revision that the models were read from.
	contractsRevision uint64
	models            []*model
	modelsByKey       map[Key]*model
	customers         map[string]*customer
	// memoryByModel is the accelerator memory in bytes by model name.
	memoryByModel map[string]int64

	upstreams     []*upstream
	upstreamsByID map[string]*upstream
	copyHolders   map[string][]copyHolder
	// copiesRevision counts the changes of copyHolders and of the upstreams in service.
	copiesRevision uint64
	// nextWakeupCheck is when passed wake-ups are advanced next.
	nextWakeupCheck Instant

	progress map[uint64]*progress
	replicas []replica
	// unloadTime is the moving average of the time from an unload order to the report of its
	// end.
	unloadTime time.Duration
	// orphanUnloadSentAt is when the last unload order for each orphan was sent.
	orphanUnloadSentAt map[orphan]Instant
	adapterLoads       []adapterLoad
	// nextLoadStart is the earliest instant at which the store's rate allows the next load.
	nextLoadStart Instant
}

// orphan identifies a replica that an upstream reports without holding a grant for it.
type orphan struct {
	upstream string
	grant    uint64
}

// NewPlanner returns a planner without learned state. Before the first load it expects loads
// to take as long as the store's width and rate together imply.
func NewPlanner(config Config) *Planner {
	config.Store.Width = max(config.Store.Width, 1)
	if config.Store.Rate <= 0 {
		config.Store.Rate = float64(config.Store.Width)
	}
	config.AdaptersInFlight = max(config.AdaptersInFlight, 1)
	typical := seconds(float64(config.Store.Width) / config.Store.Rate)
	return &Planner{
		config:             config,
		estimator:          NewEstimator(typical, typicalSize),
		unloadTime:         initialUnloadTime,
		modelsByKey:        make(map[Key]*model),
		customers:          make(map[string]*customer),
		upstreamsByID:      make(map[string]*upstream),
		copyHolders:        make(map[string][]copyHolder),
		progress:           make(map[uint64]*progress),
		orphanUnloadSentAt: make(map[orphan]Instant),
	}
}

// LoadResult is an upstream's own report of a finished load.
type LoadResult struct {
	// Grant is the ID of the grant in the load order.
	Grant uint64
	// Tier and Memory are those of the grant. Memory is in bytes.
	Tier   directory.Tier
	Memory int64
	// Took is the time from the order's arrival until the replica was ready.
	Took time.Duration
}

// ObserveLoad records the load time that an upstream reported. Loads without such a report
// are timed from the announcements.
func (p *Planner) ObserveLoad(result LoadResult) {
	prog := p.progress[result.Grant]
	if prog == nil || prog.loadObserved {
		return
	}
	prog.loadObserved = true
	p.estimator.Observe(result.Tier, result.Memory, result.Took)
}

// Plan runs one planning round.
func (p *Planner) Plan(now Instant, in Snapshot) Plan {
	p.roundNumber++
	r := &round{Planner: p, now: now, in: in}
	r.plan.Next = now + maxRoundInterval
	r.readLeadership()
	r.readContracts()
	r.readUpstreams()
	r.readGrants()
	r.readDemand()
	r.endGrants()
	r.observeLoads()
	r.requireReplicas()
	r.placeReplicas()
	r.withdrawExcess()
	r.sendOrders()
	r.orderAdapterLoads()
	r.forecast()
	r.dropStaleState()
	return r.plan
}

// round is the working state of one call of Plan.
type round struct {
	*Planner
	now  Instant
	in   Snapshot
	plan Plan

	// endedGrants are the IDs of the grants that this round releases.
	endedGrants map[uint64]bool
	// grantedNeeds are the needs that this round proposes grants for, and queuedNeeds those
	// that still wait, each in the order of placement.
	grantedNeeds []need
	queuedNeeds  []need
	// simulatedLoads are the loads of both that use the store. storeBefore is the store's
	// schedule without them and storeAfter the schedule with them.
	simulatedLoads []simulatedLoad
	storeAfter     storeSchedule
	storeBefore    storeSchedule
	// scratch is a buffer that simulations reuse.
	scratch []Instant
	// blockedNeeds counts the needs that wait for memory. freeTimes caches the estimates of
	// timeToFree by size class; negative if there is none. releaseBuffer is reused by
	// timeToFreeOn.
	blockedNeeds  int
	freeTimes     map[int]time.Duration
	releaseBuffer []memoryRelease
	// storeLoads counts the loads from the store that are granted or in progress.
	storeLoads int
	// largestMemory is the largest accelerator memory of any upstream in bytes.
	largestMemory int64
	// largestFree and largestFreeable are the largest amounts of memory in bytes that any
	// usable upstream has free and could free.
	largestFree     int64
	largestFreeable int64
}

// planBy requests the next round at the given instant at the latest. Instants that have
// passed are ignored.
func (r *round) planBy(at Instant) {
	if at > r.now {
		r.plan.Next = min(r.plan.Next, at)
	}
}

// earlierOrdersEnd returns the instant from which no order of an earlier leader can reach an
// upstream.
func (r *round) earlierOrdersEnd() Instant {
	l := r.in.Leadership
	return l.Since + l.LongestLease + l.OrderDeadline
}
