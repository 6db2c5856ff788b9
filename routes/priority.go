package routes

import "slices"

const (
	// tenantStep is the weight of a tenant's priority against that of a route.
	tenantStep = 1 << 16
	// maxPriority bounds priorities in both directions, so that no route's outweighs a tenant's.
	maxPriority = tenantStep/2 - 1
)

// Priority returns the number by which calls wait for each other: by the priority of their tenants, then by that of
// their routes. Zero is the most urgent. t is nil for a call without a tenant, which has the priority of a tenant that
// states none.
func Priority(t *Tenant, r *Route) int {
	return tenantStep*clampPriority(t.priority()) + clampPriority(r.Priority)
}

func clampPriority(p int) int { return max(-maxPriority, min(p, maxPriority)) }

// priority returns the tenant's priority. Without one it is as urgent as any.
func (t *Tenant) priority() int {
	if t == nil || t.Priority == nil {
		return 0
	}
	return *t.Priority
}

// priorityRanks holds the distinct priorities of a configuration in ascending order.
type priorityRanks struct{ tenants, routes []int }

func newPriorityRanks(c *Configuration) priorityRanks {
	ranks := priorityRanks{tenants: []int{0}}
	for i := range c.Tenants {
		ranks.tenants = append(ranks.tenants, c.Tenants[i].priority())
	}
	for i := range c.Routes {
		ranks.routes = append(ranks.routes, c.Routes[i].Priority)
	}
	slices.Sort(ranks.tenants)
	slices.Sort(ranks.routes)
	ranks.tenants, ranks.routes = slices.Compact(ranks.tenants), slices.Compact(ranks.routes)
	return ranks
}

// Rank returns how many of the priorities that calls of the configuration can have are more urgent than that of a call,
// and their number. The order is that of Priority.
func (t *Table) Rank(tenant *Tenant, r *Route) (rank, of int) {
	byTenant, _ := slices.BinarySearch(t.ranks.tenants, tenant.priority())
	byRoute, _ := slices.BinarySearch(t.ranks.routes, r.Priority)
	return byTenant*len(t.ranks.routes) + byRoute, len(t.ranks.tenants) * len(t.ranks.routes)
}
