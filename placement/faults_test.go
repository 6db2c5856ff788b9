package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
)

const (
	// testDeadline is the order deadline and testLease the longest lease of an earlier
	// leader. testMemory is each upstream's accelerator memory in bytes.
	testDeadline = time.Second
	testLease    = 2 * time.Second
	testMemory   = 40 * gib
)

// fakeUpstream is a simulated upstream. Its process may be killed, and its reports and orders
// may be lost, delayed or repeated.
type fakeUpstream struct {
	id            string
	checksFencing bool
	incarnation   uint64
	seq           uint64
	fence         uint64
	replicas      []directory.Replica
	dead          bool
}

// used returns the memory in bytes that the replicas occupy.
func (h *fakeUpstream) used() int64 {
	total := int64(0)
	for _, r := range h.replicas {
		total += r.Memory
	}
	return total
}

// find returns the replica of a grant, or nil.
func (h *fakeUpstream) find(grant uint64) *directory.Replica {
	for i := range h.replicas {
		if h.replicas[i].Grant == grant {
			return &h.replicas[i]
		}
	}
	return nil
}

// applyOrder carries out an order. A load order forgets an ended replica of its grant, so a
// late copy of the order loads the replica again.
func (h *fakeUpstream) applyOrder(o Order) {
	if h.dead || o.Incarnation != h.incarnation || h.checksFencing && o.Fence < h.fence {
		return
	}
	h.fence = max(h.fence, o.Fence)
	r := h.find(o.Grant)
	switch {
	case o.Kind == LoadModel && (r == nil || r.Memory == 0):
		h.forget(o.Grant)
		h.replicas = append(h.replicas, directory.Replica{Grant: o.Grant, Model: o.Model, State: directory.Loading, Memory: o.Memory})
	case o.Kind == UnloadModel && r == nil:
		h.replicas = append(h.replicas, directory.Replica{Grant: o.Grant, Model: o.Model, State: directory.Unloaded})
	case o.Kind == UnloadModel && r.Memory > 0:
		r.State = directory.Unloading
	}
}

// forget removes the replica of a grant from the reports.
func (h *fakeUpstream) forget(grant uint64) {
	h.replicas = slices.DeleteFunc(h.replicas, func(r directory.Replica) bool { return r.Grant == grant })
}

// report returns an announcement of the present state.
func (h *fakeUpstream) report() directory.Announcement {
	if !h.dead {
		h.seq++
	}
	return directory.Announcement{
		ID: h.id, Incarnation: h.incarnation, Seq: h.seq, Domain: h.id, Kind: directory.Engine, Memory: testMemory,
		Slots: 8, ChecksFencing: h.checksFencing, Replicas: slices.Clone(h.replicas),
	}
}

// inFlightOrder is an order that was sent and may still arrive.
type inFlightOrder struct {
	order Order
	sent  Instant
}

// cluster is a planner with its ledger, simulated upstreams and messages in flight. limits
// are the replica limits by model.
type cluster struct {
	*harness
	upstreams []*fakeUpstream
	orders    []inFlightOrder
	reports   []directory.Announcement
	pending   []Change
	limits    map[string]int
}

// newCluster returns four models of different sizes under contract, and three upstreams.
func newCluster(t *rapid.T) *cluster {
	c := &cluster{limits: map[string]int{}}
	var models []contract.Model
	for i := range 4 {
		m := contract.Model{Name: fmt.Sprintf("m%d", i), Memory: contract.Bytes((8 + 6*i) * gib), Replicas: 1 + i%2, Slots: 2}
		c.limits[m.Name] = m.Replicas
		models = append(models, m)
	}
	c.harness = newHarness(30*time.Second, models...)
	c.in.Leadership = Leadership{Lease: true, LongestLease: testLease, OrderDeadline: testDeadline}
	for i := range 3 {
		h := &fakeUpstream{id: fmt.Sprintf("u%d", i), incarnation: 1, checksFencing: rapid.Bool().Draw(t, "checks")}
		c.upstreams = append(c.upstreams, h)
		c.merge(h.report())
	}
	return c
}

// merge keeps the newest announcement, as the directory does.
func (c *cluster) merge(a directory.Announcement) {
	for i := range c.in.Upstreams {
		old := c.in.Upstreams[i].Announcement
		if old.ID != a.ID {
			continue
		}
		if a.Incarnation > old.Incarnation {
			c.in.Upstreams[i].Gone = false
		}
		if a.Incarnation > old.Incarnation || a.Incarnation == old.Incarnation && a.Seq > old.Seq {
			c.in.Upstreams[i].Announcement = &a
		}
		return
	}
	c.setUpstream(a)
}

// plan runs a planning round and sends its orders.
func (c *cluster) plan() {
	c.in.Pending = c.pending
	plan := c.planner.Plan(c.now, c.in)
	c.pending = append(c.pending, plan.Changes...)
	for _, o := range plan.Orders {
		c.orders = append(c.orders, inFlightOrder{order: o, sent: c.now})
	}
}

// commit applies the pending changes, some of which the ledger may refuse.
func (c *cluster) commit() {
	for _, change := range c.pending {
		limits := Limits{Model: c.limits[change.Grant.Model], Customer: 100}
		_, _ = c.ledger.Apply(change, limits)
	}
	c.pending = nil
}

