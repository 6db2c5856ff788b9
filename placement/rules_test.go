package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
)

func engine(id string, replicas ...directory.Replica) directory.Announcement {
	return directory.Announcement{ID: id, Incarnation: 1, Domain: id, Memory: 80 * gib, Slots: 8, Replicas: replicas}
}

func manyModels(n int, size contract.Bytes) []contract.Model {
	var models []contract.Model
	for i := range n {
		models = append(models, contract.Model{Name: fmt.Sprintf("m%02d", i), Memory: size})
	}
	return models
}

func TestFailedLoadStaysChargedWhileACopyOfItsOrderMayArrive(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	b.upstream(engine("u1"))
	b.demand("m", 1, time.Minute)
	b.step(t, 0)
	is.Equal(len(b.step(t, time.Millisecond).Orders), 1)
	is.Equal(len(b.step(t, time.Second).Orders), 1) // sent again, as nothing was reported
	failed := directory.Replica{Grant: 1, Model: "m", State: directory.Failed}
	b.upstream(engine("u1", failed))
	b.upstream(engine("u2"))
	b.step(t, 100*time.Millisecond)
	is.Equal(len(b.ledger.Grants), 1) // the repeated order may still arrive
	b.step(t, time.Second)
	b.step(t, 10*time.Millisecond)
	is.Equal(len(b.ledger.Grants), 1)
	is.Equal(b.ledger.Grants[0].Upstream, "u2") // tried elsewhere
}

func TestReportOfAnotherIncarnationReleasesNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	late := engine("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Unloaded})
	b.upstream(late)
	b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m"}, Upstream: "u1", Incarnation: 2, Memory: 16 * gib}}}
	b.step(t, time.Hour)
	is.Equal(len(b.ledger.Grants), 1)
	b.in.Upstreams[0].Silent = true
	b.step(t, time.Hour)
	is.Equal(len(b.ledger.Grants), 1)
}

func TestBurstOverManyNodesIsOneGrant(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: 16 * gib, Replicas: 3})
	b.upstream(engine("u1"))
	b.upstream(engine("u2"))
	for node := range 8 {
		b.in.Demand = append(b.in.Demand, Demand{Key: Key{"c", "m"}, Node: fmt.Sprint(node), Waiting: 1, Remaining: time.Minute})
	}
	b.step(t, 0)
	b.step(t, time.Millisecond)
	is.Equal(len(b.ledger.Grants), 1)
}

func TestLoadsKeepToTheStoresLimits(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Hour, manyModels(20, 4*gib)...)
	b.upstream(engine("u1"))
	for i := range 20 {
		b.in.Demand = append(b.in.Demand, Demand{Key: Key{"c", fmt.Sprintf("m%02d", i)}, Waiting: 1, Remaining: time.Hour})
	}
	sent, last := 0, -time.Second
	var reports []directory.Replica
	for range 100 {
		for _, o := range b.step(t, 20*time.Millisecond).Orders {
			if o.Kind == LoadModel {
				is.True(b.now-last >= 250*time.Millisecond) // four a second
				last = b.now
				sent++
				reports = append(reports, directory.Replica{Grant: o.Grant, Model: o.Model, State: directory.Loading, Memory: o.Memory})
			}
		}
		b.upstream(engine("u1", reports...))
	}
	is.Equal(sent, 4) // at once
}

func TestUrgentLoadGoesFirst(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, manyModels(8, 4*gib)...)
	b.upstream(engine("u1"))
	for i := range 8 {
		remaining := time.Duration(60-i) * time.Second
		b.in.Demand = append(b.in.Demand, Demand{Key: Key{"c", fmt.Sprintf("m%02d", i)}, Waiting: 1, Remaining: remaining})
	}
	b.step(t, 0)
	is.Equal(b.step(t, time.Millisecond).Orders[0].Model, "m07")
}

