package placement

import (
	"slices"
	"time"
)

const (
	// day is the period of recurring wake-ups.
	day = 24 * time.Hour
	// quiet is the gap in arrivals after which the next one is a wake-up.
	quiet = 30 * time.Minute
	// maxWakeups bounds the recurring wake-ups remembered for one model.
	maxWakeups = 8
	// joinWithin is the largest distance at which a wake-up joins a remembered
	// one of another day.
	joinWithin = 10 * time.Minute
	// firstDeviation is the deviation assumed of a wake-up seen once.
	firstDeviation = 2 * time.Minute
	// leastDeviation bounds the learned deviation from below.
	leastDeviation = 5 * time.Second
	// windowDeviations is the half width of an expected wake-up's window in
	// mean deviations.
	windowDeviations = 4
	// expectAfter is the number of days on which a wake-up must have been seen
	// before it is expected.
	expectAfter = 2
	// phaseWeight is the weight of the last day in a wake-up's mean time.
	phaseWeight = 0.3
	// rateHalfLife is the time in which the weight of an arrival halves in the
	// arrival rate.
	rateHalfLife = time.Hour
)

// wakeup is a recurring first arrival after a quiet time.
type wakeup struct {
	// at is the next expected instant.
	at Instant
	// deviation is the mean distance from the expected instant.
	deviation time.Duration
	// seen counts the days with an arrival, less the days without one.
	seen int
}

// arrivals learns when one model is called.
type arrivals struct {
	last    Instant
	known   bool
	weight  float64
	weighed Instant
	wakeups []wakeup
}

// observe records arrivals at an instant.
func (a *arrivals) observe(now Instant, count int) {
	if !a.known || now-a.last >= quiet {
		a.wake(now)
	}
	a.known = true
	a.last = now
	a.weight = a.decayed(now) + float64(count)
	a.weighed = now
}

// rate returns the recent arrivals a second.
func (a *arrivals) rate(now Instant) float64 {
	return a.decayed(now) / rateHalfLife.Seconds()
}

func (a *arrivals) decayed(now Instant) float64 {
	if a.weight == 0 {
		return 0
	}
	return a.weight * halving(now-a.weighed, rateHalfLife)
}

// expire moves wake-ups whose window passed to the next day.
func (a *arrivals) expire(now Instant) {
	if len(a.wakeups) == 0 {
		return
	}
	for i := range a.wakeups {
		w := &a.wakeups[i]
		for now > w.at+joinWithin {
			w.at += day
			w.seen--
		}
	}
	a.wakeups = slices.DeleteFunc(a.wakeups, func(w wakeup) bool { return w.seen <= 0 })
}

func (a *arrivals) wake(now Instant) {
	a.expire(now)
	if at := a.nearest(now); at >= 0 {
		a.wakeups[at].join(now)
		return
	}
	if len(a.wakeups) == maxWakeups {
		a.wakeups = slices.Delete(a.wakeups, a.weakest(), a.weakest()+1)
	}
	a.wakeups = append(a.wakeups, wakeup{at: now + day, deviation: firstDeviation, seen: 1})
}

func (w *wakeup) join(now Instant) {
	off := now - w.at
	mean := time.Duration(phaseWeight * float64(off))
	miss := (off - mean).Abs()
	w.deviation += time.Duration(phaseWeight * float64(miss-w.deviation))
	w.deviation = max(w.deviation, leastDeviation)
	w.at += mean + day
	w.seen = min(w.seen+1, expectAfter+1)
}

func (a *arrivals) nearest(now Instant) int {
	best, bestOff := -1, joinWithin
	for i := range a.wakeups {
		off := (now - a.wakeups[i].at).Abs()
		if off <= bestOff {
			best, bestOff = i, off
		}
	}
	return best
}

func (a *arrivals) weakest() int {
	at := 0
	for i := range a.wakeups {
		if a.wakeups[i].seen < a.wakeups[at].seen {
			at = i
		}
	}
	return at
}

// expected returns the window of the next expected wake-up.
func (a *arrivals) expected(now Instant) (from, until Instant, found bool) {
	for i := range a.wakeups {
		w := &a.wakeups[i]
		half := min(windowDeviations*w.deviation, joinWithin)
		if w.seen < expectAfter || now > w.at+half {
			continue
		}
		if !found || w.at-half < from {
			from, until, found = w.at-half, w.at+half, true
		}
	}
	return from, until, found
}
