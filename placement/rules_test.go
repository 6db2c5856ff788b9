package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
)

// engineAnnouncement returns an announcement of an engine in a failure domain of its own.
func engineAnnouncement(id string, replicas ...directory.Replica) directory.Announcement {
	return directory.Announcement{ID: id, Incarnation: 1, Domain: id, Memory: 80 * gib, Slots: 8, Replicas: replicas}
}

// manyModels returns n models of the given size, named m00, m01 and so on.
func manyModels(n int, size contract.Bytes) []contract.Model {
	var models []contract.Model
	for i := range n {
		models = append(models, contract.Model{Name: fmt.Sprintf("m%02d", i), Memory: size})
	}
	return models
}

// TestFailedLoadReleasedAfterOrderDeadline guards against releasing a grant while a repeated
// load order is in flight: the late order would load a replica that is not charged.
func TestFailedLoadReleasedAfterOrderDeadline(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	b.setUpstream(engineAnnouncement("u1"))
	b.setDemand("m", 1, time.Minute)
	b.step(t, 0)
	is.Equal(len(b.step(t, time.Millisecond).Orders), 1)
	is.Equal(len(b.step(t, time.Second).Orders), 1) // repeated, because nothing was reported
	failed := directory.Replica{Grant: 1, Model: "m", State: directory.Failed}
	b.setUpstream(engineAnnouncement("u1", failed))
	b.setUpstream(engineAnnouncement("u2"))
	b.step(t, 100*time.Millisecond)
	is.Equal(len(b.ledger.Grants), 1) // the repeated order can still arrive
	b.step(t, time.Second)
	b.step(t, 10*time.Millisecond)
	is.Equal(len(b.ledger.Grants), 1)
	is.Equal(b.ledger.Grants[0].Upstream, "u2") // the other upstream is tried
}

// TestReportFromOtherIncarnationIgnored checks that neither an older incarnation's report nor
// silence releases a grant.
func TestReportFromOtherIncarnationIgnored(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	report := engineAnnouncement("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Unloaded})
	b.setUpstream(report)
	b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m"}, Upstream: "u1", Incarnation: 2, Memory: 16 * gib}}}
	b.step(t, time.Hour)
	is.Equal(len(b.ledger.Grants), 1)
	b.in.Upstreams[0].Silent = true
	b.step(t, time.Hour)
	is.Equal(len(b.ledger.Grants), 1)
}

// TestBurstOverNodesGetsOneGrant checks that demand from several entry nodes is added up
// before replicas are granted.
func TestBurstOverNodesGetsOneGrant(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: 16 * gib, Replicas: 3})
	b.setUpstream(engineAnnouncement("u1"))
	b.setUpstream(engineAnnouncement("u2"))
	for node := range 8 {
		b.in.Demand = append(b.in.Demand, Demand{Key: Key{"c", "m"}, Node: fmt.Sprint(node), Waiting: 1, Remaining: time.Minute})
	}
	b.step(t, 0)
	b.step(t, time.Millisecond)
	is.Equal(len(b.ledger.Grants), 1)
}

// TestLoadsRespectStoreLimits checks the store's rate of starts and its number of concurrent
// loads, with loads that do not end.
func TestLoadsRespectStoreLimits(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Hour, manyModels(20, 4*gib)...)
	b.setUpstream(engineAnnouncement("u1"))
	for i := range 20 {
		b.in.Demand = append(b.in.Demand, Demand{Key: Key{"c", fmt.Sprintf("m%02d", i)}, Waiting: 1, Remaining: time.Hour})
	}
	sent, last := 0, -time.Second
	var reports []directory.Replica
	for range 100 {
		for _, o := range b.step(t, 20*time.Millisecond).Orders {
			if o.Kind == LoadModel {
				is.True(b.now-last >= 250*time.Millisecond) // at most four starts per second
				last = b.now
				sent++
				reports = append(reports, directory.Replica{Grant: o.Grant, Model: o.Model, State: directory.Loading, Memory: o.Memory})
			}
		}
		b.setUpstream(engineAnnouncement("u1", reports...))
	}
	is.Equal(sent, 4) // at most four loads at a time
}

func TestEarliestDeadlineLoadsFirst(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, manyModels(8, 4*gib)...)
	b.setUpstream(engineAnnouncement("u1"))
	for i := range 8 {
		remaining := time.Duration(60-i) * time.Second
		b.in.Demand = append(b.in.Demand, Demand{Key: Key{"c", fmt.Sprintf("m%02d", i)}, Waiting: 1, Remaining: remaining})
	}
	b.step(t, 0)
	is.Equal(b.step(t, time.Millisecond).Orders[0].Model, "m07")
}

