package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
)

// gib is the number of bytes in a GiB.
const gib = 1 << 30

// harness holds a planner with its inputs and runs it round by round.
type harness struct {
	planner *Planner
	in      Snapshot
	ledger  Ledger
	now     Instant
}

// newHarness returns a harness with one contract: the models of customer "c" with the given
// wait. It has no upstreams and no demand.
func newHarness(wait time.Duration, models ...contract.Model) *harness {
	b := &harness{planner: NewPlanner(Config{Store: StoreLimits{Width: 4, Rate: 4}, AdaptersInFlight: 30})}
	b.in = Snapshot{
		Leadership: Leadership{Lease: true, LongestLease: time.Second, OrderDeadline: time.Second},
		Contracts: []contract.Contract{{
			Customer: "c", Wait: contract.Duration(wait), Models: models,
			Capacity: contract.Capacity{Replicas: 100},
		}},
		Revision: 1,
		Ledger:   &b.ledger,
	}
	return b
}

// setUpstream adds an announcement, or replaces the one with the same ID.
func (b *harness) setUpstream(a directory.Announcement) {
	a.Kind = directory.Engine
	for i := range b.in.Upstreams {
		if b.in.Upstreams[i].Announcement.ID == a.ID {
			b.in.Upstreams[i].Announcement = &a
			return
		}
	}
	b.in.Upstreams = append(b.in.Upstreams, Upstream{Announcement: &a})
}

// setDemand replaces the demand by one row in which all waiting requests just arrived.
func (b *harness) setDemand(model string, waiting int, remaining time.Duration) {
	b.in.Demand = []Demand{{Key: Key{Customer: "c", Model: model}, Waiting: waiting, Remaining: remaining, Arrivals: waiting}}
}

// step advances the time, plans once and commits every change.
func (b *harness) step(t *testing.T, after time.Duration) Plan {
	t.Helper()
	b.now += after
	plan := b.planner.Plan(b.now, b.in)
	for _, c := range plan.Changes {
		if _, err := b.ledger.Apply(c, Limits{Model: 100, Customer: 100}); err != nil {
			t.Fatalf("change %+v: %v", c, err)
		}
	}
	return plan
}

// TestColdModelLifecycle follows a cold model from the grant through load, idle time and
// unload to the release of its grant.
func TestColdModelLifecycle(t *testing.T) {
	is := is.New(t)
	b := newHarness(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	b.setUpstream(directory.Announcement{ID: "u1", Incarnation: 1, Domain: "a", Memory: 80 * gib, Slots: 8})
	b.setDemand("m", 3, time.Minute)

	plan := b.step(t, 0)
	is.Equal(len(plan.Orders), 0) // the grant is not committed yet
	is.Equal(len(b.ledger.Grants), 1)
	plan = b.step(t, time.Millisecond)
	is.Equal(len(plan.Orders), 1)
	is.Equal(plan.Orders[0].Grant, uint64(1))

	ready := directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: 16 * gib}
	b.setUpstream(directory.Announcement{ID: "u1", Incarnation: 1, Domain: "a", Memory: 80 * gib, Slots: 8, Replicas: []directory.Replica{ready}})
	plan = b.step(t, time.Second)
	is.Equal(plan.Forecasts[0].Readiness, Ready)
	is.Equal(len(plan.Changes), 0)

	b.in.Demand = nil
	b.step(t, 30*time.Second)
	is.Equal(b.ledger.Grants[0].State, Withdrawn)
	plan = b.step(t, time.Millisecond)
	is.Equal(plan.Orders[0].Kind, UnloadModel)
	ready.State = directory.Unloaded
	b.setUpstream(directory.Announcement{ID: "u1", Incarnation: 1, Domain: "a", Memory: 80 * gib, Slots: 8, Replicas: []directory.Replica{ready}})
	b.step(t, time.Second)
	is.Equal(len(b.ledger.Grants), 0)
}
