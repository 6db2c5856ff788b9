package residency

import (
	"math"
	"time"
)

const (
	// firstWidth is how many loads run at once before any has ended: one alone tells
	// nothing of the store, and beside many a slow store shows late.
	firstWidth = 2
	// onTime is up to how many times its usual length a load from the weight store
	// counts as one at full speed; five loads where four have full speed take 1.25
	// times as long.
	onTime = 1.15
	// sharing is how many loads must have run at once, on average, before a late one
	// is laid to the others: a load on its own may be late for other reasons.
	sharing = 1.25
	// probeAfter is for how long a width that was too much is not tried again. A
	// probe that fails costs each load in progress a fifth of its time.
	probeAfter = time.Minute
)

// storePace learns how many loads the weight store carries at full speed: beyond
// that each takes longer in proportion, and so the most wanted model is better
// loaded with few others beside it. It answers many engines without copies at once.
type storePace struct {
	// width is how many loads may run at once, most what it may grow to.
	width, most int
	// tooWide is the least number that was too much, at when that was seen.
	tooWide   int
	tooWideAt time.Duration
	// share is the time that one load would have had the store to itself since the
	// start, where all loads in progress share it equally.
	share time.Duration
	// running loads have shared the store since the time at.
	running int
	at      time.Duration
}

func newStorePace(most int) storePace {
	return storePace{width: max(1, min(firstWidth, most)), most: most}
}

// storeLoad is a load from the weight store that an engine carries out.
type storeLoad struct {
	// usual is how long it takes at full speed.
	usual time.Duration
	// began is when it began, share what the store's share was then.
	began, share time.Duration
}

// advance takes note of how many loads are in progress from now on.
func (s *storePace) advance(running int, now time.Duration) {
	if s.running > 0 {
		s.share += (now - s.at) / time.Duration(s.running)
	}
	s.running, s.at = running, now
}

// begin starts a load.
func (s *storePace) begin(usual, now time.Duration) *storeLoad {
	s.advance(s.running+1, now)
	return &storeLoad{usual: usual, began: now, share: s.share}
}

// finished learns from a load that has ended.
func (s *storePace) finished(l *storeLoad, now time.Duration) {
	s.advance(max(0, s.running-1), now)
	if s.late(l, now) {
		return
	}
	most := s.most
	if s.tooWide > 0 && now-s.tooWideAt < probeAfter {
		most = min(most, s.tooWide-1)
	}
	// As many as ran beside it had full speed, so twice as many are tried.
	s.width = max(s.width, min(most, 2*int(math.Round(s.beside(l, now)))))
}

// late learns from a load that has taken longer than usual, and reports whether it
// has. The load may still be in progress.
func (s *storePace) late(l *storeLoad, now time.Duration) bool {
	s.advance(s.running, now)
	if (now - l.began).Seconds() <= onTime*l.usual.Seconds() {
		return false
	}
	beside := s.beside(l, now)
	if beside < sharing {
		return true
	}
	carried := max(1, int(math.Round(l.usual.Seconds()/(s.share-l.share).Seconds())))
	if carried < int(math.Round(beside)) {
		s.width = min(s.width, carried)
		s.tooWide, s.tooWideAt = carried+1, now
	}
	return true
}

// beside is how many loads shared the store with a load, on average and with itself.
func (s *storePace) beside(l *storeLoad, now time.Duration) float64 {
	return (now - l.began).Seconds() / max(s.share-l.share, time.Millisecond).Seconds()
}

// duration is how long a load takes that usually takes the given time, if as many
// run beside it as do now.
func (s *storePace) duration(usual time.Duration, running int) time.Duration {
	if running <= s.width {
		return usual
	}
	return usual * time.Duration(running) / time.Duration(s.width)
}