func TestReplicaIsRequiredWhereAColdStartCouldMissTheWait(t *testing.T) {
	is := is.New(t)
	b := newBench(500*time.Millisecond, contract.Model{Name: "m", Memory: 16 * gib})
	b.upstream(engine("u1"))
	b.step(t, 0)
	is.Equal(len(b.ledger.Grants), 1) // a load takes a second
	b.upstream(engine("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: 16 * gib}))
	b.step(t, time.Hour)
	is.Equal(b.ledger.Grants[0].State, Granted)

	slow := newBench(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	slow.upstream(engine("u1"))
	slow.step(t, 0)
	is.Equal(len(slow.ledger.Grants), 0)
}

func TestIdleReplicaGivesWayAndBusyOneDoesNot(t *testing.T) {
	is := is.New(t)
	for _, running := range []int{0, 1} {
		b := newBench(time.Hour, manyModels(2, 50*gib)...)
		b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m00"}, Upstream: "u1", Incarnation: 1, Memory: 50 * gib}}}
		b.upstream(engine("u1", directory.Replica{Grant: 1, Model: "m00", State: directory.Ready, Memory: 50 * gib}))
		b.now = 10 * time.Second // beyond an earlier leader's orders
		b.in.Demand = []Demand{
			{Key: Key{"c", "m00"}, Running: running},
			{Key: Key{"c", "m01"}, Waiting: 1, Remaining: time.Hour},
		}
		plan := b.step(t, 0)
		is.Equal(b.ledger.Grants[0].State == Withdrawn, running == 0)
		is.Equal(plan.Forecasts[1].Readiness == Blocked, false)
		is.Equal(plan.Forecasts[1].ReadyIn > time.Hour, running == 1) // refused at once
	}
}

// TestNewLeaderWaitsBeforeItWithdraws covers upstreams that ignore fencing
// numbers: an earlier leader's load order may be on its way until its lease and
// the order's deadline are over.
func TestNewLeaderWaitsBeforeItWithdraws(t *testing.T) {
	is := is.New(t)
	for _, checks := range []bool{true, false} {
		b := newBench(time.Minute, contract.Model{Name: "other", Memory: gib})
		b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m"}, Upstream: "u1", Incarnation: 1, Memory: gib}}}
		a := engine("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: gib})
		a.ChecksFencing = checks
		b.upstream(a)
		b.step(t, time.Second)
		is.Equal(b.ledger.Grants[0].State == Withdrawn, checks)
		b.step(t, time.Second) // the longest lease and the order deadline
		is.Equal(b.ledger.Grants[0].State, Withdrawn)
	}
}

func TestReplicaOnALeavingUpstreamIsReplaced(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: gib})
	b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m"}, Upstream: "u1", Incarnation: 1, Memory: gib}}}
	leaving := engine("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: gib})
	leaving.Leaving = true
	b.upstream(leaving)
	b.upstream(engine("u2"))
	b.now = 10 * time.Second
	b.demand("m", 1, time.Minute)
	plan := b.step(t, 0)
	is.True(plan.Forecasts[0].Readiness != Ready) // it takes no new work
	is.Equal(b.ledger.Grants[0].State, Withdrawn) // its running requests finish
	leaving.Replicas[0].State, leaving.Replicas[0].Memory = directory.Unloaded, 0
	b.upstream(leaving)
	b.step(t, time.Second)
	b.step(t, 10*time.Millisecond)
	is.Equal(b.ledger.Grants[0].Upstream, "u2")
}

func TestReclaimedUpstreamIsReplaced(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: gib})
	b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m"}, Upstream: "u1", Incarnation: 1, Memory: gib}}}
	b.upstream(engine("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: gib}))
	b.upstream(engine("u2"))
	b.in.Upstreams[0].Gone = true
	b.demand("m", 1, time.Minute)
	b.step(t, 0)
	b.step(t, 10*time.Millisecond)
	is.Equal(b.ledger.Grants[0].Upstream, "u2")
}

func TestStrayReplicaIsChargedAndUnloaded(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	b.ledger.Last = 9
	b.upstream(engine("u1", directory.Replica{Grant: 4, Model: "x", State: directory.Ready, Memory: 70 * gib}))
	b.demand("m", 1, time.Minute)
	plan := b.step(t, 0)
	is.Equal(len(b.ledger.Grants), 0)
	is.Equal(plan.Orders[0].Kind, UnloadModel)
	is.Equal(plan.Orders[0].Grant, uint64(4))
	is.Equal(plan.Orders[0].Fence, uint64(9))
}

func TestPendingChangesAreNotProposedAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: gib})
	b.upstream(engine("u1"))
	b.demand("m", 1, time.Minute)
	first := b.planner.Plan(0, b.in)
	is.Equal(len(first.Changes), 1)
	b.in.Pending = first.Changes
	is.Equal(len(b.planner.Plan(time.Millisecond, b.in).Changes), 0)
}

func TestNoOrderWithoutLease(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	b.upstream(engine("u1"))
	b.demand("m", 1, time.Minute)
	b.in.Leadership.Lease = false
	b.step(t, 0)
	is.Equal(len(b.step(t, time.Second).Orders), 0)
}

func TestAdapterLoadsKeepToTheSharedLimit(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m"}, Upstream: "u1", Incarnation: 1, Memory: 16 * gib}}}
	b.upstream(engine("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: 16 * gib}))
	for i := range 50 {
		b.in.Demand = append(b.in.Demand, Demand{
			Key: Key{"c", "m"}, Adapter: fmt.Sprintf("a%02d", i), Waiting: 1, Remaining: time.Duration(60-i) * time.Second,
		})
	}
	plan := b.step(t, 0)
	is.Equal(len(plan.Orders), 30)
	is.Equal(plan.Orders[0].Adapter, "a49") // the earliest deadline
	b.planner.ObserveAdapter(1, "a49")
	is.Equal(len(b.step(t, 10*time.Millisecond).Orders), 1)
}

func TestNightlyJobsTogetherAreLoadedAhead(t *testing.T) {
	is := is.New(t)
	b := newBench(5*time.Second, manyModels(40, 16*gib)...)
	for i := range 12 {
		b.upstream(engine(fmt.Sprintf("u%02d", i)))
	}
	for night := range 3 {
		b.now = time.Duration(night) * day
		for i := range 40 {
			m := b.planner.byKey[Key{"c", fmt.Sprintf("m%02d", i)}]
			if m == nil {
				b.step(t, 0)
				m = b.planner.byKey[Key{"c", fmt.Sprintf("m%02d", i)}]
			}
			m.arrivals.observe(b.now+2*time.Hour, 1)
		}
	}
	b.now = 3*day + time.Hour
	b.step(t, 0)
	is.Equal(len(b.ledger.Grants), 0) // an hour early
	b.now = 3*day + 2*time.Hour - 3*time.Minute
	b.step(t, 0)
	is.True(len(b.ledger.Grants) > 0)
}

func TestEqualInputsGiveEqualPlans(t *testing.T) {
	is := is.New(t)
	run := func() string {
		b := newBench(time.Minute, manyModels(30, 8*gib)...)
		for i := range 5 {
			b.upstream(engine(fmt.Sprintf("u%d", i)))
		}
		for i := range 30 {
			b.in.Demand = append(b.in.Demand, Demand{Key: Key{"c", fmt.Sprintf("m%02d", i)}, Waiting: 1 + i%3, Remaining: time.Minute})
		}
		out := ""
		for range 20 {
			out += fmt.Sprint(b.step(t, 100*time.Millisecond))
		}
		return out
	}
	is.Equal(run(), run())
}
