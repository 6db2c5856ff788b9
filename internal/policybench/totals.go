package policybench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Totals sums the results of one policy over several runs.
type Totals struct {
	IdleHours              float64
	coldStarts             *hdrhistogram.Histogram
	answerStartsByCustomer []*hdrhistogram.Histogram
}

// Add adds the results of one run.
func (t *Totals) Add(m *Metrics) {
	if t.coldStarts == nil {
		t.coldStarts = newHistogram()
		for range m.answerStartsByCustomer {
			t.answerStartsByCustomer = append(t.answerStartsByCustomer, newHistogram())
		}
	}
	for i, h := range m.answerStartsByCustomer {
		t.answerStartsByCustomer[i].Merge(h)
	}
	t.IdleHours += m.IdleHours
	t.coldStarts.Merge(m.coldStarts)
}

// ColdP99 returns the 99th percentile of cold-start times in milliseconds.
func (t *Totals) ColdP99() float64 { return float64(t.coldStarts.ValueAtQuantile(99)) }

// CustomerP99 returns the 99th percentile of a customer's answer starts in milliseconds.
func (t *Totals) CustomerP99(customer int) float64 {
	return float64(t.answerStartsByCustomer[customer].ValueAtQuantile(99))
}

// LowerBound returns a lower bound of the time to load the scenario's first k models from
// the store at once. It is the largest of three bounds: by the store's width, where the
// n-th parallel transfer, counted from 0, starts n intervals of the rate late; by the
// store's rate; and by the longest single load.
func LowerBound(s *Scenario, k int) time.Duration {
	var fetches, longest, shortest, shortestSetUp float64
	for i := range k {
		size := float64(s.Models[i].Size)
		fetch := size / s.FetchSpeed
		setUp := setUpBaseTime.Seconds() + size/setUpSpeed
		fetches += fetch
		longest = max(longest, fetch+setUp)
		if i == 0 || fetch+setUp < shortest {
			shortest, shortestSetUp = fetch+setUp, setUp
		}
	}
	width := float64(s.Store.Width)
	startDelays := width * (width - 1) / 2 / s.Store.Rate
	byWidth := (fetches+startDelays)/width + shortestSetUp
	byRate := float64(k-1)/s.Store.Rate + shortest
	return time.Duration(max(byWidth, byRate, longest) * float64(time.Second))
}

// Flood returns calls with added calls of one customer, at factor times its contract's
// rate for some time.
func Flood(s *Scenario, calls []Call, customer int, from, duration time.Duration, factor float64) []Call {
	var models []int
	for m := range s.Models {
		if s.Models[m].Customer == s.Contracts[customer].Customer {
			models = append(models, m)
		}
	}
	interval := time.Duration(float64(time.Second) / (s.Contracts[customer].Capacity.Rate * factor))
	flooded := slices.Clone(calls)
	for i := 0; time.Duration(i)*interval < duration; i++ {
		flooded = append(flooded, Call{
			At: from + time.Duration(i)*interval, Node: i % entryNodes, Model: models[i%len(models)], ServiceTime: 2 * time.Second,
		})
	}
	slices.SortStableFunc(flooded, func(a, b Call) int { return int(a.At - b.At) })
	return flooded
}
