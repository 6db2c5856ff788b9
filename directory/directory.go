// Package directory keeps what upstreams announce about themselves: who they
// are, what they hold and how loaded they are. It merges announcements that
// arrive late, twice or out of order, and expires upstreams that fell silent.
// Time is an argument; the package has no clock, goroutine or I/O.
package directory

// Kind says what an upstream serves.
type Kind string

// Kinds of upstream.
const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// Service is a plain service.
	Service Kind = "service"
)

// Tier says where a checkpoint copy is held, nearest first.
type Tier string

// Tiers of a checkpoint copy.
const (
	// TierMemory is the VM's main memory.
	TierMemory Tier = "memory"
	// TierDisk is the VM's disk.
	TierDisk Tier = "disk"
	// TierRemote is the weight store.
	TierRemote Tier = "remote"
)

// ReplicaState is the state of a replica as its upstream reports it.
type ReplicaState string

// Replica states.
const (
	// Loading means that the load order was accepted and runs.
	Loading ReplicaState = "loading"
	// Ready means that the replica serves requests.
	Ready ReplicaState = "ready"
	// Unloading means that the replica's memory is being freed.
	Unloading ReplicaState = "unloading"
	// Failed means that the load ended without a replica; it holds no memory.
	Failed ReplicaState = "failed"
	// Unloaded means that the replica is gone; it holds no memory.
	Unloaded ReplicaState = "unloaded"
)

// Replica is one replica that an upstream reports.
type Replica struct {
	// Grant is the identity of the grant that the load order carried.
	Grant uint64 `json:"grant"`
	// Model is the name of the loaded model.
	Model string `json:"model"`
	// State is where the replica is in its life.
	State ReplicaState `json:"state"`
	// Memory is what the replica holds, in bytes, at its present peak.
	Memory int64 `json:"memory"`
	// Adapters are the adapters loaded on this replica.
	Adapters []string `json:"adapters,omitempty"`
}

// Copy is one checkpoint copy that an upstream holds.
type Copy struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Tier is where the copy is held.
	Tier Tier `json:"tier"`
}

// Load is how busy an upstream says it is. It lags.
type Load struct {
	// Running is the number of requests being run.
	Running int `json:"running"`
	// Queued is the number of requests waiting inside the upstream.
	Queued int `json:"queued"`
}

// Announcement is the whole state of one upstream at one sequence number.
type Announcement struct {
	// ID is the upstream's stable name.
	ID string `json:"id"`
	// Incarnation grows each time the upstream's process starts.
	Incarnation uint64 `json:"incarnation"`
	// Seq grows with each announcement of one incarnation.
	Seq uint64 `json:"seq"`
	// Addr is the IP address and port that takes requests and orders.
	Addr string `json:"addr"`
	// Domain is the upstream's failure domain.
	Domain string `json:"domain"`
	// Kind says what the upstream serves.
	Kind Kind `json:"kind"`
	// Service is the service's name, for plain services.
	Service string `json:"service,omitempty"`
	// Memory is the accelerator memory that exists, in bytes.
	Memory int64 `json:"memory,omitempty"`
	// Slots is the number of requests the upstream runs at once.
	Slots int `json:"slots"`
	// ChecksFencing says that orders with an old fencing number are refused.
	ChecksFencing bool `json:"checksFencing"`
	// Leaving says that the upstream takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Replicas are the replicas that the upstream holds or just ended.
	Replicas []Replica `json:"replicas,omitempty"`
	// Copies are the checkpoint copies the upstream holds.
	Copies []Copy `json:"copies,omitempty"`
	// Load is how busy the upstream is.
	Load Load `json:"load"`
}
