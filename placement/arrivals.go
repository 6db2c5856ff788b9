package placement

import (
	"slices"
	"time"
)

const (
	// day is the period at which wake-ups recur.
	day = 24 * time.Hour
	// wakeupGap is the shortest gap without arrivals after which an arrival is a wake-up.
	wakeupGap = 30 * time.Minute
	// maxWakeups is the maximum number of wake-ups remembered for each model.
	maxWakeups = 8
	// matchTolerance is the largest distance from the expected instant at which an arrival
	// counts as a recurrence of a remembered wake-up.
	matchTolerance = 10 * time.Minute
	// initialDeviation is the deviation assumed for a wake-up that was seen once.
	initialDeviation = 2 * time.Minute
	// minDeviation is the lower bound of the learned deviation.
	minDeviation = 5 * time.Second
	// windowDeviations is half the length of a wake-up's window, in mean deviations. The
	// window is the time around the expected instant in which the arrival is likely.
	windowDeviations = 4
	// minNetDays is the netDays that a wake-up needs before nextWindow returns its window.
	minNetDays = 2
	// wakeupWeight is the weight of the latest day in a wake-up's mean time and deviation.
	wakeupWeight = 0.3
	// rateHalfLife is the age at which an arrival counts half in the arrival rate.
	rateHalfLife = time.Hour
)

// wakeup is the first arrival after a gap of at least wakeupGap, expected to recur daily.
type wakeup struct {
	// at is the instant at which the wake-up is expected next.
	at Instant
	// deviation is the mean distance of the arrivals from the expected instant.
	deviation time.Duration
	// netDays counts the days with the wake-up minus the days without it, up to
	// minNetDays+1. A wake-up is dropped when it reaches zero.
	netDays int
}

// arrivals holds one model's arrival rate and its daily wake-ups.
type arrivals struct {
	// lastAt is when the last arrival was observed, if seenAny is set.
	lastAt  Instant
	seenAny bool
	// decayedCount is the number of past arrivals, each weighted by its age at decayedAt.
	decayedCount float64
	decayedAt    Instant
	wakeups      []wakeup
}

// observe records that count requests arrived by now.
func (a *arrivals) observe(now Instant, count int) {
	if !a.seenAny || now-a.lastAt >= wakeupGap {
		a.observeWakeup(now)
	}
	a.seenAny = true
	a.lastAt = now
	a.decayedCount = a.countAt(now) + float64(count)
	a.decayedAt = now
}

// rate returns the recent arrival rate in requests per second.
func (a *arrivals) rate(now Instant) float64 {
	return a.countAt(now) / rateHalfLife.Seconds()
}

// countAt returns the number of past arrivals, each weighted by its age at now.
func (a *arrivals) countAt(now Instant) float64 {
	if a.decayedCount == 0 {
		return 0
	}
	return a.decayedCount * decayWeight(now-a.decayedAt, rateHalfLife)
}

// advancePassed moves each wake-up that did not occur within matchTolerance to the next
// day and lowers its netDays, and drops those that reach zero.
func (a *arrivals) advancePassed(now Instant) {
	if len(a.wakeups) == 0 {
		return
	}
	for i := range a.wakeups {
		w := &a.wakeups[i]
		for now > w.at+matchTolerance {
			w.at += day
			w.netDays--
		}
	}
	a.wakeups = slices.DeleteFunc(a.wakeups, func(w wakeup) bool { return w.netDays <= 0 })
}

// observeWakeup records a wake-up at now. It updates the nearest remembered wake-up within
// matchTolerance, or remembers a new one in place of the one with the lowest netDays.
func (a *arrivals) observeWakeup(now Instant) {
	a.advancePassed(now)
	if index := a.nearestWakeup(now); index >= 0 {
		a.wakeups[index].update(now)
		return
	}
	if len(a.wakeups) == maxWakeups {
		a.wakeups = slices.Delete(a.wakeups, a.leastSeenWakeup(), a.leastSeenWakeup()+1)
	}
	a.wakeups = append(a.wakeups, wakeup{at: now + day, deviation: initialDeviation, netDays: 1})
}

// update records that the wake-up occurred at now: it moves the expected instant toward
// now and then to the next day, and updates the deviation and netDays.
func (w *wakeup) update(now Instant) {
	offset := now - w.at
	shift := time.Duration(wakeupWeight * float64(offset))
	distance := (offset - shift).Abs()
	w.deviation += time.Duration(wakeupWeight * float64(distance-w.deviation))
	w.deviation = max(w.deviation, minDeviation)
	w.at += shift + day
	w.netDays = min(w.netDays+1, minNetDays+1)
}

// nearestWakeup returns the index of the wake-up closest to now within matchTolerance, or
// -1 if there is none.
func (a *arrivals) nearestWakeup(now Instant) int {
	best, bestDistance := -1, matchTolerance
	for i := range a.wakeups {
		distance := (now - a.wakeups[i].at).Abs()
		if distance <= bestDistance {
			best, bestDistance = i, distance
		}
	}
	return best
}

// leastSeenWakeup returns the index of the wake-up with the lowest netDays.
func (a *arrivals) leastSeenWakeup() int {
	least := 0
	for i := range a.wakeups {
		if a.wakeups[i].netDays < a.wakeups[least].netDays {
			least = i
		}
	}
	return least
}

// nextWindow returns the earliest window of the wake-ups with at least minNetDays. Windows
// that have ended are skipped.
func (a *arrivals) nextWindow(now Instant) (from, until Instant, found bool) {
	for i := range a.wakeups {
		w := &a.wakeups[i]
		half := min(windowDeviations*w.deviation, matchTolerance)
		if w.netDays < minNetDays || now > w.at+half {
			continue
		}
		if !found || w.at-half < from {
			from, until, found = w.at-half, w.at+half, true
		}
	}
	return from, until, found
}
