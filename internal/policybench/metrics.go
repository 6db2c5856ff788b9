package policybench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics are the results of one policy in one run.
type Metrics struct {
	Policy string `json:"policy"`
	// ColdStart is the time from the arrival of a request that found no ready replica
	// until one was ready. AnswerStart is the time from the arrival of a served request
	// until its answer started.
	ColdStart   Quantiles `json:"coldStart"`
	AnswerStart Quantiles `json:"answerStart"`

	Calls  int `json:"calls"`
	Served int `json:"served"`
	// Refused counts requests refused on arrival, Missed accepted requests whose answer
	// did not start within the contract's wait.
	Refused int `json:"refused"`
	Missed  int `json:"missed"`
	// CutOff counts calls that a disconnected entry node refused, Limited calls beyond
	// the contract's rate, and Broken answers that ended with a killed engine.
	CutOff  int `json:"cutOff"`
	Limited int `json:"limited"`
	Broken  int `json:"broken"`

	// IdleHours are the accelerator hours held by replicas that run no request, weighted
	// by their share of an accelerator's memory. HeldHours include busy replicas.
	IdleHours float64 `json:"idleHours"`
	HeldHours float64 `json:"heldHours"`

	// Loads counts started loads, Duplicates those beyond what the model's requests can
	// use, and OverCommits those refused for lack of memory. AdaptersPeak is the maximum
	// number of concurrent adapter loads.
	Loads        int `json:"loads"`
	Duplicates   int `json:"duplicates"`
	OverCommits  int `json:"overCommits"`
	AdaptersPeak int `json:"adaptersPeak"`
	// RefusedChanges counts changes that the ledger refused.
	RefusedChanges int `json:"refusedChanges"`
	// PlanningRounds counts planning rounds; zero for baselines. Violations are the
	// invariants violated.
	PlanningRounds int      `json:"rounds,omitempty"`
	Violations     []string `json:"violations,omitempty"`

	// Customers hold the answer starts of each customer in the order of the scenario's
	// contracts.
	Customers []Quantiles `json:"customers"`

	coldStarts             *hdrhistogram.Histogram
	answerStarts           *hdrhistogram.Histogram
	answerStartsByCustomer []*hdrhistogram.Histogram
}

// Quantiles summarize a distribution of times in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
}

// newMetrics returns empty metrics for a number of customers.
func newMetrics(customers int) *Metrics {
	m := &Metrics{coldStarts: newHistogram(), answerStarts: newHistogram()}
	for range customers {
		m.answerStartsByCustomer = append(m.answerStartsByCustomer, newHistogram())
	}
	return m
}

// newHistogram returns a histogram of milliseconds up to one day.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (24 * time.Hour).Milliseconds(), 3)
}

// recordColdStart records the time from the arrival of a request to the first ready
// replica.
func (m *Metrics) recordColdStart(d time.Duration) { record(m.coldStarts, d) }

// recordAnswerStart records the time from the arrival of a customer's request to the
// start of its answer.
func (m *Metrics) recordAnswerStart(customer int, d time.Duration) {
	record(m.answerStarts, d)
	record(m.answerStartsByCustomer[customer], d)
}

// record adds a duration, limited to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	ms := min(max(d.Milliseconds(), 1), h.HighestTrackableValue())
	if err := h.RecordValue(ms); err != nil {
		panic(err)
	}
}

// countOutcome counts a request by its outcome. Pending requests are not counted.
func (m *Metrics) countOutcome(o outcome) {
	switch o {
	case served:
		m.Served++
	case refused:
		m.Refused++
	case missed:
		m.Missed++
	case cutOff:
		m.CutOff++
	case rateLimited:
		m.Limited++
	}
}

// finish records requests that are still pending after their deadline as violations, and
// computes the quantiles.
func (m *Metrics) finish(w *world) {
	for _, queue := range w.queues {
		for _, q := range queue {
			if q.outcome == pending && w.clock.now > q.deadline {
				w.recordViolation("a request was dropped")
			}
		}
	}
	m.ColdStart, m.AnswerStart = quantiles(m.coldStarts), quantiles(m.answerStarts)
	for _, h := range m.answerStartsByCustomer {
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
