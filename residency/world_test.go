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
	// tick is the cadence of planning in the tests.
	tick = 10 * ms
)

// world is engines that carry out orders, in virtual time.
type world struct {
	t       *testing.T
	now     time.Duration
	planner *residency.Planner
	spec    *routes.Engine
	engines map[string]*engine
	// storeStarts are when loads from the weight store began; storeWidth of them run
	// at full speed, more share it. Zero means that all do.
	storeStarts []time.Duration
	storeWidth  int
	// lateOrders answers no order and carries each out after this time.
	lateOrders time.Duration
	late       []lateOrder
	// deaf is an engine that answers nothing.
	deaf string
	// beatDelay is how late announcements arrive.
	beatDelay time.Duration
	beats     []beat
	asks      map[string]*ask
	arrivals  map[string]uint64
}

// beat is an announcement on its way.
type beat struct {
	at   time.Duration
	desc fleet.Upstream
}

type lateOrder struct {
	at     time.Duration
	engine string
	order  residency.Order
}

type engine struct {
	desc     fleet.Upstream
	accepted uint64
	busy     bool
	done     time.Duration
	fetching bool
	order    residency.Order
}

// newWorld has n engines that hold two of the models each; all models are of the
// same size. copies says whether every engine has all models on its disk.
func newWorld(t *testing.T, n, models int, copies bool) *world {
	w := &world{t: t, engines: map[string]*engine{}, asks: map[string]*ask{}, arrivals: map[string]uint64{}, spec: &routes.Engine{
		Slots: 8, WeightsMB: 25, AdapterPlaces: 2, StoreLoadsPerSecond: 4,
	}}
	var names []string
	for i := range models {
		name := fmt.Sprint("m", i)
		names = append(names, name)
		w.spec.Models = append(w.spec.Models, routes.Model{
			Name: name, SizeMB: 10, StoreLoad: 6 * second, DiskLoad: 700 * ms, MemoryLoad: 400 * ms, Adapters: 4, AdapterMB: 1,
		})
	}
	w.planner = residency.New(residency.DefaultLimits())
	w.planner.SetServices([]routes.Service{{Name: "llm", Engine: w.spec}})
	for i := range n {
		e := &engine{desc: fleet.Upstream{ID: fmt.Sprint("e", i), Born: 1, Service: "llm", Slots: 8}}
		for j := range 2 {
			e.desc.Residents = append(e.desc.Residents, fleet.Resident{Model: names[(2*i+j)%models]})
		}
		if copies {
			e.desc.OnDisk = names
		} else {
			e.desc.OnDisk = modelsOf(e.desc)
		}
		w.engines[e.desc.ID] = e
		w.planner.SetUpstream(e.desc, 0)
	}
	return w
}

func modelsOf(u fleet.Upstream) []string {
	var names []string
	for _, r := range u.Residents {
		names = append(names, r.Model)
	}
	return names
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	w.t.Helper()
	for end := w.now + d; w.now < end; w.now += tick {
		w.shareStore()
		w.finishOrders()
		if w.now%(200*ms) == 0 {
			w.report()
		}
		if w.now%second == 0 {
			for _, id := range slices.Sorted(maps.Keys(w.engines)) {
				w.announce(w.engines[id])
			}
		}
		for _, step := range w.planner.Plan(w.now) {
			w.carryOut(step)
		}
	}
}

// shareStore delays the loads that share the weight store.
func (w *world) shareStore() {
	var fetching []*engine
	for _, e := range w.engines {
		if e.busy && e.fetching {
			fetching = append(fetching, e)
		}
	}
	if w.storeWidth == 0 || len(fetching) <= w.storeWidth {
		return
	}
	for _, e := range fetching {
		e.done += tick - tick*time.Duration(w.storeWidth)/time.Duration(len(fetching))
	}
}

