package policybench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics are the results of one policy in one run.
type Metrics struct {
	Policy string `json:"policy"`
	// Cold is the time from the arrival of a request that found no ready
	// replica until one was ready. Start is the time from the arrival of any
	// request that was served until its answer started.
	Cold  Quantiles `json:"coldStart"`
	Start Quantiles `json:"answerStart"`

	Calls  int `json:"calls"`
	Served int `json:"served"`
	// Refused counts refusals on arrival, Missed the accepted requests whose
	// answer did not start within the contract's wait.
	Refused int `json:"refused"`
	Missed  int `json:"missed"`
	// CutOff counts calls refused by a cut-off node, Limited those beyond the
	// contract's rate, and Broken answers cut short by a killed engine.
	CutOff  int `json:"cutOff"`
	Limited int `json:"limited"`
	Broken  int `json:"broken"`

	// IdleHours are accelerator hours held by replicas that run no request,
	// weighted by their share of the accelerator's memory. HeldHours include
	// the busy ones.
	IdleHours float64 `json:"idleHours"`
	HeldHours float64 `json:"heldHours"`

	Loads        int `json:"loads"`
	Duplicates   int `json:"duplicates"`
	OverCommits  int `json:"overCommits"`
	AdaptersPeak int `json:"adaptersPeak"`
	// RefusedChanges counts changes that the ledger refused.
	RefusedChanges int      `json:"refusedChanges"`
	Rounds         int      `json:"rounds,omitempty"`
	Violations     []string `json:"violations,omitempty"`

	// Customers hold the answer starts of each customer, in the order of the
	// scenario's contracts.
	Customers []Quantiles `json:"customers"`

	cold       *hdrhistogram.Histogram
	start      *hdrhistogram.Histogram
	byCustomer []*hdrhistogram.Histogram
}

// Quantiles are times in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
}

func newMetrics(customers int) *Metrics {
	m := &Metrics{cold: newHistogram(), start: newHistogram()}
	for range customers {
		m.byCustomer = append(m.byCustomer, newHistogram())
	}
	return m
}

// newHistogram returns a histogram of milliseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (24 * time.Hour).Milliseconds(), 3)
}

func (m *Metrics) recordCold(d time.Duration) { record(m.cold, d) }

func (m *Metrics) recordStart(customer int, d time.Duration) {
	record(m.start, d)
	record(m.byCustomer[customer], d)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	ms := min(max(d.Milliseconds(), 1), h.HighestTrackableValue())
	if err := h.RecordValue(ms); err != nil {
		panic(err)
	}
}

func (m *Metrics) count(o outcome) {
	switch o {
	case served:
		m.Served++
	case refused:
		m.Refused++
	case missed:
		m.Missed++
	case cutOff:
		m.CutOff++
	case limited:
		m.Limited++
	}
}

func (m *Metrics) finish(w *world) {
	for _, queue := range w.queues {
		for _, q := range queue {
			if q.outcome == open && w.clock.now > q.deadline {
				w.violate("a request was dropped")
			}
		}
	}
	m.Cold, m.Start = quantiles(m.cold), quantiles(m.start)
	for _, h := range m.byCustomer {
		m.Customers = append(m.Customers, quantiles(h))
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)),
		P95:   float64(h.ValueAtQuantile(95)),
		P99:   float64(h.ValueAtQuantile(99)),
		P999:  float64(h.ValueAtQuantile(99.9)),
	}
}
