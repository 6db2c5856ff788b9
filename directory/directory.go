// Package directory keeps the latest state that each upstream announced: its identity,
// replicas, checkpoint copies and load. It merges announcements that arrive late, more
// than once or out of order, and marks an upstream silent if nothing has been heard from
// it in time.
// The current time is an argument; the package has no clock, goroutine or I/O.
package directory

// Kind is the kind of an upstream.
type Kind string

// Kinds of upstream.
const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// Service is a plain service.
	Service Kind = "service"
)

// Tier is the storage tier of a checkpoint copy.
type Tier string

// Tiers of a checkpoint copy, nearest to the accelerator first.
const (
	// TierMemory is the VM's main memory.
	TierMemory Tier = "memory"
	// TierDisk is the VM's disk.
	TierDisk Tier = "disk"
	// TierRemote is the weight store.
	TierRemote Tier = "remote"
)

// ReplicaState is the state of a replica as announced by its upstream.
type ReplicaState string

// Replica states.
const (
	// Loading means that the load order was accepted and the load is in progress.
	Loading ReplicaState = "loading"
	// Ready means that the replica serves requests.
	Ready ReplicaState = "ready"
	// Unloading means that the replica's memory is being freed.
	Unloading ReplicaState = "unloading"
	// Failed means that the load ended without a replica. It holds no memory.
	Failed ReplicaState = "failed"
	// Unloaded means that the replica was unloaded. It holds no memory.
	Unloaded ReplicaState = "unloaded"
)

// Replica is a replica that an upstream announces.
type Replica struct {
	// Grant is the ID of the grant in the load order.
	Grant uint64 `json:"grant"`
	// Model is the name of the loaded model.
	Model string `json:"model"`
	// State is the replica's state.
	State ReplicaState `json:"state"`
	// Memory is the peak of the memory that the replica holds in its current state, in
	// bytes.
	Memory int64 `json:"memory"`
	// Adapters are the names of the adapters loaded on the replica.
	Adapters []string `json:"adapters,omitempty"`
}

// Copy is a checkpoint copy that an upstream holds.
type Copy struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Tier is the storage tier of the copy.
	Tier Tier `json:"tier"`
}

// Load is the load that an upstream announces. It lags behind the actual load.
type Load struct {
	// Running is the number of requests in progress.
	Running int `json:"running"`
	// Queued is the number of requests in the upstream's own queue.
	Queued int `json:"queued"`
}

// Announcement is the complete state of one upstream at one sequence number.
type Announcement struct {
	// ID is the upstream's stable name.
	ID string `json:"id"`
	// Incarnation increases with each start of the upstream's process.
	Incarnation uint64 `json:"incarnation"`
	// Seq increases with each announcement of one incarnation.
	Seq uint64 `json:"seq"`
	// Addr is the IP address and port at which the upstream takes requests and orders.
	Addr string `json:"addr"`
	// Domain is the upstream's failure domain.
	Domain string `json:"domain"`
	// Kind is the kind of the upstream.
	Kind Kind `json:"kind"`
	// Service is the name of the service. It is set for plain services only.
	Service string `json:"service,omitempty"`
	// Software is the version of the upstream's software; empty if it does not say.
	Software string `json:"software,omitempty"`
	// Memory is the total accelerator memory, in bytes.
	Memory int64 `json:"memory,omitempty"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `json:"slots"`
	// ChecksFencing reports whether the upstream refuses orders with an outdated fencing
	// number.
	ChecksFencing bool `json:"checksFencing"`
	// Leaving reports whether the upstream is leaving and takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Replicas are the replicas that the upstream holds, and those that recently failed
	// or were unloaded.
	Replicas []Replica `json:"replicas,omitempty"`
	// Copies are the checkpoint copies the upstream holds.
	Copies []Copy `json:"copies,omitempty"`
	// Load is the load of the upstream.
	Load Load `json:"load"`
}
