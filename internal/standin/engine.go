package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/engine"
)

// LoadTimes holds the durations of loads and unloads, before scaling.
type LoadTimes struct {
	// Memory and Disk are the load times from these tiers. A remote load takes the
	// time of the fetch and then that of a load from disk.
	Memory, Disk time.Duration
	// Unload is the time to free the memory of a replica.
	Unload time.Duration
}

// EngineConfig configures an Engine.
type EngineConfig struct {
	// ID and Domain identify the engine and its failure domain. Entries are the
	// addresses of the entry nodes to announce to.
	ID, Domain string
	Entries    []string
	// Listen is the address to listen on; empty selects a free loopback port.
	Listen string
	// Advertise is the address to announce; empty announces the listener's address.
	Advertise string
	// Incarnation identifies one start of the engine; zero selects the current time
	// in nanoseconds.
	Incarnation uint64
	// AnnounceEvery is the interval between announcements; zero selects 500 ms.
	AnnounceEvery time.Duration
	// Software is the version of the engine's software.
	Software string
	// Memory is the accelerator memory in bytes.
	Memory int64
	// Slots is the number of requests that run concurrently, Queue the number of
	// further requests that may wait.
	Slots, Queue int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Copies are the checkpoint copies present at the start.
	Copies []directory.Copy
	// Store is the address of the weight store; empty means that there is none.
	Store string
	// LoadTimes are the durations of loads and unloads.
	LoadTimes LoadTimes
	// Prefill is the time before the first token of an uncached prompt, Token the
	// time after each token. Both are before scaling.
	Prefill, Token time.Duration
	// LoadLag is the minimum age of the reported load.
	LoadLag time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks. Its events are sent
	// after CacheLag, and every CacheDropEvery-th batch is dropped; zero drops none.
	CacheBlocks    int
	CacheLag       time.Duration
	CacheDropEvery int
	// HeartbeatEvery is the interval between heartbeats while an answer is pending.
	HeartbeatEvery time.Duration
	// LeaveGrace is how long Stop still accepts new requests after Leave.
	LeaveGrace time.Duration
	// Scale converts the simulated durations to real ones.
	Scale Scale
	// OnDeath is called when the DieInLoad fault kills the engine; nil selects Kill.
	OnDeath func()
}

// defaults replaces unset fields by their defaults.
func (c *EngineConfig) defaults() {
	setDefault(&c.Incarnation, uint64(time.Now().UnixNano()))
	setDefault(&c.Memory, 24<<30)
	setDefault(&c.Slots, 8)
	setDefault(&c.Queue, 64)
	setDefault(&c.LoadTimes.Memory, 2*time.Second)
	setDefault(&c.LoadTimes.Disk, 6*time.Second)
	setDefault(&c.LoadTimes.Unload, 300*time.Millisecond)
	setDefault(&c.Prefill, 200*time.Millisecond)
	setDefault(&c.Token, 20*time.Millisecond)
	setDefault(&c.CacheBlocks, 1024)
	setDefault(&c.HeartbeatEvery, time.Second)
	setDefault(&c.LeaveGrace, 2*time.Second)
}

// setDefault sets value to fallback if it is zero.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// EngineStats counts loads and the orders that a correct controller rarely or never sends.
type EngineStats struct {
	// OverCommits counts load orders refused because the memory did not suffice.
	OverCommits int `json:"overCommits"`
	// DoubleLoads counts the replicas under other grants that already held memory
	// for the model of a load order, also if that order is then refused for lack of
	// memory.
	DoubleLoads int `json:"doubleLoads"`
	// StaleOrders counts orders with an old fencing number, executed or refused.
	StaleOrders int `json:"staleOrders"`
	// Loads counts the loads started.
	Loads int `json:"loads"`
}

// Engine simulates a model engine.
type Engine struct {
	server
	config      EngineConfig
	announcer   *announcer
	prefixCache *prefixCache
	slots       *slots
	storeClient *http.Client

	mu      sync.Mutex
	leaving bool
	// highestFencing is the highest fencing number of an order so far.
	highestFencing uint64
	// acceptedOrders holds the IDs of the accepted orders.
	acceptedOrders map[string]bool
	replicas       []*replica
	// copies maps a model to the tier of its checkpoint copy.
	copies map[string]directory.Tier
	stats  EngineStats
	// loadSamples are ordered by time. laggedLoad discards those that are no longer
	// needed.
	loadSamples []loadSample
}

