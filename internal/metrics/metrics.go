// Package metrics has the counters, gauges and latency histograms of a node of a
// managed deployment. They are published through expvar.
package metrics

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestMillis is the longest time that the histograms tell apart, in ms;
	// longer than any caller's deadline on the platform.
	longestMillis = 120_000
	// digits is the precision of the histograms, in significant digits.
	digits = 2
)

// Set is one node's metrics. Any goroutine may use it.
type Set struct {
	all    *expvar.Map
	counts *expvar.Map

	mu    sync.Mutex
	times map[string]*hdrhistogram.Histogram
}

// New makes a set and publishes it under a name, in place of an earlier one of
// that name.
func New(name string) *Set {
	s := &Set{all: new(expvar.Map), counts: new(expvar.Map), times: map[string]*hdrhistogram.Histogram{}}
	s.all.Set("counts", s.counts)
	s.all.Set("latencyMillis", expvar.Func(s.latencies))
	published.Lock()
	defer published.Unlock()
	if published.sets[name] == nil {
		expvar.Publish(name, latest(name))
	}
	published.sets[name] = s
	return s
}

// published has the latest set of each name: expvar takes each name once.
var published = struct {
	sync.Mutex
	sets map[string]*Set
}{sets: map[string]*Set{}}

// latest is the latest set of a name.
type latest string

// String implements expvar.Var.
func (name latest) String() string {
	published.Lock()
	s := published.sets[string(name)]
	published.Unlock()
	return s.all.String()
}

// Handler answers with all metrics of the process as JSON.
func Handler() http.Handler { return expvar.Handler() }

// Count adds one to a counter.
func (s *Set) Count(name string) { s.counts.Add(name, 1) }

// Gauge publishes a value that is read when it is asked for. read must be safe
// for any goroutine.
func (s *Set) Gauge(name string, read func() int64) {
	s.all.Set(name, expvar.Func(func() any { return read() }))
}

// Observe records a time in the histogram of that name.
func (s *Set) Observe(name string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.times[name]
	if h == nil {
		h = hdrhistogram.New(1, longestMillis, digits)
		s.times[name] = h
	}
	// Always within the histogram's range, so there is no error to report.
	_ = h.RecordValue(min(max(1, took.Milliseconds()), longestMillis))
}

// latency is a histogram's summary; times in ms.
type latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (s *Set) latencies() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]latency{}
	for name, h := range s.times {
		out[name] = latency{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
			P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return out
}