// TestReplicaKeptWarmIfColdStartExceedsWait checks that a replica is loaded and kept without
// requests only where a cold start could exceed the contract's wait.
func TestReplicaKeptWarmIfColdStartExceedsWait(t *testing.T) {
	is := is.New(t)
	b := newHarness(500*time.Millisecond, contract.Model{Name: "m", Memory: 16 * gib})
	b.setUpstream(engineAnnouncement("u1"))
	b.step(t, 0)
	is.Equal(len(b.ledger.Grants), 1) // a load takes a second, longer than the wait
	b.setUpstream(engineAnnouncement("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: 16 * gib}))
	b.step(t, time.Hour)
	is.Equal(b.ledger.Grants[0].State, Granted)

	slow := newHarness(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	slow.setUpstream(engineAnnouncement("u1"))
	slow.step(t, 0)
	is.Equal(len(slow.ledger.Grants), 0)
}

// TestOnlyIdleReplicaIsEvicted checks that an idle replica is evicted for another model's
// request, and that one with a running request is not.
func TestOnlyIdleReplicaIsEvicted(t *testing.T) {
	is := is.New(t)
	for _, running := range []int{0, 1} {
		b := newHarness(time.Hour, manyModels(2, 50*gib)...)
		b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m00"}, Upstream: "u1", Incarnation: 1, Memory: 50 * gib}}}
		b.setUpstream(engineAnnouncement("u1", directory.Replica{Grant: 1, Model: "m00", State: directory.Ready, Memory: 50 * gib}))
		b.now = 10 * time.Second // no order of an earlier leader can arrive
		b.in.Demand = []Demand{
			{Key: Key{"c", "m00"}, Running: running},
			{Key: Key{"c", "m01"}, Waiting: 1, Remaining: time.Hour},
		}
		plan := b.step(t, 0)
		is.Equal(b.ledger.Grants[0].State == Withdrawn, running == 0)
		is.Equal(plan.Forecasts[1].Readiness == Blocked, false)
		is.Equal(plan.Forecasts[1].ReadyIn > time.Hour, running == 1) // refused on arrival
	}
}

// TestNewLeaderDelaysWithdrawWithoutFencing covers upstreams that do not check fencing
// numbers. An earlier leader's load order can arrive until its lease and the order deadline
// have passed, so the new leader withdraws no grant before.
func TestNewLeaderDelaysWithdrawWithoutFencing(t *testing.T) {
	is := is.New(t)
	for _, checks := range []bool{true, false} {
		b := newHarness(time.Minute, contract.Model{Name: "other", Memory: gib})
		b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m"}, Upstream: "u1", Incarnation: 1, Memory: gib}}}
		a := engineAnnouncement("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: gib})
		a.ChecksFencing = checks
		b.setUpstream(a)
		b.step(t, time.Second)
		is.Equal(b.ledger.Grants[0].State == Withdrawn, checks)
		b.step(t, time.Second) // the longest lease and the order deadline have passed
		is.Equal(b.ledger.Grants[0].State, Withdrawn)
	}
}

// TestLeavingUpstreamReplicaReplaced checks that a replica on a leaving upstream is unloaded
// first and then granted elsewhere, because the model's limit is one replica.
func TestLeavingUpstreamReplicaReplaced(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: gib})
	b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m"}, Upstream: "u1", Incarnation: 1, Memory: gib}}}
	leaving := engineAnnouncement("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: gib})
	leaving.Leaving = true
	b.setUpstream(leaving)
	b.setUpstream(engineAnnouncement("u2"))
	b.now = 10 * time.Second
	b.setDemand("m", 1, time.Minute)
	plan := b.step(t, 0)
	is.True(plan.Forecasts[0].Readiness != Ready) // a leaving upstream takes no new requests
	is.Equal(b.ledger.Grants[0].State, Withdrawn) // its running requests finish
	leaving.Replicas[0].State, leaving.Replicas[0].Memory = directory.Unloaded, 0
	b.setUpstream(leaving)
	b.step(t, time.Second)
	b.step(t, 10*time.Millisecond)
	is.Equal(b.ledger.Grants[0].Upstream, "u2")
}

func TestReclaimedUpstreamReplicaReplaced(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: gib})
	b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m"}, Upstream: "u1", Incarnation: 1, Memory: gib}}}
	b.setUpstream(engineAnnouncement("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: gib}))
	b.setUpstream(engineAnnouncement("u2"))
	b.in.Upstreams[0].Gone = true
	b.setDemand("m", 1, time.Minute)
	b.step(t, 0)
	b.step(t, 10*time.Millisecond)
	is.Equal(b.ledger.Grants[0].Upstream, "u2")
}

// TestOrphanReplicaChargedAndUnloaded checks that a replica without a grant is unloaded, and
// that its memory is not granted before.
func TestOrphanReplicaChargedAndUnloaded(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	b.ledger.Last = 9
	b.setUpstream(engineAnnouncement("u1", directory.Replica{Grant: 4, Model: "x", State: directory.Ready, Memory: 70 * gib}))
	b.setDemand("m", 1, time.Minute)
	plan := b.step(t, 0)
	is.Equal(len(b.ledger.Grants), 0)
	is.Equal(plan.Orders[0].Kind, UnloadModel)
	is.Equal(plan.Orders[0].Grant, uint64(4))
	is.Equal(plan.Orders[0].Fence, uint64(9))
}

func TestPendingChangesNotReproposed(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: gib})
	b.setUpstream(engineAnnouncement("u1"))
	b.setDemand("m", 1, time.Minute)
	first := b.planner.Plan(0, b.in)
	is.Equal(len(first.Changes), 1)
	b.in.Pending = first.Changes
	is.Equal(len(b.planner.Plan(time.Millisecond, b.in).Changes), 0)
}

func TestNoOrdersWithoutLease(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	b.setUpstream(engineAnnouncement("u1"))
	b.setDemand("m", 1, time.Minute)
	b.in.Leadership.Lease = false
	b.step(t, 0)
	is.Equal(len(b.step(t, time.Second).Orders), 0)
}

// TestAdapterLoadsRespectLimit checks the limit of adapter loads in progress, and that a
// reported load lets the next one start.
func TestAdapterLoadsRespectLimit(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	b.ledger = Ledger{Last: 1, Grants: []Grant{{ID: 1, Key: Key{"c", "m"}, Upstream: "u1", Incarnation: 1, Memory: 16 * gib}}}
	b.setUpstream(engineAnnouncement("u1", directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: 16 * gib}))
	for i := range 50 {
		b.in.Demand = append(b.in.Demand, Demand{
			Key: Key{"c", "m"}, Adapter: fmt.Sprintf("a%02d", i), Waiting: 1, Remaining: time.Duration(60-i) * time.Second,
		})
	}
	plan := b.step(t, 0)
	is.Equal(len(plan.Orders), 30)
	is.Equal(plan.Orders[0].Adapter, "a49") // the need with the earliest deadline
	b.planner.ObserveAdapter(1, "a49")
	is.Equal(len(b.step(t, 10*time.Millisecond).Orders), 1)
}