func (w *world) finishOrders() {
	for _, l := range w.late {
		if l.at == w.now {
			w.accept(w.engines[l.engine], l.order)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[id]
		if !e.busy || w.now < e.done {
			continue
		}
		e.busy = false
		if e.order.Load {
			e.desc.Residents = append(slices.Clone(e.desc.Residents), fleet.Resident{Model: e.order.Model})
		} else {
			e.desc.Residents = slices.DeleteFunc(slices.Clone(e.desc.Residents), func(r fleet.Resident) bool { return r.Model == e.order.Model })
		}
		w.announce(e)
	}
}

// announce has an engine say what it holds.
func (w *world) announce(e *engine) {
	e.desc.Seq++
	w.beats = append(w.beats, beat{w.now + w.beatDelay, e.desc})
	for len(w.beats) > 0 && w.beats[0].at <= w.now {
		w.planner.SetUpstream(w.beats[0].desc, w.now)
		w.beats = w.beats[1:]
	}
}

func (w *world) carryOut(step residency.Step) {
	e := w.engines[step.Upstream.ID]
	if e.desc.ID == w.deaf && step.Report {
		w.planner.Reported(e.desc.ID, e.desc.Born, nil, w.now)
		return
	}
	if e.desc.ID == w.deaf {
		w.planner.Answered(e.desc.ID, e.desc.Born, residency.Unanswered, w.now)
		return
	}
	if step.Report {
		w.planner.Reported(e.desc.ID, e.desc.Born, &residency.Report{Accepted: e.accepted, Busy: e.busy, Residents: e.desc.Residents}, w.now)
		return
	}
	if w.lateOrders > 0 {
		w.late = append(w.late, lateOrder{w.now + w.lateOrders, e.desc.ID, *step.Order})
		w.planner.Answered(e.desc.ID, e.desc.Born, residency.Unanswered, w.now)
		return
	}
	w.planner.Answered(e.desc.ID, e.desc.Born, w.accept(e, *step.Order), w.now)
}

// accept is an engine's check of an order. An engine told to hold more than fits
// crashes; the test fails instead.
func (w *world) accept(e *engine, o residency.Order) residency.Answer {
	w.t.Helper()
	if e.busy || o.Accepted != e.accepted {
		return residency.Refused
	}
	e.accepted++
	if o.Adapter != "" {
		w.adapter(e, o)
		return residency.Accepted
	}
	took := 50 * ms
	e.fetching = false
	if o.Load {
		if float64(len(e.desc.Residents)+1)*10 > w.spec.WeightsMB {
			w.t.Fatalf("%v: %s is ordered to load more than it holds", w.now, e.desc.ID)
		}
		took = 700 * ms
		if !slices.Contains(e.desc.OnDisk, o.Model) {
			took, e.fetching = 6*second, true
			w.storeStarts = append(w.storeStarts, w.now)
			e.desc.OnDisk = append(slices.Clone(e.desc.OnDisk), o.Model)
		}
	}
	e.busy, e.order, e.done = true, o, w.now+took
	return residency.Accepted
}

func (w *world) adapter(e *engine, o residency.Order) {
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
	if count > w.spec.AdapterPlaces {
		w.t.Fatalf("%v: %s is ordered to hold %d adapters", w.now, e.desc.ID, count)
	}
}

// ask has calls wait for a model at a node until they can run.
func (w *world) ask(node, model, adapter string, calls int) {
	w.arrivals[model] += uint64(calls)
	w.asks[node] = &ask{
		demand: dispatch.Demand{Service: "llm", Model: model, Adapter: adapter, Waiting: calls, Patience: 8 * second},
		due:    w.now + 2*second,
	}
	w.report()
}

// ask is what waits at a node.
type ask struct {
	demand dispatch.Demand
	due    time.Duration
}

// report has each node say what waits there.
func (w *world) report() {
	for _, node := range slices.Sorted(maps.Keys(w.asks)) {
		a := w.asks[node]
		a.demand.Slack = a.due - w.now
		r := residency.NodeReport{Waiting: []dispatch.Demand{a.demand}}
		if w.offers(a.demand.Model, a.demand.Adapter) {
			r.Waiting = nil
		}
		for model, calls := range w.arrivals {
			r.Arrivals = append(r.Arrivals, residency.Count{Service: "llm", Model: model, Calls: calls})
		}
		w.planner.SetDemand("nodes", residency.NodeReport{Arrivals: r.Arrivals}, w.now)
		w.planner.SetDemand(node, residency.NodeReport{Waiting: r.Waiting}, w.now)
	}
}

func (w *world) offers(model, adapter string) bool {
	for _, e := range w.engines {
		if e.desc.Holds(model, adapter) {
			return true
		}
	}
	return false
}

func (w *world) holds(model string) bool { return w.offers(model, "") }
