package policybench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	dayLength = 24 * time.Hour
	// wavesPerDay is the mean number of waves on a day: many models that are
	// called at many nodes within a second.
	wavesPerDay = 6
	// leastWave and meanWave are the least and the mean number of models that
	// a wave calls.
	leastWave = 4
	meanWave  = 12
	// quarterEndFactor multiplies the sessions of the last day.
	quarterEndFactor = 4
)

// Call is one request of a workload.
type Call struct {
	At      time.Duration
	Node    int
	Model   int
	Adapter string
	// Service is how long the answer takes once it started.
	Service time.Duration
}

// Workload draws the calls of some days: sessions in office hours that open
// with a burst over many nodes, nightly jobs, waves of cold models, and a last
// day at quarter end.
func Workload(s *Scenario, days int, seed uint64) []Call {
	w := &workload{scenario: s, rng: rand.New(rand.NewPCG(seed, 11))}
	for d := range days {
		start := time.Duration(d) * dayLength
		factor := 1.0
		if d == days-1 && days > 1 {
			factor = quarterEndFactor
		}
		for m := range s.Models {
			w.sessions(m, start, factor)
			w.nightly(m, start)
		}
		for range w.poisson(wavesPerDay) {
			w.wave(start)
		}
	}
	slices.SortStableFunc(w.calls, func(a, b Call) int { return int(a.At - b.At) })
	return w.calls
}

type workload struct {
	scenario *Scenario
	rng      *rand.Rand
	calls    []Call
}

func (w *workload) sessions(m int, start time.Duration, factor float64) {
	mean := w.scenario.Models[m].Sessions * factor
	for range w.poisson(mean) {
		// Office hours from 8 to 19, some evening sessions.
		hour := 8 + 11*w.rng.Float64()
		if w.rng.Float64() < 0.1 {
			hour = 24 * w.rng.Float64()
		}
		w.session(m, start+time.Duration(hour*float64(time.Hour)))
	}
}

// session is a burst of calls at several nodes, then single calls.
func (w *workload) session(m int, at time.Duration) {
	burst := 1 + int(w.rng.ExpFloat64()*3)
	for range min(burst, nodes) {
		w.call(m, at+time.Duration(w.rng.Float64()*float64(200*time.Millisecond)))
	}
	follow := int(w.rng.ExpFloat64() * 6)
	for range follow {
		at += time.Duration(w.rng.ExpFloat64() * float64(40*time.Second))
		w.call(m, at)
	}
}

func (w *workload) nightly(m int, start time.Duration) {
	f := &w.scenario.Models[m]
	if f.Nightly == 0 {
		return
	}
	at := start + f.Nightly + time.Duration(w.rng.NormFloat64()*float64(10*time.Second))
	at = max(at, start)
	for range 10 + w.rng.IntN(20) {
		w.call(m, at)
		at += time.Duration(w.rng.ExpFloat64() * float64(2*time.Second))
	}
}

// wave calls many models within a second, as after an announcement.
func (w *workload) wave(start time.Duration) {
	at := start + time.Duration((9+8*w.rng.Float64())*float64(time.Hour))
	models := w.rng.Perm(len(w.scenario.Models))
	size := leastWave + int(w.rng.ExpFloat64()*(meanWave-leastWave))
	for _, m := range models[:min(size, len(models))] {
		for range 1 + w.rng.IntN(nodes) {
			w.call(m, at+time.Duration(w.rng.Float64()*float64(time.Second)))
		}
	}
}

func (w *workload) call(m int, at time.Duration) {
	f := &w.scenario.Models[m]
	c := Call{
		At: at, Node: w.rng.IntN(nodes), Model: m,
		Service: time.Duration(2 * math.Exp(0.5*w.rng.NormFloat64()) * float64(time.Second)),
	}
	if len(f.Adapters) > 0 && w.rng.Float64() < 0.5 {
		c.Adapter = f.Adapters[w.rng.IntN(len(f.Adapters))]
	}
	w.calls = append(w.calls, c)
}

// poisson draws a Poisson number by counting exponential gaps.
func (w *workload) poisson(mean float64) int {
	n := 0
	for at := w.rng.ExpFloat64(); at < mean; at += w.rng.ExpFloat64() {
		n++
	}
	return n
}
