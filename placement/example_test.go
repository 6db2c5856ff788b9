package placement_test

import (
	"fmt"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/placement"
)

// A model is called while no replica is loaded. The first round proposes a grant. Once the
// grant is applied, the second round orders the load.
func ExamplePlanner() {
	planner := placement.NewPlanner(placement.Config{
		Store:            placement.StoreLimits{Width: 4, Rate: 4.5},
		AdaptersInFlight: 30,
	})
	var ledger placement.Ledger
	key := placement.Key{Customer: "pegelhaus", Model: "notes"}
	in := placement.Snapshot{
		Leadership: placement.Leadership{Lease: true, LongestLease: 2 * time.Second, OrderDeadline: time.Second},
		Contracts: []contract.Contract{{
			Customer: key.Customer,
			Wait:     contract.Duration(20 * time.Second),
			Capacity: contract.Capacity{Replicas: 2},
			Models:   []contract.Model{{Name: key.Model, Memory: 8 << 30}},
		}},
		Revision: 1,
		Upstreams: []placement.Upstream{{Announcement: &directory.Announcement{
			ID: "runner-1", Incarnation: 1, Domain: "muc", Kind: directory.Engine, Memory: 24 << 30, Slots: 8,
		}}},
		Ledger: &ledger,
		Demand: []placement.Demand{{Key: key, Node: "entry-1", Waiting: 3, Remaining: 20 * time.Second, Arrivals: 3}},
	}

	plan := planner.Plan(0, in)
	for _, change := range plan.Changes {
		grant, err := ledger.Apply(change, placement.Limits{Model: 1, Customer: 2})
		fmt.Println("granted", grant.ID, "on", grant.Upstream, err)
	}
	plan = planner.Plan(5*time.Millisecond, in)
	for _, order := range plan.Orders {
		fmt.Println("load grant", order.Grant, "from", order.Tier, "fence", order.Fence)
	}
	// Output:
	// granted 1 on runner-1 <nil>
	// load grant 1 from remote fence 1
}