// TestSimultaneousWakeupsArePreloaded checks that daily wake-ups that could not all be loaded
// on demand within the wait are loaded shortly before, but not an hour before.
func TestSimultaneousWakeupsArePreloaded(t *testing.T) {
	is := is.New(t)
	b := newHarness(5*time.Second, manyModels(40, 16*gib)...)
	for i := range 12 {
		b.setUpstream(engineAnnouncement(fmt.Sprintf("u%02d", i)))
	}
	for night := range 3 {
		b.now = time.Duration(night) * day
		for i := range 40 {
			m := b.planner.modelsByKey[Key{"c", fmt.Sprintf("m%02d", i)}]
			if m == nil {
				b.step(t, 0)
				m = b.planner.modelsByKey[Key{"c", fmt.Sprintf("m%02d", i)}]
			}
			m.arrivals.observe(b.now+2*time.Hour, 1)
		}
	}
	b.now = 3*day + time.Hour
	b.step(t, 0)
	is.Equal(len(b.ledger.Grants), 0) // an hour before the wake-ups
	b.now = 3*day + 2*time.Hour - 3*time.Minute
	b.step(t, 0)
	is.True(len(b.ledger.Grants) > 0)
}

// TestPlansAreDeterministic checks that equal inputs give equal plans.
func TestPlansAreDeterministic(t *testing.T) {
	is := is.New(t)
	run := func() string {
		b := newHarness(time.Minute, manyModels(30, 8*gib)...)
		for i := range 5 {
			b.setUpstream(engineAnnouncement(fmt.Sprintf("u%d", i)))
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
