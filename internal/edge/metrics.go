package edge

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestMillis is the longest time that the histograms tell apart.
	longestMillis = 120_000
	// digits is the precision of the histograms.
	digits = 2
)

// metrics are an entry node's counters and latencies.
type metrics struct {
	counts *expvar.Map

	mu    sync.Mutex
	times map[string]*hdrhistogram.Histogram
}

// newMetrics publishes the metrics under the node's name.
func newMetrics(node string) *metrics {
	m := &metrics{counts: new(expvar.Map), times: map[string]*hdrhistogram.Histogram{}}
	if expvar.Get("edge."+node) == nil {
		all := new(expvar.Map)
		all.Set("calls", m.counts)
		all.Set("latencyMillis", expvar.Func(m.latencies))
		expvar.Publish("edge."+node, all)
	}
	return m
}

func (m *metrics) count(name string) { m.counts.Add(name, 1) }

// observe records a time under a name.
func (m *metrics) observe(name string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.times[name]
	if h == nil {
		h = hdrhistogram.New(1, longestMillis, digits)
		m.times[name] = h
	}
	// Longer times count as the longest.
	_ = h.RecordValue(min(max(1, took.Milliseconds()), longestMillis))
}

// latencies are the quantiles of each histogram.
func (m *metrics) latencies() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]map[string]int64{}
	for name, h := range m.times {
		out[name] = map[string]int64{
			"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
			"p99": h.ValueAtQuantile(99), "max": h.Max(),
		}
	}
	return out
}
