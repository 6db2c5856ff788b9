package dispatch

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateslip/agateslip/fleet"
)

// Limits are the thresholds of a dispatcher.
type Limits struct {
	// ForecastAge is how long a forecast decides.
	ForecastAge time.Duration
	// Backoff is the first pause after an upstream failed a call, MaxBackoff the
	// longest.
	Backoff, MaxBackoff time.Duration
	// FullPause is the pause after an upstream said that it is full.
	FullPause time.Duration
	// LoadAge is how long the calls of other nodes are assumed to go on that an
	// upstream's stated load showed; about the time of a call.
	LoadAge time.Duration
	// RemotePenalty is how much of an upstream's slots it is worth to stay in the
	// failure domain.
	RemotePenalty float64
	// AffinityBonus is how much of an upstream's slots it is worth to go where the
	// beginning of the prompt is cached.
	AffinityBonus float64
	// FailurePenalty is how much of an upstream's slots a certain failure is
	// worth.
	FailurePenalty float64
	// Hold is the share of the time until a call must have started for which it
	// waits without a forecast.
	Hold float64
	// RetryAfter is the pause asked of callers where nothing better is known.
	RetryAfter time.Duration
}

// DefaultLimits are the limits of a node with about ten others beside it.
func DefaultLimits() Limits {
	return Limits{
		ForecastAge:    2 * time.Second,
		Backoff:        200 * time.Millisecond,
		MaxBackoff:     3 * time.Second,
		FullPause:      100 * time.Millisecond,
		LoadAge:        2 * time.Second,
		RemotePenalty:  0.02,
		AffinityBonus:  0.05,
		FailurePenalty: 2,
		Hold:           0.5,
		RetryAfter:     500 * time.Millisecond,
	}
}

// upstream is what this node knows of an upstream.
type upstream struct {
	desc *fleet.Upstream
	// own is how many calls of this node run there.
	own int
	// others is how many calls of other nodes it had when it last stated its load.
	others   int
	observed time.Duration
	// counted is how many calls of other nodes the planner counted.
	counted int
	slots   int
	// failing was the share of calls that failed, 0 to 1, at the time failedAt.
	failing  float64
	failedAt time.Duration
	// streak counts lost calls, unreached failures to connect, since its latest
	// answer.
	streak, unreached int
	// trial says that a call tries whether it answers again; others wait for its
	// outcome.
	trial bool
	// closed is until when it gets no calls, and absent until when it gets none
	// for a model that it turned out not to hold.
	closed time.Duration
	absent map[Key]time.Duration
}

func byID(a, b *upstream) int { return cmp.Compare(a.desc.ID, b.desc.ID) }

// failureWeight is the weight of the latest call in the share of failures: about
// ten calls decide.
const failureWeight = 0.1

// failureMemory is the time constant with which failures fade; a restart takes
// about as long.
const failureMemory = 4 * time.Second

// answered takes note that a call's answer has begun.
func (u *upstream) answered() { u.streak, u.unreached, u.trial = 0, 0, false }

// settle takes the outcome of a call.
func (u *upstream) settle(l *Limits, c *Call, result Result, now time.Duration) {
	failed := 0.0
	u.trial = false
	switch result {
	case Served:
		u.streak, u.unreached = 0, 0
	case Abandoned:
		return
	case Rejected:
		u.closed = max(u.closed, now+l.FullPause)
		return
	case Missing:
		if u.absent == nil {
			u.absent = map[Key]time.Duration{}
		}
		u.absent[Key{c.Service, c.Model, c.Adapter}] = now + l.Backoff
		return
	case Failed:
		failed = 1
	case Lost:
		failed = 1
		u.streak++
		if u.streak >= lossesInARow {
			u.pause(l, u.streak-lossesInARow, now)
		}
	case Unreachable:
		failed = 1
		u.unreached++
		u.pause(l, u.unreached-1, now)
	}
	recent := u.failures(now)
	u.failing, u.failedAt = recent+(failed-recent)*failureWeight, now
}

