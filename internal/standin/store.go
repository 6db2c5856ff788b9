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

// Paths of the weight store.
const (
	// PathFetch takes a FetchRequest and answers when the checkpoint is there.
	PathFetch = "/v1/fetch"
	// PathFetchAdapter takes a FetchRequest for an adapter.
	PathFetchAdapter = "/v1/fetch-adapter"
)

// FetchRequest asks the weight store for a checkpoint or an adapter.
type FetchRequest struct {
	// Name is the model or adapter.
	Name string `json:"name"`
}

// StoreConfig sets up a weight store.
type StoreConfig struct {
	// Listen is the address to listen on; a free loopback port if empty.
	Listen string
	// Fetch is the time of a fetch at full speed, before scaling.
	Fetch time.Duration
	// Width is the number of fetches that run at full speed at once.
	Width int
	// Rate is the number of fetches started a second, before scaling.
	Rate float64
	// AdapterMin and AdapterMax bound the time of an adapter fetch.
	AdapterMin, AdapterMax time.Duration
	// AdapterWidth is the number of adapter fetches at full speed at once.
	AdapterWidth int
	// Scale shortens the simulated times.
	Scale Scale
}

// defaults fills what is unset with the sizes of a small deployment.
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

// StoreStats counts what a store has done.
type StoreStats struct {
	// Fetches and Adapters are the fetches begun.
	Fetches  int `json:"fetches"`
	Adapters int `json:"adapters"`
	// PeakFetches and PeakAdapters are the most in flight at once.
	PeakFetches  int `json:"peakFetches"`
	PeakAdapters int `json:"peakAdapters"`
}

// Store is a stand-in for the weight store. Fetches beyond its width share the
// full speed of the width.
type Store struct {
	server
	config  StoreConfig
	limiter *rate.Limiter

	mu       sync.Mutex
	stats    StoreStats
	fetches  int
	adapters int
	random   *rand.Rand
}

// NewStore makes a store that is not started.
func NewStore(config StoreConfig) *Store {
	config.defaults()
	scaled := config.Rate
	if config.Scale > 0 {
		scaled /= float64(config.Scale)
	}
	return &Store{
		config:  config,
		limiter: rate.NewLimiter(rate.Limit(scaled), config.Width),
		random:  rand.New(rand.NewPCG(1, 2)),
	}
}

// Start listens and serves.
func (s *Store) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathFetch, s.handle(s.fetch))
	mux.HandleFunc("POST "+PathFetchAdapter, s.handle(s.fetchAdapter))
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	})
	return s.listen(ctx, s.config.Listen, mux)
}

// Stop finishes the fetches in progress and closes.
func (s *Store) Stop(ctx context.Context) error {
	return s.shutdown(ctx)
}

// Kill closes at once.
func (s *Store) Kill() {
	s.kill()
}

// Stats is a copy of the counters.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// handle decodes a fetch and answers when it is done.
func (s *Store) handle(fetch func(context.Context) error) http.HandlerFunc {
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

// fetch takes the time of one checkpoint fetch.
func (s *Store) fetch(ctx context.Context) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "wait for the rate limit")
	}
	s.mu.Lock()
	s.fetches++
	s.stats.Fetches++
	s.stats.PeakFetches = max(s.stats.PeakFetches, s.fetches)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fetches--
	}()
	return s.work(ctx, s.config.Scale.of(s.config.Fetch), s.config.Width, &s.fetches)
}

// fetchAdapter takes the time of one adapter fetch.
func (s *Store) fetchAdapter(ctx context.Context) error {
	s.mu.Lock()
	s.adapters++
	s.stats.Adapters++
	s.stats.PeakAdapters = max(s.stats.PeakAdapters, s.adapters)
	spread := float64(s.config.AdapterMax-s.config.AdapterMin) * s.random.Float64()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.adapters--
	}()
	total := s.config.Scale.of(s.config.AdapterMin + time.Duration(spread))
	return s.work(ctx, total, s.config.AdapterWidth, &s.adapters)
}

// work passes total at full speed, slower while more than width are in flight.
func (s *Store) work(ctx context.Context, total time.Duration, width int, inFlight *int) error {
	const steps = 20
	step := max(total/steps, time.Millisecond)
	for remaining := total; remaining > 0; remaining -= step {
		s.mu.Lock()
		crowding := max(1, float64(*inFlight)/float64(width))
		s.mu.Unlock()
		slow := max(1, s.faults.get().Slow)
		part := min(step, remaining)
		if err := sleep(ctx, time.Duration(float64(part)*crowding*slow)); err != nil {
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
