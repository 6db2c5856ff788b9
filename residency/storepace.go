package residency

import (
	"math"
	"time"
)

const (
	// initialStoreLimit is how many loads run at once before any has ended: one alone tells
	// nothing of the store, and beside many a slow store shows late.
	initialStoreLimit = 2
	// onTimeFactor is up to how many times its usual length a load from the weight store
	// counts as one at full speed; five loads where four have full speed take 1.25
	// times as long.
	onTimeFactor = 1.15
	// minSharing is how many loads must have run at once, on average, before a late one
	// is laid to the others: a load on its own may be late for other reasons.
	minSharing = 1.25
	// probeInterval is for how long a width that was too much is not tried again. A
	// probe that fails costs each load in progress a fifth of its time.
	probeInterval = time.Minute
)

// storeLimiter learns how many loads the weight store carries at full speed: beyond
// that each takes longer in proportion, and so the most wanted model is better
// loaded with few others beside it. It answers many engines without copies at once.
type storeLimiter struct {
	// limit is how many loads may run at once, maxLimit what it may grow to.
	limit, maxLimit int
	// overload is the least number that was too much, at when that was seen.
	overload   int
	overloadAt time.Duration
	// servicePerLoad is the time that one load would have had the store to itself since the
	// start, where all loads in progress servicePerLoad it equally.
	servicePerLoad time.Duration
	// running loads have shared the store since the time at.
	running   int
	updatedAt time.Duration
}

func newStoreLimiter(maxLimit int) storeLimiter {
	return storeLimiter{limit: max(1, min(initialStoreLimit, maxLimit)), maxLimit: maxLimit}
}

// storeLoad is a load from the weight store that an engine carries out.
type storeLoad struct {
	// usual is how long it takes at full speed.
	usual time.Duration
	// began is when it began, serviceAtStart what the store's serviceAtStart was then.
	began, serviceAtStart time.Duration
}

// setConcurrency takes note of how many loads are in progress from now on.
func (s *storeLimiter) setConcurrency(running int, now time.Duration) {
	if s.running > 0 {
		s.servicePerLoad += (now - s.updatedAt) / time.Duration(s.running)
	}
	s.running, s.updatedAt = running, now
}

// loadStarted starts a load.
func (s *storeLimiter) loadStarted(usual, now time.Duration) *storeLoad {
	s.setConcurrency(s.running+1, now)
	return &storeLoad{usual: usual, began: now, serviceAtStart: s.servicePerLoad}
}

// loadFinished learns from a load that has ended.
func (s *storeLimiter) loadFinished(l *storeLoad, now time.Duration) {
	s.setConcurrency(max(0, s.running-1), now)
	if s.checkLate(l, now) {
		return
	}
	maxLimit := s.maxLimit
	if s.overload > 0 && now-s.overloadAt < probeInterval {
		maxLimit = min(maxLimit, s.overload-1)
	}
	// As many as ran beside it had full speed, so twice as many are tried.
	s.limit = max(s.limit, min(maxLimit, 2*int(math.Round(s.meanConcurrency(l, now)))))
}

// checkLate learns from a load that has taken longer than usual, and reports whether it
// has. The load may still be in progress.
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

// meanConcurrency is how many loads shared the store with a load, on average and with itself.
func (s *storeLimiter) meanConcurrency(l *storeLoad, now time.Duration) float64 {
	return (now - l.began).Seconds() / max(s.servicePerLoad-l.serviceAtStart, time.Millisecond).Seconds()
}

// expectedDuration is how long a load takes that usually takes the given time, if as many
// run beside it as do now.
func (s *storeLimiter) expectedDuration(usual time.Duration, running int) time.Duration {
	if running <= s.limit {
		return usual
	}
	return usual * time.Duration(running) / time.Duration(s.limit)
}
