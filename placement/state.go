package placement

import (
	"time"

	"github.com/agateslip/agateslip/directory"
)

// model is the planner's state of one model under contract.
type model struct {
	Key
	// memory is the accelerator memory of one replica in bytes. replicaLimit and
	// reservedReplicas are numbers of replicas, slots is the number of concurrent requests
	// per replica, and maxWait the longest time that a request may wait.
	memory           int64
	replicaLimit     int
	reservedReplicas int
	slots            int
	maxWait          time.Duration
	customer         *customer

	arrivals    arrivals
	serviceTime serviceTime
	// excessSince is the last instant at which no replica was in excess or one was
	// withdrawn. The hold time counts from it.
	excessSince Instant
	avoidances  []avoidance
	// burst is the mean number of requests that wait when a load ends.
	burst float64

	// The fields below are rebuilt in each round.
	//
	// waiting, running and arrived count requests; remaining is the time to the earliest
	// deadline of the waiting ones.
	waiting   int
	running   int
	remaining time.Duration
	arrived   int
	// live are the granted replicas. withdrawnReplicas counts those being unloaded on
	// reachable upstreams. usableReplicas counts the live replicas on reachable upstreams
	// that are not leaving, and readyReplicas those of them that serve requests.
	live              []*replica
	withdrawnReplicas int
	readyReplicas     int
	usableReplicas    int
	// chargedReplicas counts the replicas charged against the limits, live and withdrawn.
	chargedReplicas int
	// tier is the nearest tier that holds a checkpoint copy. coldTail is the tail of the time
	// for a cold start from there while the store is idle.
	tier directory.Tier
	// tierRevision is the copiesRevision for which tier was determined.
	tierRevision uint64
	coldTail     time.Duration
	// keepWarm reports whether a replica is required before a request arrives.
	keepWarm bool
	// want is the number of replicas required now.
	want int
	// simulatedReadyIn is the time until the model's first simulated load ends; zero if it
	// has none.
	simulatedReadyIn time.Duration
}

// idle reports whether no request waits or runs.
func (m *model) idle() bool { return m.waiting == 0 && m.running == 0 }

// customer holds a customer's replica limit and its number of charged replicas.
type customer struct {
	replicaLimit    int
	chargedReplicas int
}

// avoidance keeps a model off an upstream on which its load failed.
type avoidance struct {
	upstream string
	failures int
	until    Instant
}

// upstream is the planner's state of one announced upstream.
type upstream struct {
	id           string
	announcement *directory.Announcement
	silent       bool
	gone         bool

	// The fields below are rebuilt in each round, except domain, busy and cachedMemory, which
	// follow the announcement.
	//
	// freeMemory is the memory in bytes that is neither charged nor claimed.
	freeMemory int64
	// freeingMemory is the memory in bytes that replicas being unloaded will free.
	freeingMemory int64
	// evictableMemory is the memory in bytes of the replicas for which isEvictable holds.
	evictableMemory int64
	replicas        []*replica
	domain          string
	// busy is the number of running and queued requests, in units of 1/busyScale of the
	// slots, rounded down.
	busy int
	// cachedMemory is the memory in bytes of the models whose checkpoints are held in main
	// memory.
	cachedMemory int64
	// lastRound is the last round in which the upstream was announced.
	lastRound uint64
}

// usable reports whether the upstream takes new replicas.
func (u *upstream) usable() bool {
	return u != nil && !u.silent && !u.gone && !u.announcement.Leaving
}

// replicaStatus is the status of a grant by its upstream's last announcement.
type replicaStatus uint8

const (
	// statusProposed means that the grant is not committed yet.
	statusProposed replicaStatus = iota
	// statusUnreported means that the upstream does not report the replica.
	statusUnreported
	statusLoading
	statusReady
	statusUnloading
)

// replica is one grant in one round.
type replica struct {
	Grant
	model    *model
	upstream *upstream
	status   replicaStatus
	progress *progress
	// committed is the state in the ledger, without pending changes.
	committed GrantState
	// chargedMemory is the larger of the granted and the reported memory in bytes.
	chargedMemory int64
	// evictable reports whether the replica counts in upstream.evictableMemory.
	evictable bool
	// hasLocalCopy reports whether the upstream holds a local copy of the checkpoint, so that
	// the load no longer uses the store.
	hasLocalCopy bool
}

// live reports whether the replica is granted and not being unloaded.
func (rep *replica) live() bool {
	return rep.State == Granted && rep.status != statusUnloading
}

// lost reports whether the replica's incarnation is unreachable or gone.
func (rep *replica) lost() bool {
	return rep.upstream == nil || rep.upstream.silent || rep.upstream.gone || rep.upstream.id != rep.Upstream ||
		rep.upstream.announcement.Incarnation != rep.Incarnation
}

// progress is the soft state of one grant: the orders sent for it under this leadership.
type progress struct {
	// addedByThisLeader reports whether the grant was added under this leadership.
	addedByThisLeader bool
	// loadOrders counts the load orders sent.
	loadOrders int
	// firstLoadSentAt and lastLoadSentAt are when the first and the last load order were
	// sent, and lastUnloadSentAt when the last unload order was.
	firstLoadSentAt  Instant
	lastLoadSentAt   Instant
	lastUnloadSentAt Instant
	// loadObserved reports whether the load time was recorded.
	loadObserved bool
	// unloadOrders counts the unload orders sent.
	unloadOrders int
	// unloadObserved reports whether the end of the unload was recorded.
	unloadObserved bool
	// lastRound is the last round in which the grant was in the ledger.
	lastRound uint64
}

// copyHolder is an upstream that holds a checkpoint copy, and the tier of the copy.
type copyHolder struct {
	upstream *upstream
	tier     directory.Tier
}
