package residency_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/residency"
	"github.com/agateslip/agateslip/routes"
)

const (
	ms     = time.Millisecond
	second = time.Second
	// tick is the planning interval in the tests.
	tick = 10 * ms
)

// simulation runs a planner against engines that carry out its orders, in virtual
// time.
type simulation struct {
	t       *testing.T
	now     time.Duration
	planner *residency.Planner
	spec    *routes.Engine
	engines map[string]*engine
	// storeStarts holds when loads from the weight store began. The store runs
	// fullSpeedStoreLoads loads at full speed; if more run, they share the speed of that
	// many. Zero means no limit.
	storeStarts         []time.Duration
	fullSpeedStoreLoads int
	// orderDelay, if set, leaves every order unanswered and carries it out after this
	// time.
	orderDelay    time.Duration
	delayedOrders []delayedOrder
	// unresponsive is the ID of an engine that answers nothing.
	unresponsive string
	// misread, if set, returns what the answer to an order is taken for, which deliver brings to the engine.
	misread func(deliver func() residency.Answer) residency.Answer
	// announcementDelay is how late announcements arrive.
	announcementDelay time.Duration
	announcements     []delayedAnnouncement
	waiting           map[string]*waitingCalls
	arrivals          map[string]uint64
}

// delayedAnnouncement is an announcement that arrives at a given time.
type delayedAnnouncement struct {
	at   time.Duration
	desc fleet.Upstream
}

// delayedOrder is an order that the engine carries out at a given time.
type delayedOrder struct {
	at     time.Duration
	engine string
	order  residency.Order
}

// engine is a simulated engine, with the order that it carries out while busy.
type engine struct {
	desc      fleet.Upstream
	accepted  uint64
	busy      bool
	doneAt    time.Duration
	fromStore bool
	order     residency.Order
}

// newSimulation returns n engines that hold two of the models each; all models have
// the same size. With copies, every engine has all models on its disk, else only its
// own two.
func newSimulation(t *testing.T, n, models int, copies bool) *simulation {
	placement := make([][]int, n)
	for i := range placement {
		placement[i] = []int{2 * i % models, (2*i + 1) % models}
	}
	return newPlacedSimulation(t, placement, models, copies)
}

// newPlacedSimulation returns engines that hold the models with the given numbers.
func newPlacedSimulation(t *testing.T, placement [][]int, models int, copies bool) *simulation {
	s := &simulation{t: t, engines: map[string]*engine{}, waiting: map[string]*waitingCalls{}, arrivals: map[string]uint64{}, spec: &routes.Engine{
		Slots: 8, WeightsMB: 25, AdapterPlaces: 2, StoreLoadsPerSecond: 4,
	}}
	var names []string
	for i := range models {
		name := fmt.Sprint("m", i)
		names = append(names, name)
		s.spec.Models = append(s.spec.Models, routes.Model{
			Name: name, SizeMB: 10, StoreLoad: 6 * second, DiskLoad: 700 * ms, MemoryLoad: 400 * ms, Adapters: 4, AdapterMB: 1,
		})
	}
	s.planner = residency.New(residency.DefaultLimits())
	s.planner.SetServices([]routes.Service{{Name: "llm", Engine: s.spec}})
	for i, held := range placement {
		e := &engine{desc: fleet.Upstream{ID: fmt.Sprint("e", i), Born: 1, Service: "llm", Slots: 8}}
		for _, model := range held {
			e.desc.Residents = append(e.desc.Residents, fleet.Resident{Model: names[model]})
		}
		if copies {
			e.desc.OnDisk = names
		} else {
			e.desc.OnDisk = modelsOf(e.desc)
		}
		s.engines[e.desc.ID] = e
		s.planner.SetUpstream(e.desc, 0)
	}
	return s
}

// modelsOf returns the names of the models that an upstream holds.
func modelsOf(u fleet.Upstream) []string {
	var names []string
	for _, r := range u.Residents {
		names = append(names, r.Model)
	}
	return names
}

// run advances the virtual time.
func (s *simulation) run(d time.Duration) {
	s.t.Helper()
	for end := s.now + d; s.now < end; s.now += tick {
		s.delayStoreLoads()
		s.finishOrders()
		if s.now%(200*ms) == 0 {
			s.report()
		}
		if s.now%second == 0 {
			for _, id := range slices.Sorted(maps.Keys(s.engines)) {
				s.announce(s.engines[id])
			}
		}
		for _, step := range s.planner.Plan(s.now) {
			s.carryOut(step)
		}
	}
}

// delayStoreLoads slows the loads down that share the weight store.
func (s *simulation) delayStoreLoads() {
	var storeLoads []*engine
	for _, e := range s.engines {
		if e.busy && e.fromStore {
			storeLoads = append(storeLoads, e)
		}
	}
	if s.fullSpeedStoreLoads == 0 || len(storeLoads) <= s.fullSpeedStoreLoads {
		return
	}
	for _, e := range storeLoads {
		e.doneAt += tick - tick*time.Duration(s.fullSpeedStoreLoads)/time.Duration(len(storeLoads))
	}
}