// lossesInARow is after how many lost calls, with no answer between, an upstream
// is left alone; one alone may be the call's own misfortune.
const lossesInARow = 2

// pause leaves the upstream alone, for longer each time.
func (u *upstream) pause(l *Limits, times int, now time.Duration) {
	u.closed = max(u.closed, now+min(l.Backoff<<min(times, 8), l.MaxBackoff))
}

// failures is the recent share of calls that failed. It fades with time, so that
// an upstream that gets no calls any more is tried again.
func (u *upstream) failures(now time.Duration) float64 {
	return u.failing * math.Exp(-float64(now-u.failedAt)/float64(failureMemory))
}

// room is the number of slots.
func (u *upstream) room() int {
	if u.slots > 0 {
		return u.slots
	}
	return max(1, u.desc.Slots)
}

// load is about how many calls the upstream has.
func (u *upstream) load(l *Limits, now time.Duration) float64 {
	age := now - u.observed
	if age >= l.LoadAge || u.others == 0 {
		return float64(u.own)
	}
	left := 1 - float64(age)/float64(l.LoadAge)
	return float64(u.own) + float64(u.others)*left
}

// crowd is about how many calls the upstream has, by all that is known.
func (d *Dispatcher) crowd(u *upstream, load float64, now time.Duration) float64 {
	if u.counted == 0 || now-d.countedAt >= d.limits.LoadAge {
		return load
	}
	return max(load, float64(u.own+u.counted))
}

// offers reports whether the upstream may run a call at all.
func (u *upstream) offers(c *Call, now time.Duration) bool {
	if u.desc.Leaving || slices.Contains(c.Avoid, u.desc.ID) {
		return false
	}
	if c.Model == "" {
		return true
	}
	if !u.desc.Holds(c.Model, c.Adapter) || u.desc.Closes(c.Model, c.Adapter) {
		return false
	}
	return u.absent[Key{c.Service, c.Model, c.Adapter}] <= now
}

// choice is the outcome of looking for an upstream.
type choice uint8

const (
	chosen choice = iota
	// full means that there are upstreams, all without room at present.
	full
	// missing means that there are upstreams, none of which offers the model.
	missing
	// none means that there is no upstream.
	none
)

// choose finds the upstream with the lowest cost for a call.
func (d *Dispatcher) choose(c *Call, now time.Duration) (*upstream, choice) {
	var best *upstream
	bestCost := 0.0
	outcome := none
	for _, u := range d.byService[c.Service] {
		if u.desc.Leaving {
			continue
		}
		if !u.offers(c, now) {
			if outcome == none {
				outcome = missing
			}
			continue
		}
		if outcome != chosen {
			outcome = full
		}
		load := u.load(&d.limits, now)
		if u.closed > now || u.trial || load >= float64(u.room()) {
			continue
		}
		cost := d.cost(u, c, load, now)
		if best == nil || cost < bestCost {
			best, bestCost, outcome = u, cost, chosen
		}
	}
	return best, outcome
}

// evenShare spreads calls over upstreams of equal load, in shares of their slots:
// less than one call counts.
const evenShare = 0.01

// cost compares upstreams that have room, in shares of their slots.
func (d *Dispatcher) cost(u *upstream, c *Call, load float64, now time.Duration) float64 {
	cost := d.crowd(u, load, now)/float64(u.room()) + u.failures(now)*d.limits.FailurePenalty
	cost += evenShare * affinity(uint64(c.Token), u.desc.ID)
	if u.desc.Domain != d.domain {
		cost += d.limits.RemotePenalty
	}
	if c.Affinity != 0 {
		cost -= d.limits.AffinityBonus * affinity(c.Affinity, u.desc.ID)
	}
	return cost
}

// affinity is a number from 0 to 1 that is the same on all nodes, so that calls
// that share something meet at the upstreams where it is highest.
func affinity(hash uint64, id string) float64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], hash)
	digest := xxhash.New()
	_, _ = digest.Write(buf[:])
	_, _ = digest.WriteString(id)
	return float64(digest.Sum64()>>11) / (1 << 53)
}
