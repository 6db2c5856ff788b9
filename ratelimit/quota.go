package ratelimit

import "time"

const (
	// ShareTTL is how long a node may use what it holds of a quota, counted from when it sent the latest report that the
	// leader answered. A node reports several times within it.
	ShareTTL = time.Second
	// ReturnTime is how long after a call took its cost the node may give it back.
	ReturnTime = 300 * time.Millisecond
	// chargeTTL is how long the leader counts what a node holds after the node's latest report, clock drift included.
	chargeTTL = ShareTTL + ShareTTL/32
	// clockDrift bounds by how much two clocks may differ, as a share of the time that they measure.
	clockDrift = 1.0 / 64
)

// QuotaBound is the limit of a token bucket that a leader and the nodes hold together. Amounts are in units of the quota.
type QuotaBound struct {
	// Rate is the amount per second at which the bucket fills.
	Rate float64
	// Burst is what the quota allows at once.
	Burst float64
	// Capacity is the most that the leader and the nodes may hold together.
	Capacity float64
	// Out is the most that the nodes may hold together of one leader's grants, and so the most that one call may cost.
	Out float64
	// OutAll is the most that they may hold of all leaders' grants while a leader is new that knows its reserve.
	OutAll float64
	// Reserve is what a leader keeps for the next one.
	Reserve float64
	// Ahead is the most that the nodes may hold together for calls that have not arrived.
	Ahead float64
	// NewRate is the amount per second at which the bucket of a new leader fills while nodes may hold something of
	// earlier leaders.
	NewRate float64
}

// outShare is the share of OutAll that nodes may hold of one leader's grants, if that is a burst. The rest is for the next
// leader's while the nodes may still hold those.
const outShare = 0.8

// reserveShare is the share of the tolerance, but for what nodes may hold ahead, that a leader keeps for the next one. The
// rest makes up for what nodes hold and do not need, so that tenants below their quotas do not meet the reserve.
const reserveShare = 0.75

// aheadShare is the share of Out that nodes may hold for calls that have not arrived. The rest is for calls that wait.
const aheadShare = 0.4

// BoundQuota returns the bound by which the calls in any time span of the given window, measured by any clock, cost at
// most (rate x window + burst) x (1 + over) + slack.
func BoundQuota(rate, burst float64, window time.Duration, over, slack float64) QuotaBound {
	span := window.Seconds() * (1 + clockDrift)
	most := (rate*window.Seconds()+burst)*(1+over) + slack
	b := QuotaBound{Rate: min(rate, (most-burst)/span), Burst: burst}
	b.Capacity = max(burst, most-b.Rate*span)
	b.OutAll = max(b.Capacity/2, burst, b.Capacity-b.Rate*chargeTTL.Seconds())
	b.Out = max(burst, outShare*b.OutAll)
	b.Ahead = max(0, min(aheadShare*b.Out, b.Capacity-burst))
	b.NewRate = min(b.Rate, (b.Capacity-b.OutAll)/chargeTTL.Seconds())
	b.Reserve = max(0, reserveShare*min(b.Capacity-burst-b.Ahead, b.Capacity-b.Out))
	return b
}

// ShareReport is a node's report of what it holds and needs of quotas. A node sends the next one only after it has the
// answer to the last one, or will ignore it.
type ShareReport struct {
	// Process identifies the process that reports: a restarted one holds nothing.
	Process uint64 `json:"i"`
	// Seq numbers the reports of the process.
	Seq uint64 `json:"n"`
	// Term is the term of the leader that Held and Used refer to; zero before the first answer.
	Term   uint64  `json:"t"`
	Shares []Share `json:"s"`
}

// Share is what a node holds and needs of one tenant's quota. A report lacks the tenants of which the node holds and
// needs nothing, and has told all its use.
type Share struct {
	Tenant string `json:"a"`
	// Held is what the node's calls may still use; Used is what they have used in the term so far.
	Held float64 `json:"h,omitempty"`
	Used float64 `json:"u,omitempty"`
	// Need is what the calls that wait lack, and First what the first of them lacks. Waited is how long that has waited.
	Need   float64       `json:"w,omitempty"`
	First  float64       `json:"f,omitempty"`
	Waited time.Duration `json:"o,omitempty"`
	// Patience is how long the calls that wait go on waiting at most.
	Patience time.Duration `json:"l,omitempty"`
	// Refused is what calls cost that the node has refused for want of quota since its last report.
	Refused float64 `json:"r,omitempty"`
	// Ahead is what the node wants in addition, for calls that it expects.
	Ahead float64 `json:"e,omitempty"`
	// Kept is the latest word of a leader that it keeps the quota's reserve.
	Kept KeptReserve `json:"k,omitzero"`
}

// KeptReserve is a leader's word that its part of a quota will not be less than QuotaBound.Reserve in the rest of its term,
// while the version of the configuration is in force.
type KeptReserve struct {
	Term    uint64 `json:"t"`
	Version uint64 `json:"v"`
}

// ShareAnswer answers a ShareReport.
type ShareAnswer struct {
	Term   uint64       `json:"t"`
	Seq    uint64       `json:"n"`
	Grants []ShareGrant `json:"g,omitempty"`
	// Kept lists the tenants of the report for whom the leader keeps the reserve of their quotas under Version of the
	// configuration.
	Kept    []string `json:"k,omitempty"`
	Version uint64   `json:"v,omitempty"`
}

// ShareGrant is what a node may use of one tenant's quota in addition.
type ShareGrant struct {
	Tenant string  `json:"a"`
	Amount float64 `json:"g,omitempty"`
	// In is the expected time until there is room for the first call that still waits; PerSecond is the rate at which the
	// node can expect more from then on.
	In        time.Duration `json:"w,omitempty"`
	PerSecond float64       `json:"r,omitempty"`
	// Backlog is the time until there is room for a call that is refused now, after In, if all that were refused come back.
	Backlog time.Duration `json:"k,omitempty"`
	// Later tells that the first call that waits has no room because of what other nodes hold, or because the leader is
	// new: that ends soon.
	Later bool `json:"l,omitempty"`
	// Return asks the node to give back what it holds: the quota was lowered, or calls wait elsewhere.
	Return bool `json:"b,omitempty"`
}
