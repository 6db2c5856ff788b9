package admission

import "time"

// Report tells the allocator what a node holds and needs. A node sends reports
// regularly, and an additional one soon after a request has to wait for a share.
type Report struct {
	// Node is the name of the node.
	Node string `json:"node"`
	// Term is the term of the leader to which the report is addressed.
	Term uint64 `json:"term"`
	// Seq increases with each report of the node.
	Seq uint64 `json:"seq"`
	// Complete is true if the report covers every lease that the node holds.
	Complete bool `json:"whole,omitempty"`
	// Customers holds the usage of the covered contracts, sorted by customer. A
	// complete report covers all customers with a lease or recent requests.
	Customers []Usage `json:"customers"`
}

// Usage is what one node holds and needs of one contract.
type Usage struct {
	// Customer is the contract's customer.
	Customer string `json:"customer"`
	// Serial identifies the grant of this term that brought the held lease; the node
	// ignores leases in grants up to it. It is 0 if the lease is of an earlier term.
	Serial uint64 `json:"serial,omitempty"`
	// Concurrency, Rate (tokens per second) and Burst are the part of the held lease
	// that the node keeps from now on. They are zero if the lease has ended.
	Concurrency int     `json:"concurrency,omitempty"`
	Rate        float64 `json:"rate,omitempty"`
	Burst       int     `json:"burst,omitempty"`
	// Running is the number of requests that run.
	Running int `json:"running,omitempty"`
	// Waiting is the number of requests that wait only for a share, because their
	// target has free slots.
	Waiting int `json:"waiting,omitempty"`
	// Backlog is the number of requests that wait and whose target is ready, whether or
	// not it has free slots.
	Backlog int `json:"backlog,omitempty"`
	// Queued is the number of all waiting requests.
	Queued int `json:"queued,omitempty"`
	// Arrivals is the average number of requests that arrive per second.
	Arrivals float64 `json:"arrivals,omitempty"`
	// Slack is the time to the earliest deadline in the queues whose target has free
	// slots, or 0 if no request waits there.
	Slack time.Duration `json:"slack,omitempty"`
	// Tokens is the level of the node's token bucket.
	Tokens float64 `json:"tokens,omitempty"`
	// Returned counts the tokens that the node gave up, and Overflow the tokens that
	// its full bucket could not take. Both only increase while the node knows the
	// customer.
	Returned float64 `json:"returned,omitempty"`
	Overflow float64 `json:"overflow,omitempty"`
	// Idle is true if the node needs no share any more.
	Idle bool `json:"idle,omitempty"`
}

// Grant carries the leases that answer a report, or that the allocator pushes after a
// later report of another node.
type Grant struct {
	// Node is the name of the node that reported.
	Node string `json:"node"`
	// Term is the term of the leader that made the grant.
	Term uint64 `json:"term"`
	// Serial increases with each grant of the term.
	Serial uint64 `json:"serial"`
	// Report is the Seq of the answered report. In a pushed grant it is the Seq of the
	// latest report that the node made on the customer.
	Report uint64 `json:"report"`
	// Leases holds at most one lease for each customer of the report.
	Leases []Lease `json:"leases"`
}

// Lease is a share of one contract's capacity. It replaces the node's earlier lease.
type Lease struct {
	// Customer is the contract's customer.
	Customer string `json:"customer"`
	// Concurrency is how many requests the node may run at once.
	Concurrency int `json:"concurrency,omitempty"`
	// Rate is how many tokens per second the node's bucket gains.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the size of the node's token bucket.
	Burst int `json:"burst,omitempty"`
	// Queue is how many requests may wait on the node, given what the other nodes
	// reported. Unlike the other limits it is not divided exactly: until the next
	// reports, the nodes together may queue more than the contract allows.
	Queue int `json:"queue,omitempty"`
	// Tokens are added to the node's bucket once, when it accepts the lease.
	Tokens float64 `json:"tokens,omitempty"`
	// OthersRunning is the number of requests that run on the other nodes,
	// OthersBacklog the sum of their backlogs, and PoolTokens the number of tokens in
	// no node's bucket. They serve only to estimate waits.
	OthersRunning int     `json:"othersRunning,omitempty"`
	OthersBacklog int     `json:"othersBacklog,omitempty"`
	PoolTokens    float64 `json:"poolTokens,omitempty"`
	// Scarce is true if no spare concurrency could be added to the node's need. The
	// holder then gives up what it does not use, so that other nodes can get it.
	Scarce bool `json:"scarce,omitempty"`
	// Duration is the length of the lease, counted from when the answered report was
	// sent.
	Duration time.Duration `json:"duration"`
}