// checkInvariants checks that no upstream holds more than its memory, that a grant of the
// same incarnation is charged for every loaded replica, and that no model has more loaded
// replicas than its limit. It runs after every step.
func (c *cluster) checkInvariants(t *rapid.T) {
	loaded := map[string]int{}
	for _, h := range c.upstreams {
		if h.used() > testMemory {
			t.Fatalf("%s holds %d bytes", h.id, h.used())
		}
		for _, r := range h.replicas {
			if r.Memory == 0 {
				continue
			}
			loaded[r.Model]++
			g, found := c.ledger.Find(r.Grant)
			if !found || g.Upstream != h.id || g.Incarnation != h.incarnation {
				t.Fatalf("%s holds grant %d, which is not charged", h.id, r.Grant)
			}
		}
	}
	for model, n := range loaded {
		if n > c.limits[model] {
			t.Fatalf("%d replicas of %s are loaded", n, model)
		}
	}
}

// drawUpstream draws one of the upstreams.
func (c *cluster) drawUpstream(t *rapid.T) *fakeUpstream {
	return c.upstreams[rapid.IntRange(0, len(c.upstreams)-1).Draw(t, "host")]
}

// actions are the steps and faults from which a run is drawn.
func (c *cluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"demand": func(t *rapid.T) {
			model := fmt.Sprintf("m%d", rapid.IntRange(0, 3).Draw(t, "model"))
			c.setDemand(model, rapid.IntRange(0, 6).Draw(t, "waiting"), 20*time.Second)
		},
		"quiet": func(*rapid.T) { c.in.Demand = nil },
		"time": func(t *rapid.T) {
			c.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			c.orders = slices.DeleteFunc(c.orders, func(f inFlightOrder) bool { return c.now >= f.sent+testDeadline })
		},
		"turn":    func(t *rapid.T) { c.runRound(t) },
		"turn 2":  func(t *rapid.T) { c.runRound(t) },
		"turn 3":  func(t *rapid.T) { c.runRound(t) },
		"plan":    func(*rapid.T) { c.plan() },
		"commit":  func(*rapid.T) { c.commit() },
		"deliver": func(t *rapid.T) { c.deliver(t) },
		"progress": func(t *rapid.T) {
			h := c.drawUpstream(t)
			for i := range h.replicas {
				h.progress(i, rapid.Bool().Draw(t, "fails"))
			}
		},
		"fail": func(*rapid.T) {
			for _, h := range c.upstreams {
				for i := range h.replicas {
					h.progress(i, true)
				}
				c.merge(h.report())
			}
			c.plan()
			c.commit()
		},
		"report":  func(t *rapid.T) { c.reports = append(c.reports, c.drawUpstream(t).report()) },
		"receive": func(t *rapid.T) { c.receive(t) },
		"kill": func(t *rapid.T) {
			h := c.drawUpstream(t)
			h.incarnation++
			h.seq, h.fence, h.replicas, h.dead = 0, 0, nil, false
		},
		"reclaim": func(t *rapid.T) {
			h := c.drawUpstream(t)
			h.dead, h.replicas = true, nil
			for i := range c.in.Upstreams {
				a := c.in.Upstreams[i].Announcement
				if a.ID == h.id && a.Incarnation == h.incarnation {
					c.in.Upstreams[i].Gone = true
				}
			}
		},
		"change leader": func(*rapid.T) {
			c.pending = nil
			c.in.Leadership.Since = c.now
			c.planner = NewPlanner(Config{Store: StoreLimits{Width: 4, Rate: 4}, AdaptersInFlight: 30})
		},
		"silence": func(t *rapid.T) {
			at := rapid.IntRange(0, len(c.in.Upstreams)-1).Draw(t, "upstream")
			c.in.Upstreams[at].Silent = !c.in.Upstreams[at].Silent
		},
		"": func(t *rapid.T) { c.checkInvariants(t) },
	}
}

// runRound plans, commits, delivers orders and loads replicas without a fault, except that
// deliver may keep copies of the orders.
func (c *cluster) runRound(t *rapid.T) {
	c.now += 50 * time.Millisecond
	c.plan()
	c.commit()
	c.plan()
	for range len(c.orders) {
		c.deliver(t)
	}
	for _, h := range c.upstreams {
		for i := range h.replicas {
			h.progress(i, false)
		}
		c.merge(h.report())
	}
}

// deliver hands a drawn order to its upstream. It may keep a copy, to deliver it again later.
func (c *cluster) deliver(t *rapid.T) {
	if len(c.orders) == 0 {
		return
	}
	at := rapid.IntRange(0, len(c.orders)-1).Draw(t, "order")
	o := c.orders[at].order
	if !rapid.Bool().Draw(t, "keep a copy") {
		c.orders = slices.Delete(c.orders, at, at+1)
	}
	for _, h := range c.upstreams {
		if h.id == o.Upstream {
			h.applyOrder(o)
		}
	}
}

// progress completes the load or unload of one replica; a load fails if fails is set.
func (h *fakeUpstream) progress(i int, fails bool) {
	r := &h.replicas[i]
	switch {
	case r.State == directory.Loading && fails:
		r.State, r.Memory = directory.Failed, 0
	case r.State == directory.Loading:
		r.State = directory.Ready
	case r.State == directory.Unloading:
		r.State, r.Memory = directory.Unloaded, 0
	}
}

// receive merges a drawn report. It may keep the report, to receive it again later.
func (c *cluster) receive(t *rapid.T) {
	if len(c.reports) == 0 {
		return
	}
	at := rapid.IntRange(0, len(c.reports)-1).Draw(t, "report")
	c.merge(c.reports[at])
	if rapid.Bool().Draw(t, "drop") {
		c.reports = slices.Delete(c.reports, at, at+1)
	}
}

// TestInvariantsUnderFaults draws processes killed during loads, lost, late and repeated
// orders and reports, silent upstreams and leader changes, in any order.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(c.actions())
	})
}
