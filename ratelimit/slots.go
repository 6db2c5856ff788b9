package ratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// SlotWant is what a node asks for, and has, of the slots of one upstream.
type SlotWant struct {
	Upstream fleet.Incarnation `json:"u"`
	// Waiting is the number of calls that wait for a slot. Taken is the number of the node's calls that
	// run there, and of slots that were granted and that no call has taken yet.
	Waiting int `json:"w,omitempty"`
	Taken   int `json:"t,omitempty"`
	// Places is the number of calls that the upstream can run at once, as far as the node knows of fewer than
	// its slots; zero otherwise.
	Places int `json:"p,omitempty"`
}

// Brittle is what the leader says of a service whose upstreams fall over if they turn too many calls away.
type Brittle struct {
	// PerSecond is the number of calls a second that each upstream can turn away.
	PerSecond float64 `json:"n"`
	// SlotsGranted is set if nodes may send these upstreams only calls for which the leader grants a slot.
	SlotsGranted bool `json:"g,omitempty"`
}

const (
	// slotReportTTL is how long what a node says of the slots that it has taken counts without another report.
	slotReportTTL = 2 * time.Second
	// brittleTTL is how long a service counts as brittle after a node last said so.
	brittleTTL = 2 * time.Second
	// slotSurveyTime is how long nodes report the slots that they have taken before any is granted. It covers
	// the time until all nodes know that the service is brittle, and a report of theirs.
	slotSurveyTime = 1500 * time.Millisecond
	// leaderSurveyTime is the least time from the beginning of a leader's term to that, in which all nodes find
	// the leader.
	leaderSurveyTime = 3 * time.Second
	// firstGrantDelay is the time from the word that slots are granted to the first grant. It covers the way of
	// the word and the next report of the nodes, which send calls without a grant until they have heard it.
	firstGrantDelay = 600 * time.Millisecond
)

// Slots hands out the free slots of brittle upstreams to the nodes that send them calls, so that all of
// them together never send more than an upstream takes at once. It belongs to one leader.
//
// Load pattern: many nodes, each with few calls for a few upstreams that must not turn calls away. What a
// node sees as free, all the others see too. A granted slot counts as taken until its node says
// otherwise; nodes report several times a second.
type Slots struct {
	began    time.Duration
	services map[string]brittleService
	// told is what Services last returned, and revision counts its changes.
	told     map[string]Brittle
	revision uint64
	// taken holds the slots that nodes have taken, by upstream and node, and reports the latest report of
	// each node.
	taken   map[fleet.Incarnation]map[string]takenSlots
	reports map[string]slotReport
	// expireAt is when old reports are dropped next.
	expireAt time.Duration
}

// slotReport tells of which upstreams a node has said something, and until when that counts.
type slotReport struct {
	upstreams []fleet.Incarnation
	until     time.Duration
}

type brittleService struct {
	perSecond    float64
	since, until time.Duration
}

// takenSlots is what a node said of an upstream in its latest report.
type takenSlots struct{ slots, places int }

// NewSlots returns an allocator for a leader's term that begins at now, which knows of no brittle service.
func NewSlots(now time.Duration) *Slots {
	return &Slots{
		began: now, services: map[string]brittleService{}, taken: map[fleet.Incarnation]map[string]takenSlots{}, reports: map[string]slotReport{},
	}
}

// ObserveBrittle records a node's word that each upstream of a service can turn away so many calls a second.
// It reports whether that is new.
func (s *Slots) ObserveBrittle(service string, perSecond float64, now time.Duration) bool {
	b, known := s.services[service]
	changed := !known || b.perSecond != perSecond
	if !known {
		b.since = now
	}
	b.perSecond, b.until = perSecond, now+brittleTTL
	s.services[service] = b
	return changed
}

// Expire removes the services that no node calls brittle any more, and returns them.
func (s *Slots) Expire(now time.Duration) []string {
	var ended []string
	for service, b := range s.services {
		if b.until <= now {
			ended = append(ended, service)
			delete(s.services, service)
		}
	}
	slices.Sort(ended)
	return ended
}

// Services returns the brittle services for the nodes, and a number that counts its changes in this term.
func (s *Slots) Services(now time.Duration) (services map[string]Brittle, revision uint64) {
	services = map[string]Brittle{}
	for service, b := range s.services {
		services[service] = Brittle{PerSecond: b.perSecond, SlotsGranted: now >= s.surveyedAt(&b)}
	}
	if !maps.Equal(services, s.told) {
		s.told = services
		s.revision++
	}
	return services, s.revision
}

// surveyedAt returns when the slots of a service that are taken are known.
func (s *Slots) surveyedAt(b *brittleService) time.Duration {
	return max(b.since+slotSurveyTime, s.began+leaderSurveyTime)
}

// Grant answers what a node wants. wants replaces all that is known of the slots that the node has taken.
// find returns an upstream; nil if that incarnation does not serve.
func (s *Slots) Grant(node string, wants []SlotWant, find func(fleet.Incarnation) *fleet.Upstream, now time.Duration) []Grant {
	s.expireReports(now)
	s.drop(node)
	report := slotReport{until: now + slotReportTTL}
	var grants []Grant
	for _, w := range wants {
		report.upstreams = append(report.upstreams, w.Upstream)
		if s.taken[w.Upstream] == nil {
			s.taken[w.Upstream] = map[string]takenSlots{}
		}
		s.taken[w.Upstream][node] = takenSlots{w.Taken, w.Places}
		granted := max(0, min(w.Waiting, s.free(w.Upstream, s.slotsOf(find(w.Upstream), now))))
		if granted == 0 {
			continue
		}
		grants = append(grants, Grant{Upstream: w.Upstream, Permits: granted})
		s.taken[w.Upstream][node] = takenSlots{granted + w.Taken, w.Places}
	}
	if len(wants) > 0 {
		s.reports[node] = report
	}
	return grants
}

// slotsOf returns the number of slots of an upstream that may be granted.
func (s *Slots) slotsOf(u *fleet.Upstream, now time.Duration) int {
	if u == nil {
		return 0
	}
	if b, brittle := s.services[u.Service]; !brittle || now < s.surveyedAt(&b)+firstGrantDelay {
		return 0
	}
	return u.Slots
}

// drop forgets what a node said.
func (s *Slots) drop(node string) {
	for _, upstream := range s.reports[node].upstreams {
		delete(s.taken[upstream], node)
		if len(s.taken[upstream]) == 0 {
			delete(s.taken, upstream)
		}
	}
	delete(s.reports, node)
}

// expireReports forgets what nodes said that no longer report.
func (s *Slots) expireReports(now time.Duration) {
	if now < s.expireAt {
		return
	}
	s.expireAt = now + slotReportTTL/4
	for node, report := range s.reports {
		if report.until <= now {
			s.drop(node)
		}
	}
}

// free returns how many of an upstream's slots are free, as far as it can run that many calls. It may be
// negative.
func (s *Slots) free(upstream fleet.Incarnation, slots int) int {
	taken := 0
	for _, t := range s.taken[upstream] {
		taken += t.slots
		if t.places > 0 {
			slots = min(slots, t.places)
		}
	}
	return slots - taken
}