// loadSample is the number of running and queued requests at one instant.
type loadSample struct {
	at   time.Time
	load directory.Load
}

// NewEngine returns an engine with defaults applied. Start starts it.
func NewEngine(config EngineConfig) *Engine {
	config.defaults()
	e := &Engine{
		config:         config,
		prefixCache:    newPrefixCache(config.CacheBlocks, config.CacheLag, config.CacheDropEvery),
		slots:          newSlots(config.Slots, config.Queue),
		storeClient:    &http.Client{Transport: &http.Transport{}},
		acceptedOrders: make(map[string]bool),
		copies:         make(map[string]directory.Tier),
	}
	for _, checkpoint := range config.Copies {
		e.copies[checkpoint.Model] = checkpoint.Tier
	}
	e.announcer = newAnnouncer(config.Entries, config.AnnounceEvery, e.announcement, e.prefixCache)
	return e
}

// Start opens the listener, serves requests and announces the engine to its entry nodes.
func (e *Engine) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(engine.PathOrders, engine.OrdersHandler(e.executeOrder))
	mux.HandleFunc("POST "+engine.PathChatCompletions, e.chat)
	mux.HandleFunc("POST "+engine.PathCompletions, e.complete)
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	if err := e.listen(ctx, e.config.Listen, mux); err != nil {
		return err
	}
	e.spawn(func() { e.announcer.run(e.ctx) })
	return nil
}

// Leave announces that the engine is leaving. Loads are refused from now on.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.journal.markLeaving()
	e.announcer.announceNow()
}

// Stop calls Leave, accepts requests for LeaveGrace and then shuts down after the
// requests in progress have finished.
func (e *Engine) Stop(ctx context.Context) error {
	e.Leave()
	if err := sleep(ctx, e.config.LeaveGrace); err != nil {
		return err
	}
	defer e.storeClient.CloseIdleConnections()
	return e.shutdown(ctx)
}

// Kill stops the engine immediately and resets its connections.
func (e *Engine) Kill() {
	e.kill()
	e.storeClient.CloseIdleConnections()
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Replicas returns the replicas as the engine announces them.
func (e *Engine) Replicas() []directory.Replica {
	return e.announcement().Replicas
}

// announcement returns the current state for the announcer, which sets Seq.
func (e *Engine) announcement() directory.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := directory.Announcement{
		ID:            e.config.ID,
		Incarnation:   e.config.Incarnation,
		Addr:          e.advertisedAddr(e.config.Advertise),
		Domain:        e.config.Domain,
		Kind:          directory.Engine,
		Software:      e.config.Software,
		Memory:        e.config.Memory,
		Slots:         e.config.Slots,
		ChecksFencing: e.config.ChecksFencing,
		Leaving:       e.leaving,
		Load:          e.laggedLoad(),
	}
	for _, r := range e.replicas {
		state := r.Replica
		state.Adapters = slices.Clone(r.Adapters)
		a.Replicas = append(a.Replicas, state)
	}
	for model, tier := range e.copies {
		a.Copies = append(a.Copies, directory.Copy{Model: model, Tier: tier})
	}
	slices.SortFunc(a.Copies, func(x, y directory.Copy) int {
		if x.Model < y.Model {
			return -1
		}
		return 1
	})
	return a
}

// laggedLoad samples the load and returns the newest sample that is at least LoadLag old,
// or a zero load if there is none. The caller holds e.mu.
func (e *Engine) laggedLoad() directory.Load {
	now := time.Now()
	running, queued := e.slots.counts()
	sample := loadSample{at: now, load: directory.Load{Running: running, Queued: queued}}
	e.loadSamples = append(e.loadSamples, sample)
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) >= e.config.LoadLag {
		e.loadSamples = e.loadSamples[1:]
	}
	if now.Sub(e.loadSamples[0].at) < e.config.LoadLag {
		return directory.Load{}
	}
	return e.loadSamples[0].load
}
