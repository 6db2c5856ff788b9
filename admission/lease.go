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
	// Customers are the customers with requests now or a moment ago, sorted
	// by name.
	Customers []Usage `json:"customers"`
}

// Usage is what one node holds and needs of one contract.
type Usage struct {
	// Customer is the contract's customer.
	Customer string `json:"customer"`
	// Serial is the grant that the held lease came with in this term.
	Serial uint64 `json:"serial"`
	// Concurrency, Rate and Burst are what the node holds to from now on of
	// the lease that came with Serial.
	Concurrency int     `json:"concurrency"`
	Rate        float64 `json:"rate"`
	Burst       int     `json:"burst"`
	// Running is the number of requests that run.
	Running int `json:"running"`
	// Waiting is the number of requests that wait for a share only.
	Waiting int `json:"waiting"`
	// Backlog is the number of requests that wait for a target that is ready,
	// also where its slots are taken.
	Backlog int `json:"backlog"`
	// Queued is the number of all requests that wait.
	Queued int `json:"queued"`
	// Arrivals is the number of requests that arrive a second.
	Arrivals float64 `json:"arrivals"`
	// Slack is the time to the earliest deadline among the waiting.
	Slack time.Duration `json:"slack"`
	// Tokens is the level of the node's token bucket.
	Tokens float64 `json:"tokens"`
	// Returned counts the tokens that the node gave up, and Overflow those that
	// its full bucket gained, since it knows the customer.
	Returned float64 `json:"returned"`
	Overflow float64 `json:"overflow"`
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
	Concurrency int `json:"concurrency"`
	// Rate is how many tokens a second the node's bucket gains.
	Rate float64 `json:"rate"`
	// Burst is the size of the node's token bucket.
	Burst int `json:"burst"`
	// Queue is how many requests may wait on the node, by the reports of the
	// others. It is no share: in the time of one report, nodes together may
	// queue more than the contract's places.
	Queue int `json:"queue"`
	// Tokens are put into the node's bucket once.
	Tokens float64 `json:"tokens"`
	// MaxConcurrency and MaxRate are what the node could get if it asked for
	// more, as far as other nodes' needs are known. They serve estimates only.
	MaxConcurrency int     `json:"maxConcurrency"`
	MaxRate        float64 `json:"maxRate"`
	// Scarce says that other nodes need what this one leaves unused.
	Scarce bool `json:"scarce,omitempty"`
	// Duration is the lease's length, from when the answered report was sent.
	Duration time.Duration `json:"duration"`
}