// finishOrders starts the delayed orders that are due and ends those that are done.
func (s *simulation) finishOrders() {
	for _, l := range s.delayedOrders {
		if l.at == s.now {
			s.accept(s.engines[l.engine], l.order)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[id]
		if !e.busy || s.now < e.doneAt {
			continue
		}
		e.busy = false
		if e.order.Load {
			e.desc.Residents = append(slices.Clone(e.desc.Residents), fleet.Resident{Model: e.order.Model})
		} else {
			e.desc.Residents = slices.DeleteFunc(slices.Clone(e.desc.Residents), func(r fleet.Resident) bool { return r.Model == e.order.Model })
		}
		s.announce(e)
	}
}

// announce sends an engine's announcement and delivers those that are due.
func (s *simulation) announce(e *engine) {
	e.desc.Seq++
	s.announcements = append(s.announcements, delayedAnnouncement{s.now + s.announcementDelay, e.desc})
	for len(s.announcements) > 0 && s.announcements[0].at <= s.now {
		s.planner.SetUpstream(s.announcements[0].desc, s.now)
		s.announcements = s.announcements[1:]
	}
}

// carryOut delivers a step to its engine and the answer to the planner.
func (s *simulation) carryOut(step residency.Step) {
	e := s.engines[step.Upstream.ID]
	if e.desc.ID == s.unresponsive && step.Report {
		s.planner.Reported(e.desc.ID, e.desc.Born, nil, s.now)
		return
	}
	if e.desc.ID == s.unresponsive {
		s.planner.Answered(e.desc.ID, e.desc.Born, residency.Unanswered, s.now)
		return
	}
	if step.Report {
		s.planner.Reported(e.desc.ID, e.desc.Born, &residency.Report{Accepted: e.accepted, Busy: e.busy, Residents: e.desc.Residents}, s.now)
		return
	}
	if s.orderDelay > 0 {
		s.delayedOrders = append(s.delayedOrders, delayedOrder{s.now + s.orderDelay, e.desc.ID, *step.Order})
		s.planner.Answered(e.desc.ID, e.desc.Born, residency.Unanswered, s.now)
		return
	}
	read := func(deliver func() residency.Answer) residency.Answer { return deliver() }
	if s.misread != nil {
		read = s.misread
	}
	answer := read(func() residency.Answer { return s.accept(e, *step.Order) })
	s.planner.Answered(e.desc.ID, e.desc.Born, answer, s.now)
}

// accept has an engine check and start an order. A real engine that is told to hold
// more than fits crashes; here the test fails.
func (s *simulation) accept(e *engine, o residency.Order) residency.Answer {
	s.t.Helper()
	if e.busy || o.Accepted != e.accepted {
		return residency.Refused
	}
	e.accepted++
	if o.Adapter != "" {
		s.applyAdapterOrder(e, o)
		return residency.Accepted
	}
	duration := 50 * ms
	e.fromStore = false
	if o.Load {
		if float64(len(e.desc.Residents)+1)*10 > s.spec.WeightsMB {
			s.t.Fatalf("%v: %s is ordered to load more models than fit", s.now, e.desc.ID)
		}
		duration = 700 * ms
		if !slices.Contains(e.desc.OnDisk, o.Model) {
			duration, e.fromStore = 6*second, true
			s.storeStarts = append(s.storeStarts, s.now)
			e.desc.OnDisk = append(slices.Clone(e.desc.OnDisk), o.Model)
		}
	}
	e.busy, e.order, e.doneAt = true, o, s.now+duration
	return residency.Accepted
}

// applyAdapterOrder loads or unloads an adapter, and fails the test if there are more
// than places.
func (s *simulation) applyAdapterOrder(e *engine, o residency.Order) {
	e.desc.Residents = slices.Clone(e.desc.Residents)
	count := 0
	for i := range e.desc.Residents {
		r := &e.desc.Residents[i]
		if r.Model == o.Model && o.Load {
			r.Adapters = append(slices.Clone(r.Adapters), o.Adapter)
		}
		if r.Model == o.Model && !o.Load {
			r.Adapters = slices.DeleteFunc(slices.Clone(r.Adapters), func(a string) bool { return a == o.Adapter })
		}
		count += len(r.Adapters)
	}
	if count > s.spec.AdapterPlaces {
		s.t.Fatalf("%v: %s is ordered to hold %d adapters", s.now, e.desc.ID, count)
	}
}

// addWaiting makes calls wait for a model at a node until they can run.
func (s *simulation) addWaiting(node, model, adapter string, calls int) {
	s.arrivals[model] += uint64(calls)
	s.waiting[node] = &waitingCalls{
		demand: dispatch.Demand{Service: "llm", Model: model, Adapter: adapter, Waiting: calls, Patience: 8 * second},
		due:    s.now + 2*second,
	}
	s.report()
}

// waitingCalls holds the calls that wait at one node and the time from which they are
// late.
type waitingCalls struct {
	demand dispatch.Demand
	due    time.Duration
}

// report sends each node's report of its waiting calls and of all arrivals.
func (s *simulation) report() {
	for _, node := range slices.Sorted(maps.Keys(s.waiting)) {
		a := s.waiting[node]
		a.demand.Slack = a.due - s.now
		r := residency.NodeReport{Waiting: []dispatch.Demand{a.demand}}
		if d := a.demand; !d.Pinned && s.serves(d.Model, d.Adapter) || d.Pinned && s.holdsAt(d.Software, d.Model, d.Adapter) {
			r.Waiting = nil
		}
		for model, calls := range s.arrivals {
			r.Arrivals = append(r.Arrivals, residency.Count{Service: "llm", Model: model, Calls: calls})
		}
		s.planner.SetDemand("nodes", residency.NodeReport{Arrivals: r.Arrivals}, s.now)
		s.planner.SetDemand(node, residency.NodeReport{Waiting: r.Waiting}, s.now)
	}
}

// holders returns the number of engines that hold a model.
func (s *simulation) holders(model string) int {
	count := 0
	for _, e := range s.engines {
		if e.desc.Holds(model, "") {
			count++
		}
	}
	return count
}

// serves reports whether an engine holds a model and, unless it is empty, an adapter.
func (s *simulation) serves(model, adapter string) bool {
	for _, e := range s.engines {
		if e.desc.Holds(model, adapter) {
			return true
		}
	}
	return false
}

// holds reports whether an engine holds a model.
func (s *simulation) holds(model string) bool { return s.serves(model, "") }
