package quarantine

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

const (
	// probeAfter is how long an upstream must have been silent before it is probed. Sound upstreams are
	// silent for a second or so at times.
	probeAfter = time.Second
	// suspicionTTL is how long after its attempt a call may count as lost: an upstream that ended without a
	// word is noticed within some seconds, by its missing announcements or by its successor.
	suspicionTTL = 15 * time.Second
	// maxSuspicions bounds what is kept: the calls of a few engines.
	maxSuspicions = 256
)

// Suspicions are the calls of one node whose attempts it ended itself, since their upstreams were silent. Such a
// call counts as lost if its upstream turns out to have ended, and is forgotten once the upstream is heard. The
// zero value holds none.
type Suspicions struct{ pending []suspicion }

// suspicion is one call.
type suspicion struct {
	loss Loss
	// addr is the address of the upstream, and silentSince when it was last heard or the call was sent.
	addr        string
	silentSince time.Duration
	probed      bool
}

// SilentUpstream is an upstream to probe.
type SilentUpstream struct {
	Incarnation fleet.Incarnation
	Addr        string
	// Since is when it was last heard, or the call was sent.
	Since time.Duration
}

// LastRead tells when a byte was last read from an address; zero if none was.
type LastRead func(addr string) time.Duration

// Add records a call whose upstream at addr has been silent since the given time.
func (s *Suspicions) Add(l Loss, addr string, silentSince time.Duration) {
	l.Late = true
	s.pending = append(s.pending, suspicion{loss: l, addr: addr, silentSince: silentSince})
	s.pending = s.pending[max(0, len(s.pending)-maxSuspicions):]
}

// Review forgets the calls whose upstreams were heard since, and those that are too old. It returns the upstreams
// that are to be probed, each once.
func (s *Suspicions) Review(lastRead LastRead, now time.Duration) []SilentUpstream {
	s.forget(lastRead, now)
	var due []SilentUpstream
	for i := range s.pending {
		p := &s.pending[i]
		if p.probed || now-p.silentSince < probeAfter {
			continue
		}
		p.probed = true
		if !slices.ContainsFunc(due, func(u SilentUpstream) bool { return u.Incarnation == p.loss.Engine }) {
			due = append(due, SilentUpstream{Incarnation: p.loss.Engine, Addr: p.addr, Since: p.silentSince})
		}
	}
	return due
}

// Ended removes and returns the calls that were lost with an upstream, which has ended.
func (s *Suspicions) Ended(u fleet.Incarnation, lastRead LastRead, now time.Duration) []Loss {
	s.forget(lastRead, now)
	var lost []Loss
	s.pending = slices.DeleteFunc(s.pending, func(p suspicion) bool {
		if p.loss.Engine != u {
			return false
		}
		lost = append(lost, p.loss)
		return true
	})
	return lost
}

func (s *Suspicions) forget(lastRead LastRead, now time.Duration) {
	s.pending = slices.DeleteFunc(s.pending, func(p suspicion) bool {
		return lastRead(p.addr) > p.silentSince || now-p.silentSince > suspicionTTL
	})
}
