package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
)

// tenantCall returns a call of a tenant that waits for up to half a minute.
func tenantCall(id int, tenant string, priority int) dispatch.Call {
	c := call(id, "m", priority, 0)
	c.Tenant, c.LatestStart = tenant, 60*second
	return c
}

// startOrder submits calls to an engine with one slot, which has work already, and returns the tenants in the order in
// which their calls start.
func startOrder(calls []dispatch.Call) (order []string) {
	d := newDispatcher(engine("a", 1, "m"))
	d.Submit(call(0, "m", 0, 0), 0)
	tenants := map[dispatch.CallID]string{}
	for _, c := range calls {
		tenants[c.ID] = c.Tenant
		d.Submit(c, 0)
	}
	for running := dispatch.CallID(0); ; {
		begun := started(d.Finish(running, dispatch.Served, 0))
		if len(begun) == 0 {
			return order
		}
		for id := range begun {
			running = id
			order = append(order, tenants[id])
		}
	}
}

// TestTenantsTakeTurns has a hot tenant's calls due before those of others. Without turns all of them would start first.
func TestTenantsTakeTurns(t *testing.T) {
	is := is.New(t)
	var calls []dispatch.Call
	for i := range 9 {
		calls = append(calls, tenantCall(i+1, "hot", 1))
	}
	heavy := tenantCall(20, "heavy", 1)
	for i := range 4 {
		heavy.ID, heavy.Weight, heavy.Target = dispatch.CallID(20+i), 2, second
		calls = append(calls, heavy)
	}
	calls = append(calls, tenantCall(30, "small", 1))
	order := startOrder(calls)
	is.Equal(len(order), 14)
	count := map[string]int{}
	for _, tenant := range order[:7] {
		count[tenant]++
	}
	is.Equal(count, map[string]int{"hot": 2, "heavy": 4, "small": 1})
	is.Equal(startOrder([]dispatch.Call{tenantCall(1, "hot", 2), tenantCall(2, "hot", 2), tenantCall(3, "low", 3), tenantCall(4, "hot", 1)}),
		[]string{"hot", "hot", "hot", "low"}) // priority goes before turns
}

// TestReturningTenantHasNoCredit has a tenant that was idle come back: it takes turns from now on, and does not get all
// that the other one had meanwhile.
func TestReturningTenantHasNoCredit(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 1, "m"))
	id := 0
	for range 50 {
		id++
		is.Equal(len(started(d.Submit(tenantCall(id, "busy", 1), 0))), 1)
		d.Finish(dispatch.CallID(id), dispatch.Served, 0)
	}
	d.Submit(call(1000, "m", 1, 0), 0)
	for i := range 4 {
		d.Submit(tenantCall(2000+i, "busy", 1), 0)
		d.Submit(tenantCall(3000+i, "back", 1), 0)
	}
	count, running := map[dispatch.CallID]int{}, dispatch.CallID(1000)
	for range 4 {
		for next := range started(d.Finish(running, dispatch.Served, 0)) {
			running = next
			count[next/1000]++
		}
	}
	is.Equal(count, map[dispatch.CallID]int{2: 2, 3: 2})
}

// crowd replays calls of several tenants and priorities at one engine, twice as many as it runs, and returns the calls that were
// started and all that were decided, by tenant and priority.
func crowd(rates map[string]int, priorities map[string]int, named bool) (begun, decided map[string]int) {
	d := newDispatcher(engine("a", 4, "m"))
	begun, decided = map[string]int{}, map[string]int{}
	type running struct {
		id  dispatch.CallID
		end time.Duration
	}
	var runs []running
	names := map[dispatch.CallID]string{}
	id := 0
	note := func(verdicts []dispatch.Verdict, now time.Duration) {
		for _, v := range verdicts {
			decided[names[v.ID]]++
			if v.Action == dispatch.Start {
				begun[names[v.ID]]++
				runs = append(runs, running{v.ID, now + second})
			}
		}
	}
	for now := time.Duration(0); now < 120*second; now += 100 * ms {
		for len(runs) > 0 && runs[0].end <= now {
			ended := runs[0].id
			runs = runs[1:]
			note(d.Finish(ended, dispatch.Served, now), now)
		}
		for name, rate := range rates {
			for range rate {
				id++
				c := call(id, "m", priorities[name], now)
				c.LatestStart = now + 4*second
				if named {
					c.Tenant = name
				}
				names[c.ID] = name
				note(d.Submit(c, now), now)
			}
		}
		note(d.Tick(now), now)
	}
	return begun, decided
}

