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

// LoadTimes is how long a load takes by where the checkpoint is, before scaling.
type LoadTimes struct {
	// Memory and Disk are the times of loads from these tiers. The part of a
	// remote load after the fetch takes as long as one from disk.
	Memory, Disk time.Duration
	// Unload is the time to free a replica.
	Unload time.Duration
}

// EngineConfig sets up a model engine.
type EngineConfig struct {
	// ID, Domain and Entries are the engine's name, its failure domain and the
	// addresses of the entry nodes.
	ID, Domain string
	Entries    []string
	// Listen is the address to listen on; a free loopback port if empty.
	Listen string
	// Advertise is the address to announce; the one listened on if empty.
	Advertise string
	// Incarnation is unique for each start; the time of day if zero.
	Incarnation uint64
	// AnnounceEvery is the interval of announcements.
	AnnounceEvery time.Duration
	// Memory is the accelerator memory in bytes.
	Memory int64
	// Slots is the number of requests run at once; Queue is how many more wait.
	Slots, Queue int
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// Copies are the checkpoint copies held at the start.
	Copies []directory.Copy
	// Store is the address of the weight store.
	Store string
	// LoadTimes are the times of loads.
	LoadTimes LoadTimes
	// Prefill is the time to the first token, and Token the time of each
	// further one, before scaling.
	Prefill, Token time.Duration
	// LoadLag is how old the reported load is.
	LoadLag time.Duration
	// CacheBlocks is the size of the prefix cache. Its events are told after
	// CacheLag, and each CacheDropEvery-th batch is lost; zero loses none.
	CacheBlocks    int
	CacheLag       time.Duration
	CacheDropEvery int
	// HeartbeatEvery is the interval of heartbeats in answers.
	HeartbeatEvery time.Duration
	// LeaveGrace is how long a leaving engine still takes new requests.
	LeaveGrace time.Duration
	// Scale shortens the simulated times.
	Scale Scale
	// OnDeath runs when a fault kills the engine; it is killed in process if
	// nil.
	OnDeath func()
}

// defaults fills what is unset.
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

// setDefault replaces a zero value.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// EngineStats counts what must never or seldom happen.
type EngineStats struct {
	// OverCommits counts loads that were refused because they did not fit.
	OverCommits int `json:"overCommits"`
	// DoubleLoads counts loads of a model that already had a replica here
	// under another grant.
	DoubleLoads int `json:"doubleLoads"`
	// StaleOrders counts orders with an old fencing number, carried out or not.
	StaleOrders int `json:"staleOrders"`
	// Loads counts the loads begun.
	Loads int `json:"loads"`
}

// Engine is a stand-in for a model engine.
type Engine struct {
	server
	config    EngineConfig
	announcer *announcer
	cache     *prefixCache
	slots     *slots
	fetcher   *http.Client

	mu       sync.Mutex
	leaving  bool
	fence    uint64
	accepted map[string]bool
	replicas []*replica
	copies   map[string]directory.Tier
	stats    EngineStats
	samples  []loadSample
}

// loadSample is the load at one time.
type loadSample struct {
	at   time.Time
	load directory.Load
}

// NewEngine makes an engine that is not started.
func NewEngine(config EngineConfig) *Engine {
	config.defaults()
	e := &Engine{
		config:   config,
		cache:    newPrefixCache(config.CacheBlocks, config.CacheLag, config.CacheDropEvery),
		slots:    newSlots(config.Slots, config.Queue),
		fetcher:  &http.Client{Transport: &http.Transport{}},
		accepted: make(map[string]bool),
		copies:   make(map[string]directory.Tier),
	}
	for _, held := range config.Copies {
		e.copies[held.Model] = held.Tier
	}
	e.announcer = newAnnouncer(config.Entries, config.AnnounceEvery, e.announcement, e.cache)
	return e
}

// Start listens, serves and announces.
func (e *Engine) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(engine.PathOrders, engine.OrdersHandler(e.execute))
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

// Leave announces that the engine takes no new work.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.journal.leave()
	e.announcer.change()
}

// Stop leaves, serves what still comes for the grace, and finishes the requests
// in progress.
func (e *Engine) Stop(ctx context.Context) error {
	e.Leave()
	if err := sleep(ctx, e.config.LeaveGrace); err != nil {
		return err
	}
	defer e.fetcher.CloseIdleConnections()
	return e.shutdown(ctx)
}

// Kill ends the engine at once and resets its connections.
func (e *Engine) Kill() {
	e.kill()
	e.fetcher.CloseIdleConnections()
}

// Stats is a copy of the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Replicas is what the engine announces about its replicas.
func (e *Engine) Replicas() []directory.Replica {
	return e.announcement().Replicas
}

// announcement is the state to announce, without a sequence number.
func (e *Engine) announcement() directory.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := directory.Announcement{
		ID:            e.config.ID,
		Incarnation:   e.config.Incarnation,
		Addr:          e.advertised(e.config.Advertise),
		Domain:        e.config.Domain,
		Kind:          directory.Engine,
		Memory:        e.config.Memory,
		Slots:         e.config.Slots,
		ChecksFencing: e.config.ChecksFencing,
		Leaving:       e.leaving,
		Load:          e.laggingLoad(),
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

// laggingLoad samples the load and returns the newest sample that is old
// enough to be reported.
func (e *Engine) laggingLoad() directory.Load {
	now := time.Now()
	running, queued := e.slots.count()
	sample := loadSample{at: now, load: directory.Load{Running: running, Queued: queued}}
	e.samples = append(e.samples, sample)
	for len(e.samples) > 1 && now.Sub(e.samples[1].at) >= e.config.LoadLag {
		e.samples = e.samples[1:]
	}
	if now.Sub(e.samples[0].at) < e.config.LoadLag {
		return directory.Load{}
	}
	return e.samples[0].load
}
