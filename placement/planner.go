package placement

import (
	"time"

	"github.com/agateslip/agateslip/directory"
)

const (
	// decisionDelay bounds the time for committing a grant and for carrying
	// its order and the report of its end.
	decisionDelay = 100 * time.Millisecond
	// longestRound bounds the time between two planning rounds, and
	// progressRound while loads are in progress.
	longestRound  = 10 * time.Second
	progressRound = 250 * time.Millisecond
	// firstUnloadTime is assumed before any unload was observed, and
	// unloadWeight is the weight of the last one in their mean.
	firstUnloadTime = 500 * time.Millisecond
	unloadWeight    = 0.2
	// typicalSize is the checkpoint size in bytes that load times are assumed
	// for before the first contract is known.
	typicalSize = 16 << 30
)

// Planner decides placement. It keeps soft state only: load times, arrival
// patterns and the orders in progress. It is not safe for concurrent use.
type Planner struct {
	config    Config
	estimator *Estimator
	since     Instant
	started   bool
	round     uint64
	// firstOwn is the ledger's Last when this leadership's first round ran.
	firstOwn uint64

	revision  uint64
	models    []*model
	byKey     map[Key]*model
	customers map[string]*customer
	// sizes is the memory of each model in bytes, by its name.
	sizes map[string]int64

	upstreams []*upstream
	byID      map[string]*upstream
	holders   map[string][]holder
	// copies counts the changes of holders and of the upstreams in service.
	copies   uint64
	expireAt Instant

	progress map[uint64]*progress
	replicas []replica
	// unloadTime is the mean time from an unload order to its report.
	unloadTime time.Duration
	strays     map[stray]Instant
	adapters   []adapterLoad
	// nextStart is when the store's rate allows the next load.
	nextStart Instant
}

type stray struct {
	upstream string
	grant    uint64
}

// NewPlanner returns a planner without experience.
func NewPlanner(config Config) *Planner {
	config.Store.Width = max(config.Store.Width, 1)
	if config.Store.Rate <= 0 {
		config.Store.Rate = float64(config.Store.Width)
	}
	config.AdaptersInFlight = max(config.AdaptersInFlight, 1)
	typical := seconds(float64(config.Store.Width) / config.Store.Rate)
	return &Planner{
		config:     config,
		estimator:  NewEstimator(typical, typicalSize),
		unloadTime: firstUnloadTime,
		byKey:      make(map[Key]*model),
		customers:  make(map[string]*customer),
		byID:       make(map[string]*upstream),
		holders:    make(map[string][]holder),
		progress:   make(map[uint64]*progress),
		strays:     make(map[stray]Instant),
	}
}

// LoadResult is an upstream's own answer about a finished load.
type LoadResult struct {
	// Grant is the grant of the load order.
	Grant uint64
	// Tier and Memory are those of the grant.
	Tier   directory.Tier
	Memory int64
	// Took is the time from the order's arrival until the replica was ready.
	Took time.Duration
}

// Observe records the time of a load that an upstream reported by itself. Loads
// without such a report are timed by the announcements.
func (p *Planner) Observe(result LoadResult) {
	soft := p.progress[result.Grant]
	if soft == nil || soft.timed {
		return
	}
	soft.timed = true
	p.estimator.Observe(result.Tier, result.Memory, result.Took)
}

// Plan decides one round.
func (p *Planner) Plan(now Instant, in Snapshot) Plan {
	p.round++
	r := &round{Planner: p, now: now, in: in}
	r.plan.Next = now + longestRound
	r.readLeadership()
	r.readContracts()
	r.readUpstreams()
	r.readGrants()
	r.readDemand()
	r.endGrants()
	r.observeLoads()
	r.require()
	r.place()
	r.withdrawExcess()
	r.order()
	r.orderAdapters()
	r.forecast()
	r.forget()
	return r.plan
}

// round is the working state of one call of Plan.
type round struct {
	*Planner
	now  Instant
	in   Snapshot
	plan Plan

	// ended are the grants that this round releases.
	ended map[uint64]bool
	// granted are the needs that this round proposes grants for, and queue
	// those that still wait, each in the order of service.
	granted []need
	queue   []need
	// line are the simulated loads of both, store the store's places after
	// them, and ahead the places before them.
	line  []lineItem
	store storeTimes
	ahead storeTimes
	// scratch is reused between simulations.
	scratch []Instant
	// blocked counts the needs that wait for memory, and clears holds the
	// estimates of clearFor by size class; negative where there is none.
	blocked  int
	clears   map[int]time.Duration
	releases []release
	// remoteCount counts the loads from the store, granted or in progress.
	remoteCount int
	// largest is the largest accelerator memory of any upstream in bytes.
	largest int64
	// mostFree and mostEvictable are the largest free and freeable memory of
	// any usable upstream.
	mostFree      int64
	mostEvictable int64
}

// wake asks for another round at the given instant at the latest.
func (r *round) wake(at Instant) {
	if at > r.now {
		r.plan.Next = min(r.plan.Next, at)
	}
}

// holdEnds is when no order of an earlier leader can reach an upstream any
// more.
func (r *round) holdEnds() Instant {
	l := r.in.Leadership
	return l.Since + l.LongestLease + l.OrderDeadline
}