// TestNoTenantOrPriorityStarves has urgent calls alone exceed what an engine runs, for two minutes. Those of the
// patient tenant must be served a quarter as often as all, and not more often than the urgent ones.
func TestNoTenantOrPriorityStarves(t *testing.T) {
	rates, priorities := map[string]int{"urgent": 1, "patient": 1}, map[string]int{"urgent": 0, "patient": 5}
	begun, decided := crowd(rates, priorities, true)
	reference, _ := crowd(rates, priorities, false)
	t.Log(begun, decided, "without tenants", reference)
	share := func(name string) float64 { return float64(begun[name]) / float64(decided[name]) }
	all := float64(begun["urgent"]+begun["patient"]) / float64(decided["urgent"]+decided["patient"])
	if share("patient") < all/4 || share("patient") > share("urgent") {
		t.Errorf("%.2f of the patient calls served, %.2f of the urgent ones, %.2f of all", share("patient"), share("urgent"), all)
	}
	if reference["patient"] > reference["urgent"]/20 {
		t.Errorf("without tenants the order changed: %v", reference)
	}
}

// TestHotTenantIsShedFirst has a model overloaded and one tenant ask for eight times as much as each of the others: its
// calls must be refused at least twice as often.
func TestHotTenantIsShedFirst(t *testing.T) {
	d := newDispatcher(engine("a", 1000, "m"))
	refused, asked := map[bool]float64{}, map[bool]float64{}
	for i := range 4000 {
		// Overloaded at first; then a part of the calls would find room.
		d.ObservePlannerCounts(map[string]int{"a": max(950, 1120-i)}, true, 0)
		tenant := "hot"
		if i%3 == 0 {
			tenant = fmt.Sprint("small", i/3%4)
		}
		c := tenantCall(i+1, tenant, 1)
		for _, v := range d.Submit(c, 0) {
			if i < 200 {
				continue // shares are not known yet
			}
			asked[tenant == "hot"]++
			if v.Action == dispatch.Refuse {
				refused[tenant == "hot"]++
			} else {
				d.Finish(v.ID, dispatch.Served, 0)
			}
		}
	}
	hot, others := refused[true]/asked[true], refused[false]/asked[false]
	t.Logf("%.2f of the hot tenant's calls refused, %.2f of the others'", hot, others)
	if hot < 2*others {
		t.Errorf("%.2f of the hot tenant's calls refused, %.2f of the others'", hot, others)
	}
}

// TestUrgentCallIsNotRefusedForPatientOnes has patient calls fill the queue. An urgent one goes before them.
func TestUrgentCallIsNotRefusedForPatientOnes(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 2, "m"))
	for i := range 40 {
		d.Submit(tenantCall(i, "patient", 5), 0)
	}
	for _, v := range d.Submit(tenantCall(100, "urgent", 0), 0) {
		is.True(v.ID != 100)
	}
	is.Equal(started(d.Finish(0, dispatch.Served, 0))[100], "a")
}

// TestNewNodeJudgesNobody refuses calls of a tenant at a node that has decided on few: nobody counts as starved, and no
// limit is lowered. Absurd weights are bounded.
func TestNewNodeJudgesNobody(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 1, "m"))
	for i := range 7 {
		c := tenantCall(i, "t", 1)
		c.Weight = math.NaN()
		d.Submit(c, 0)
		d.Withdraw(c.ID)
	}
	is.Equal(len(d.Starved(0)), 0)
	huge, tiny := tenantCall(20, "huge", 1), tenantCall(21, "tiny", 1)
	huge.Weight, tiny.Weight = math.Inf(1), 0
	order := startOrder([]dispatch.Call{huge, tiny})
	is.Equal(len(order), 2)
}
