package residency

import (
	"math"
	"time"
)

const (
	// initialStoreLimit is the number of parallel loads before any has ended. One
	// load alone tells nothing about sharing; with many, a slow store shows late.
	initialStoreLimit = 2
	// onTimeFactor is the multiple of its usual time up to which a load counts as
	// having run at full speed. Five loads on a store that sustains four take 1.25
	// times as long.
	onTimeFactor = 1.15
	// minSharing is the mean number of parallel loads above which a late load is
	// attributed to the others. A load on its own may be late for other reasons.
	minSharing = 1.25
	// probeInterval is how long a number of parallel loads that was too high is not
	// tried again. A failed probe costs each load in progress a fifth of its time.
	probeInterval = time.Minute
)

// storeLimiter learns how many parallel loads the weight store sustains at full
// speed. Beyond that number each load takes proportionally longer, so the most wanted
// model is loaded sooner with few others beside it. This matters when many engines
// without copies load at once.
type storeLimiter struct {
	// limit is the number of loads that may run at once; maxLimit is the highest
	// value that it may take.
	limit, maxLimit int
	// overload is the lowest number of parallel loads that proved too high, or zero;
	// overloadAt is when it did.
	overload   int
	overloadAt time.Duration
	// servicePerLoad is the full-speed time that one load would have had since the
	// start if all loads in progress always shared the store equally.
	servicePerLoad time.Duration
	// running is the number of loads that have shared the store since updatedAt.
	running   int
	updatedAt time.Duration
}

// newStoreLimiter returns a limiter whose limit may grow to maxLimit.
func newStoreLimiter(maxLimit int) storeLimiter {
	return storeLimiter{limit: max(1, min(initialStoreLimit, maxLimit)), maxLimit: maxLimit}
}

// storeLoad is a load from the weight store that an engine carries out.
type storeLoad struct {
	// usual is how long the load takes at full speed.
	usual time.Duration
	// began is when the load began; serviceAtStart is servicePerLoad at that time.
	began, serviceAtStart time.Duration
}

// setConcurrency records the number of loads in progress from now on.
func (s *storeLimiter) setConcurrency(running int, now time.Duration) {
	if s.running > 0 {
		s.servicePerLoad += (now - s.updatedAt) / time.Duration(s.running)
	}
	s.running, s.updatedAt = running, now
}

// loadStarted records the start of a load and returns it.
func (s *storeLimiter) loadStarted(usual, now time.Duration) *storeLoad {
	s.setConcurrency(s.running+1, now)
	return &storeLoad{usual: usual, began: now, serviceAtStart: s.servicePerLoad}
}

// loadFinished updates the limit after a load has ended.
func (s *storeLimiter) loadFinished(l *storeLoad, now time.Duration) {
	s.setConcurrency(max(0, s.running-1), now)
	if s.checkLate(l, now) {
		return
	}
	maxLimit := s.maxLimit
	if s.overload > 0 && now-s.overloadAt < probeInterval {
		maxLimit = min(maxLimit, s.overload-1)
	}
	// The loads that ran in parallel had full speed, so try twice as many.
	s.limit = max(s.limit, min(maxLimit, 2*int(math.Round(s.meanConcurrency(l, now)))))
}

// checkLate reports whether a load has taken longer than usual, and lowers the limit
// if other loads are the likely reason. The load may still be in progress.
func (s *storeLimiter) checkLate(l *storeLoad, now time.Duration) bool {
	s.setConcurrency(s.running, now)
	if (now - l.began).Seconds() <= onTimeFactor*l.usual.Seconds() {
		return false
	}
	concurrency := s.meanConcurrency(l, now)
	if concurrency < minSharing {
		return true
	}
	sustained := max(1, int(math.Round(l.usual.Seconds()/(s.servicePerLoad-l.serviceAtStart).Seconds())))
	if sustained < int(math.Round(concurrency)) {
		s.limit = min(s.limit, sustained)
		s.overload, s.overloadAt = sustained+1, now
	}
	return true
}

// meanConcurrency returns the mean number of loads that shared the store during a
// load, including the load itself.
func (s *storeLimiter) meanConcurrency(l *storeLoad, now time.Duration) float64 {
	return (now - l.began).Seconds() / max(s.servicePerLoad-l.serviceAtStart, time.Millisecond).Seconds()
}

// expectedDuration returns how long a load of the given usual duration takes while
// the given number of loads share the store.
func (s *storeLimiter) expectedDuration(usual time.Duration, running int) time.Duration {
	if running <= s.limit {
		return usual
	}
	return usual * time.Duration(running) / time.Duration(s.limit)
}
