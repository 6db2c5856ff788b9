package ratelimit

import (
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// TTL is how long a permit is valid, counted from when the node asked for it. A node asks
// several times within it while calls wait.
const TTL = time.Second

// Want is what a node asks for one upstream.
type Want struct {
	Upstream fleet.Incarnation `json:"u"`
	// Priority is that of the most urgent calls that wait for a permit, and Waiting is their
	// number. Zero is the most urgent priority.
	Priority int `json:"p,omitempty"`
	Waiting  int `json:"w,omitempty"`
	// Recent is the number of calls since the node last asked that went to the upstream,
	// or would have with a permit.
	Recent int `json:"r,omitempty"`
}

// Grant is the answer to a Want.
type Grant struct {
	Upstream fleet.Incarnation `json:"u"`
	// Permits is the number of calls that the node may send.
	Permits int `json:"n,omitempty"`
	// In is the expected time until the node's next permit; PerSecond is the rate at which
	// it can expect more from then on.
	In        time.Duration `json:"in,omitempty"`
	PerSecond float64       `json:"ps,omitempty"`
}

// Permits are the permits that a node holds for one upstream. The zero value holds none.
type Permits struct {
	// batches are sorted by the time at which they expire.
	batches []batch
	// nextAt is when the next permit is expected, and perSecond the rate from then on, as
	// the leader said at heardAt; zero if it has not.
	nextAt, heardAt time.Duration
	perSecond       float64
}

type batch struct {
	permits   int
	expiresAt time.Duration
}

// Add adds the permits of a grant that the node asked for at askedAt and received at now.
func (p *Permits) Add(g Grant, askedAt, now time.Duration) {
	p.discardExpired(now)
	if g.Permits > 0 && askedAt+TTL > now {
		p.batches = append(p.batches, batch{g.Permits, askedAt + TTL})
	}
	p.nextAt, p.perSecond, p.heardAt = now+g.In, g.PerSecond, now
}

// Held returns the number of valid permits.
func (p *Permits) Held(now time.Duration) int {
	held := 0
	for _, b := range p.batches {
		if b.expiresAt > now {
			held += b.permits
		}
	}
	return held
}

// Use uses one permit, the one that expires first. It returns false if there is none.
func (p *Permits) Use(now time.Duration) bool {
	p.discardExpired(now)
	if len(p.batches) == 0 {
		return false
	}
	p.batches[0].permits--
	if p.batches[0].permits == 0 {
		p.batches = p.batches[1:]
	}
	return true
}

func (p *Permits) discardExpired(now time.Duration) {
	for len(p.batches) > 0 && p.batches[0].expiresAt <= now {
		p.batches = p.batches[1:]
	}
}

// Expect returns when the permit after the given number of others is expected. Without
// recent word from the leader it takes the whole limit for this node's own.
func (p *Permits) Expect(others int, limit float64, now time.Duration) time.Duration {
	at, perSecond := now, effectiveRate(limit)
	if p.heardAt > 0 && p.perSecond > 0 && now-p.heardAt <= TTL {
		at, perSecond = max(now, p.nextAt), p.perSecond
	}
	return at + seconds(float64(others)/perSecond)
}

// maxWait bounds expected times, so that they can be added to others.
const maxWait = time.Hour

// seconds converts a number of seconds to a duration of at most maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
