package policybench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Totals sums the results of one policy over several runs.
type Totals struct {
	IdleHours float64
	cold      *hdrhistogram.Histogram
	customers []*hdrhistogram.Histogram
}

// Add takes in one run.
func (t *Totals) Add(m *Metrics) {
	if t.cold == nil {
		t.cold = newHistogram()
		for range m.byCustomer {
			t.customers = append(t.customers, newHistogram())
		}
	}
	for i, h := range m.byCustomer {
		t.customers[i].Merge(h)
	}
	t.IdleHours += m.IdleHours
	t.cold.Merge(m.cold)
}

// ColdP99 returns the 99th percentile of cold-start times in milliseconds.
func (t *Totals) ColdP99() float64 { return float64(t.cold.ValueAtQuantile(99)) }

// CustomerP99 returns the 99th percentile of one customer's answer starts in
// milliseconds.
func (t *Totals) CustomerP99(customer int) float64 {
	return float64(t.customers[customer].ValueAtQuantile(99))
}

// LowerBound returns the least time in which the store lets the scenario's
// first k models be loaded at once: bounded by its width, of which the n-th
// place is first taken n starts of the rate later, by its rate, and by the
// longest load.
func LowerBound(s *Scenario, k int) time.Duration {
	var fetches, longest, shortest, setUp float64
	for i := range k {
		size := float64(s.Models[i].Size)
		fetch := size / s.Fetch
		set := initTime.Seconds() + size/initSpeed
		fetches += fetch
		longest = max(longest, fetch+set)
		if i == 0 || fetch+set < shortest {
			shortest, setUp = fetch+set, set
		}
	}
	width := float64(s.Store.Width)
	ramp := width * (width - 1) / 2 / s.Store.Rate
	byWidth := (fetches+ramp)/width + setUp
	byRate := float64(k-1)/s.Store.Rate + shortest
	return time.Duration(max(byWidth, byRate, longest) * float64(time.Second))
}

// Flood adds calls of one customer at a multiple of its contract's rate.
func Flood(s *Scenario, calls []Call, customer int, from, lasting time.Duration, factor float64) []Call {
	var models []int
	for m := range s.Models {
		if s.Models[m].Customer == s.Contracts[customer].Customer {
			models = append(models, m)
		}
	}
	gap := time.Duration(float64(time.Second) / (s.Contracts[customer].Capacity.Rate * factor))
	flooded := slices.Clone(calls)
	for i := 0; time.Duration(i)*gap < lasting; i++ {
		flooded = append(flooded, Call{
			At: from + time.Duration(i)*gap, Node: i % nodes, Model: models[i%len(models)], Service: 2 * time.Second,
		})
	}
	slices.SortStableFunc(flooded, func(a, b Call) int { return int(a.At - b.At) })
	return flooded
}
