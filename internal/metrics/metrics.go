// Package metrics holds the counters, gauges and latency histograms of a node of a
// managed deployment and publishes them through expvar.
package metrics

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMillis is the longest duration that the histograms record, in ms. It is
	// longer than any caller's deadline on the platform.
	maxMillis = 120_000
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 2
)

// Set holds the metrics of one node. It is safe for concurrent use.
type Set struct {
	vars     *expvar.Map
	counters *expvar.Map

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// New returns a set that is published under the given name. It replaces an earlier set
// of the same name.
func New(name string) *Set {
	s := &Set{vars: new(expvar.Map), counters: new(expvar.Map), histograms: map[string]*hdrhistogram.Histogram{}}
	s.vars.Set("counts", s.counters)
	s.vars.Set("latencyMillis", expvar.Func(s.latencySummaries))
	if _, known := published.Swap(name, s); !known {
		expvar.Publish(name, latestSet(name))
	}
	return s
}

// published holds the latest *Set of each name. expvar accepts a name only once, so it gets a latestSet, which looks the
// set up whenever it is read. No lock is held meanwhile: expvar holds one of its own while it reads, and while it publishes.
var published sync.Map

// latestSet is the expvar variable of a name. It shows the latest set of that name.
type latestSet string

// String implements expvar.Var.
func (name latestSet) String() string {
	s, _ := published.Load(string(name))
	return s.(*Set).vars.String()
}

// Handler returns a handler that serves all metrics of the process as JSON.
func Handler() http.Handler { return expvar.Handler() }

// Count increments the named counter.
func (s *Set) Count(name string) { s.counters.Add(name, 1) }

// Gauge publishes the result of read, which is called whenever the metrics are read and
// must be safe for concurrent use.
func (s *Set) Gauge(name string, read func() int64) {
	s.vars.Set(name, expvar.Func(func() any { return read() }))
}

// Observe records a duration in the named histogram, in ms and clamped to the range of
// the histogram.
func (s *Set) Observe(name string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxMillis, significantDigits)
		s.histograms[name] = h
	}
	// A clamped value is within the histogram's range, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(1, took.Milliseconds()), maxMillis))
}

// latencySummary summarizes a histogram. All values but Count are in ms.
type latencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// latencySummaries returns the summary of each histogram by name.
func (s *Set) latencySummaries() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]latencySummary{}
	for name, h := range s.histograms {
		out[name] = latencySummary{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
			P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return out
}
