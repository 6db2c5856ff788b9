package placement

import (
	"time"

	"github.com/agateslip/agateslip/directory"
)

// model is the planner's state of one model under contract. The fields below
// the marker are rebuilt in each round.
type model struct {
	Key
	memory   int64
	limit    int
	reserved int
	slots    int
	wait     time.Duration
	customer *customer

	arrivals arrivals
	service  service
	// enoughAt is the last instant at which no replica was in excess.
	enoughAt Instant
	avoid    []avoidance
	// burst is the mean number of requests that wait when a load ends.
	burst float64

	// Rebuilt in each round.
	waiting   int
	running   int
	remaining time.Duration
	arrived   int
	// live are the granted replicas, withdrawn counts those being unloaded on
	// upstreams that are heard.
	live      []*replica
	withdrawn int
	ready     int
	usable    int
	// charged counts live and withdrawn replicas.
	charged int
	// tier is the nearest tier of a checkpoint copy, and cold the tail of the
	// time for a cold start from there that finds the store idle.
	tier directory.Tier
	// tierOf is the revision of the index of copies that tier was read from.
	tierOf   uint64
	cold     time.Duration
	required bool
	want     int
	// readyIn is the simulated end of the model's queued load; zero if none.
	readyIn time.Duration
}

func (m *model) idle() bool { return m.waiting == 0 && m.running == 0 }

// customer is what a customer may hold and holds.
type customer struct {
	limit   int
	charged int
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

	// Rebuilt in each round.
	free int64
	// coming is memory that withdrawn replicas will free.
	coming int64
	// evictable is memory of idle replicas that no contract requires.
	evictable int64
	replicas  []*replica
	domain    string
	// busy is the load in quarters of the slots.
	busy int
	// cached is the memory in bytes of the models whose checkpoints are held
	// in main memory.
	cached int64
	round  uint64
}

func (u *upstream) usable() bool {
	return u != nil && !u.silent && !u.gone && !u.announcement.Leaving
}

// replicaStatus is where a grant stands by its upstream's last report.
type replicaStatus uint8

const (
	statusProposed replicaStatus = iota
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
	// charged is the larger of the granted and the reported memory in bytes.
	charged int64
	// evictable says that the replica counts in its upstream's evictable.
	evictable bool
	// fetched says that the upstream holds a local copy, so that the load no
	// longer uses the store.
	fetched bool
}

func (r *replica) live() bool {
	return r.State == Granted && r.status != statusUnloading
}

// lost reports whether nothing can be expected of the replica for now.
func (r *replica) lost() bool {
	return r.upstream == nil || r.upstream.silent || r.upstream.gone || r.upstream.id != r.Upstream ||
		r.upstream.announcement.Incarnation != r.Incarnation
}

// progress is the soft state of one grant: the orders sent for it.
type progress struct {
	// own says that the grant was added under this leadership.
	own bool
	// sends counts the load orders sent under this leadership.
	sends int
	// firstAt and loadSentAt are when the first and the last load order were
	// sent, unloadSentAt when the last unload order was.
	firstAt      Instant
	loadSentAt   Instant
	unloadSentAt Instant
	// timed says that the load's time was observed.
	timed bool
	// unloads counts the unload orders sent.
	unloads int
	// unloaded says that the end of the unload was observed.
	unloaded bool
	round    uint64
}

// holder is an upstream that holds a checkpoint copy.
type holder struct {
	upstream *upstream
	tier     directory.Tier
}
