package policybench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	dayLength = 24 * time.Hour
	// wavesPerDay is the mean number of waves per day. A wave calls many models at many
	// entry nodes within a second.
	wavesPerDay = 6
	// minWaveModels and meanWaveModels are the minimum and the approximate mean number of
	// models in a wave.
	minWaveModels  = 4
	meanWaveModels = 12
	// quarterEndFactor multiplies the number of sessions on the last day.
	quarterEndFactor = 4
)

// Call is one request of a workload. Node and Model are indexes.
type Call struct {
	At      time.Duration
	Node    int
	Model   int
	Adapter string
	// ServiceTime is the time from the start of the answer to its end.
	ServiceTime time.Duration
}

// Workload draws the calls of some days in the order of arrival: sessions that begin with
// a burst over many entry nodes, mostly in office hours; nightly jobs; and waves. The
// last of several days is a quarter end with more sessions.
func Workload(s *Scenario, days int, seed uint64) []Call {
	w := &workload{scenario: s, rng: rand.New(rand.NewPCG(seed, 11))}
	for d := range days {
		start := time.Duration(d) * dayLength
		factor := 1.0
		if d == days-1 && days > 1 {
			factor = quarterEndFactor
		}
		for m := range s.Models {
			w.addSessions(m, start, factor)
			w.addNightlyJob(m, start)
		}
		for range w.poisson(wavesPerDay) {
			w.addWave(start)
		}
	}
	slices.SortStableFunc(w.calls, func(a, b Call) int { return int(a.At - b.At) })
	return w.calls
}

// workload collects the drawn calls.
type workload struct {
	scenario *Scenario
	rng      *rand.Rand
	calls    []Call
}

// addSessions adds the sessions of a model on one day.
func (w *workload) addSessions(m int, start time.Duration, factor float64) {
	mean := w.scenario.Models[m].SessionsPerDay * factor
	for range w.poisson(mean) {
		// Most sessions begin from 8 to 19 h, a tenth at any time of day.
		hour := 8 + 11*w.rng.Float64()
		if w.rng.Float64() < 0.1 {
			hour = 24 * w.rng.Float64()
		}
		w.addSession(m, start+time.Duration(hour*float64(time.Hour)))
	}
}

// addSession adds a burst of calls at several entry nodes, then single calls.
func (w *workload) addSession(m int, at time.Duration) {
	burst := 1 + int(w.rng.ExpFloat64()*3)
	for range min(burst, entryNodes) {
		w.addCall(m, at+time.Duration(w.rng.Float64()*float64(200*time.Millisecond)))
	}
	followUps := int(w.rng.ExpFloat64() * 6)
	for range followUps {
		at += time.Duration(w.rng.ExpFloat64() * float64(40*time.Second))
		w.addCall(m, at)
	}
}

// addNightlyJob adds the calls of a model's nightly job, if it has one.
func (w *workload) addNightlyJob(m int, start time.Duration) {
	spec := &w.scenario.Models[m]
	if spec.NightlyAt == 0 {
		return
	}
	at := start + spec.NightlyAt + time.Duration(w.rng.NormFloat64()*float64(10*time.Second))
	at = max(at, start)
	for range 10 + w.rng.IntN(20) {
		w.addCall(m, at)
		at += time.Duration(w.rng.ExpFloat64() * float64(2*time.Second))
	}
}

// addWave adds calls to many models within a second, as after an announcement to users.
func (w *workload) addWave(start time.Duration) {
	at := start + time.Duration((9+8*w.rng.Float64())*float64(time.Hour))
	models := w.rng.Perm(len(w.scenario.Models))
	size := minWaveModels + int(w.rng.ExpFloat64()*(meanWaveModels-minWaveModels))
	for _, m := range models[:min(size, len(models))] {
		for range 1 + w.rng.IntN(entryNodes) {
			w.addCall(m, at+time.Duration(w.rng.Float64()*float64(time.Second)))
		}
	}
}

// addCall adds a call at a random entry node with a random duration and, in half of the
// cases, an adapter.
func (w *workload) addCall(m int, at time.Duration) {
	f := &w.scenario.Models[m]
	call := Call{
		At: at, Node: w.rng.IntN(entryNodes), Model: m,
		ServiceTime: time.Duration(2 * math.Exp(0.5*w.rng.NormFloat64()) * float64(time.Second)),
	}
	if len(f.Adapters) > 0 && w.rng.Float64() < 0.5 {
		call.Adapter = f.Adapters[w.rng.IntN(len(f.Adapters))]
	}
	w.calls = append(w.calls, call)
}

// poisson draws a Poisson-distributed number by counting exponential gaps.
func (w *workload) poisson(mean float64) int {
	n := 0
	for at := w.rng.ExpFloat64(); at < mean; at += w.rng.ExpFloat64() {
		n++
	}
	return n
}
