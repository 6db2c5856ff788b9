package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
)

const gib = 1 << 30

// bench is a planner with its inputs, stepped by tests.
type bench struct {
	planner *Planner
	in      Snapshot
	ledger  Ledger
	now     Instant
}

func newBench(wait time.Duration, models ...contract.Model) *bench {
	b := &bench{planner: NewPlanner(Config{Store: StoreLimits{Width: 4, Rate: 4}, AdaptersInFlight: 30})}
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

func (b *bench) upstream(a directory.Announcement) {
	a.Kind = directory.Engine
	for i := range b.in.Upstreams {
		if b.in.Upstreams[i].Announcement.ID == a.ID {
			b.in.Upstreams[i].Announcement = &a
			return
		}
	}
	b.in.Upstreams = append(b.in.Upstreams, Upstream{Announcement: &a})
}

func (b *bench) demand(model string, waiting int, remaining time.Duration) {
	b.in.Demand = []Demand{{Key: Key{Customer: "c", Model: model}, Waiting: waiting, Remaining: remaining, Arrivals: waiting}}
}

// step plans once and commits every change.
func (b *bench) step(t *testing.T, after time.Duration) Plan {
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

func TestColdModelIsGrantedThenLoadedThenReleased(t *testing.T) {
	is := is.New(t)
	b := newBench(time.Minute, contract.Model{Name: "m", Memory: 16 * gib})
	b.upstream(directory.Announcement{ID: "u1", Incarnation: 1, Domain: "a", Memory: 80 * gib, Slots: 8})
	b.demand("m", 3, time.Minute)

	plan := b.step(t, 0)
	is.Equal(len(plan.Orders), 0) // the grant is not committed yet
	is.Equal(len(b.ledger.Grants), 1)
	plan = b.step(t, time.Millisecond)
	is.Equal(len(plan.Orders), 1)
	is.Equal(plan.Orders[0].Grant, uint64(1))

	ready := directory.Replica{Grant: 1, Model: "m", State: directory.Ready, Memory: 16 * gib}
	b.upstream(directory.Announcement{ID: "u1", Incarnation: 1, Domain: "a", Memory: 80 * gib, Slots: 8, Replicas: []directory.Replica{ready}})
	plan = b.step(t, time.Second)
	is.Equal(plan.Forecasts[0].Readiness, Ready)
	is.Equal(len(plan.Changes), 0)

	b.in.Demand = nil
	b.step(t, 30*time.Second)
	is.Equal(b.ledger.Grants[0].State, Withdrawn)
	plan = b.step(t, time.Millisecond)
	is.Equal(plan.Orders[0].Kind, UnloadModel)
	ready.State = directory.Unloaded
	b.upstream(directory.Announcement{ID: "u1", Incarnation: 1, Domain: "a", Memory: 80 * gib, Slots: 8, Replicas: []directory.Replica{ready}})
	b.step(t, time.Second)
	is.Equal(len(b.ledger.Grants), 0)
}
