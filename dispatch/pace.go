package dispatch

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of the latest statement in the moving average of an upstream's pace.
	paceWeight = 0.5
	// paceDecayTime is the time constant with which a statement loses its weight: the neighbours on an upstream's
	// machine change several times a second.
	paceDecayTime = 500 * time.Millisecond
	// minPace and maxPace bound what an upstream can state, so that one does not draw or repel all calls.
	minPace, maxPace = 0.5, 4
)

// observePace records how long work takes at an upstream, as a multiple of the usual.
//
// It answers this load pattern: upstreams share their machines with others, which slow them down for moments. Calls
// go rather to upstreams that are not slowed down, as far as that is known; the average and its decay keep nodes
// from following each change to the same upstream.
func (u *upstream) observePace(pace float64, now time.Duration) {
	if !(pace > 0) {
		return
	}
	recent := u.recentPace(now)
	u.pace, u.paceAt = recent+(min(max(pace, minPace), maxPace)-recent)*paceWeight, now
}

// recentPace returns the average pace of an upstream; it tends to 1, the usual one, without news.
func (u *upstream) recentPace(now time.Duration) float64 {
	if u.pace == 0 {
		return 1
	}
	return 1 + (u.pace-1)*math.Exp(-float64(now-u.paceAt)/float64(paceDecayTime))
}
