package admission

import "time"

// Report tells the allocator what a node needs. A node sends it regularly, and
// at once when a request waits for a share.
type Report struct {
	// Node is the name of the node.
	Node string `json:"node"`
	// Term is the leader's term that the report is meant for.
	Term uint64 `json:"term"`
	// Seq grows with each report of the node.
	Seq uint64 `json:"seq"`
	// Whole says that the report covers every lease that the node holds.
	Whole bool `json:"whole,omitempty"`
	// Customers are the customers with requests now or a moment ago, sorted
	// by name.
	Customers []Usage `json:"customers"`
}

// Usage is what one node holds and needs of one contract.
type Usage struct {
	// Customer is the contract's customer.
	Customer string `json:"customer"`
	// Serial is the grant that the held lease came with in this term.
	Serial uint64 `json:"serial,omitempty"`
	// Concurrency, Rate and Burst are what the node holds to from now on of
	// the lease that came with Serial.
	Concurrency int     `json:"concurrency,omitempty"`
	Rate        float64 `json:"rate,omitempty"`
	Burst       int     `json:"burst,omitempty"`
	// Running is the number of requests that run.
	Running int `json:"running,omitempty"`
	// Waiting is the number of requests that wait for a share only.
	Waiting int `json:"waiting,omitempty"`
	// Backlog is the number of requests that wait for a target that is ready,
	// also where its slots are taken.
	Backlog int `json:"backlog,omitempty"`
	// Queued is the number of all requests that wait.
	Queued int `json:"queued,omitempty"`
	// Arrivals is the number of requests that arrive a second.
	Arrivals float64 `json:"arrivals,omitempty"`
	// Slack is the time to the earliest deadline among the waiting, if any.
	Slack time.Duration `json:"slack,omitempty"`
	// Tokens is the level of the node's token bucket.
	Tokens float64 `json:"tokens,omitempty"`
	// Returned counts the tokens that the node gave up, and Overflow those that
	// its full bucket gained, since it knows the customer.
	Returned float64 `json:"returned,omitempty"`
	Overflow float64 `json:"overflow,omitempty"`
	// Idle says that the node needs no share any more.
	Idle bool `json:"idle,omitempty"`
}

// Grant answers a report.
type Grant struct {
	// Node is the name of the node that reported.
	Node string `json:"node"`
	// Term is the term of the leader that granted.
	Term uint64 `json:"term"`
	// Serial grows with each grant of the term.
	Serial uint64 `json:"serial"`
	// Report is the Seq of the answered report.
	Report uint64 `json:"report"`
	// Leases are the shares, one for each customer of the report.
	Leases []Lease `json:"leases"`
}

// Lease is a share of one contract. It replaces the node's earlier lease.
type Lease struct {
	// Customer is the contract's customer.
	Customer string `json:"customer"`
	// Concurrency is how many requests the node may run at once.
	Concurrency int `json:"concurrency,omitempty"`
	// Rate is how many tokens a second the node's bucket gains.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the size of the node's token bucket.
	Burst int `json:"burst,omitempty"`
	// Queue is how many requests may wait on the node, by the reports of the
	// others. It is no share: in the time of one report, nodes together may
	// queue more than the contract's places.
	Queue int `json:"queue,omitempty"`
	// Tokens are put into the node's bucket once.
	Tokens float64 `json:"tokens,omitempty"`
	// OthersRunning and OthersBacklog are the requests that run and wait on the
	// other nodes, and PoolTokens the tokens on no node. They serve estimates.
	OthersRunning int     `json:"othersRunning,omitempty"`
	OthersBacklog int     `json:"othersBacklog,omitempty"`
	PoolTokens    float64 `json:"poolTokens,omitempty"`
	// Scarce says that other nodes need what this one leaves unused.
	Scarce bool `json:"scarce,omitempty"`
	// Duration is the lease's length, from when the answered report was sent.
	Duration time.Duration `json:"duration"`
}
