package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/pause"
)

// HTTP paths of the weight store.
const (
	// PathFetch takes a FetchRequest by POST and answers once the checkpoint is fetched.
	PathFetch = "/v1/fetch"
	// PathFetchAdapter is PathFetch for an adapter.
	PathFetchAdapter = "/v1/fetch-adapter"
)

// FetchRequest is the body of a request for a checkpoint or adapter.
type FetchRequest struct {
	// Name is the name of the model or adapter.
	Name string `json:"name"`
}

// StoreConfig configures a Store.
type StoreConfig struct {
	// Listen is the address to listen on; empty selects a free loopback port.
	Listen string
	// Fetch is the duration of a checkpoint fetch at full speed, before scaling.
	Fetch time.Duration
	// Width is the number of concurrent checkpoint fetches that run at full speed.
	Width int
	// Rate is the number of checkpoint fetches started per second, before scaling.
	Rate float64
	// AdapterMin and AdapterMax bound the duration of an adapter fetch at full speed,
	// before scaling.
	AdapterMin, AdapterMax time.Duration
	// AdapterWidth is the number of concurrent adapter fetches that run at full speed.
	AdapterWidth int
	// Scale converts the simulated durations to real ones.
	Scale Scale
}

// defaults replaces unset fields by the values of a small deployment.
func (c *StoreConfig) defaults() {
	if c.Fetch == 0 {
		c.Fetch = 10 * time.Second
	}
	if c.Width == 0 {
		c.Width = 4
	}
	if c.Rate == 0 {
		c.Rate = 4.5
	}
	if c.AdapterMin == 0 {
		c.AdapterMin = 5 * time.Millisecond
	}
	if c.AdapterMax == 0 {
		c.AdapterMax = 15 * time.Millisecond
	}
	if c.AdapterWidth == 0 {
		c.AdapterWidth = 30
	}
}

// StoreStats counts the fetches of a store.
type StoreStats struct {
	// Fetches and Adapters count the checkpoint and adapter fetches started.
	Fetches  int `json:"fetches"`
	Adapters int `json:"adapters"`
	// PeakFetches and PeakAdapters are the maximum numbers in flight.
	PeakFetches  int `json:"peakFetches"`
	PeakAdapters int `json:"peakAdapters"`
}

// Store simulates the weight store. If more fetches run than its width allows at full
// speed, they share the throughput equally.
type Store struct {
	server
	config  StoreConfig
	limiter *rate.Limiter

	mu    sync.Mutex
	stats StoreStats
	// activeFetches and activeAdapters count the fetches in flight.
	activeFetches  int
	activeAdapters int
	random         *rand.Rand
}

// NewStore returns a store with defaults applied. Start starts it. The rate is divided by
// the scale because the scale multiplies durations.
func NewStore(config StoreConfig) *Store {
	config.defaults()
	scaledRate := config.Rate
	if config.Scale > 0 {
		scaledRate /= float64(config.Scale)
	}
	return &Store{
		config:  config,
		limiter: rate.NewLimiter(rate.Limit(scaledRate), config.Width),
		random:  rand.New(rand.NewPCG(1, 2)),
	}
}

// Start opens the listener and serves fetches.
func (s *Store) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathFetch, s.handleFetch(s.fetch))
	mux.HandleFunc("POST "+PathFetchAdapter, s.handleFetch(s.fetchAdapter))
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	})
	return s.listen(ctx, s.config.Listen, mux)
}

// Stop shuts down after the fetches in progress have finished.
func (s *Store) Stop(ctx context.Context) error {
	return s.shutdown(ctx)
}

// Kill stops the store immediately and resets its connections.
func (s *Store) Kill() {
	s.kill()
}

// Stats returns a copy of the counters.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// handleFetch returns a handler that decodes a FetchRequest and responds once fetch
// returns.
func (s *Store) handleFetch(fetch func(context.Context) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request FetchRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if s.faults.get().NoAnswer {
			<-r.Context().Done()
			return
		}
		if err := fetch(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// fetch simulates one checkpoint fetch, subject to the rate limit.
func (s *Store) fetch(ctx context.Context) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "wait for the rate limit")
	}
	s.mu.Lock()
	s.activeFetches++
	s.stats.Fetches++
	s.stats.PeakFetches = max(s.stats.PeakFetches, s.activeFetches)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeFetches--
	}()
	return s.transfer(ctx, s.config.Scale.apply(s.config.Fetch), s.config.Width, &s.activeFetches)
}

// fetchAdapter simulates one adapter fetch, whose duration is random.
func (s *Store) fetchAdapter(ctx context.Context) error {
	s.mu.Lock()
	s.activeAdapters++
	s.stats.Adapters++
	s.stats.PeakAdapters = max(s.stats.PeakAdapters, s.activeAdapters)
	spread := float64(s.config.AdapterMax-s.config.AdapterMin) * s.random.Float64()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeAdapters--
	}()
	total := s.config.Scale.apply(s.config.AdapterMin + time.Duration(spread))
	return s.transfer(ctx, total, s.config.AdapterWidth, &s.activeAdapters)
}

// transfer waits for total at full speed, and proportionally longer while more than width
// transfers are in flight or the Slow fault is active. Both are read again at each step.
func (s *Store) transfer(ctx context.Context, total time.Duration, width int, inFlight *int) error {
	const steps = 20
	step := max(total/steps, time.Millisecond)
	for remaining := total; remaining > 0; remaining -= step {
		s.mu.Lock()
		contention := max(1, float64(*inFlight)/float64(width))
		s.mu.Unlock()
		slowdown := max(1, s.faults.get().Slow)
		stepTime := min(step, remaining)
		if err := sleep(ctx, time.Duration(float64(stepTime)*contention*slowdown)); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if !pause.For(ctx, d) {
		return errors.Wrap(ctx.Err(), "wait")
	}
	return nil
}
