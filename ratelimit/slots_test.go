package ratelimit_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/ratelimit"
)

// slotsOfOne are the slots of a brittle upstream with three of them.
type slotsOfOne struct{ *ratelimit.Slots }

func newSlotsOfOne(now time.Duration) slotsOfOne {
	s := slotsOfOne{ratelimit.NewSlots(now - time.Minute)}
	s.ObserveBrittle("llm", 4, now)
	return s
}

// ask returns the number of slots that a node gets.
func (s slotsOfOne) ask(node string, waiting, taken int, now time.Duration) int {
	i := fleet.Incarnation{ID: "u", Born: 1}
	find := func(fleet.Incarnation) *fleet.Upstream {
		return &fleet.Upstream{ID: "u", Born: 1, Service: "llm", Slots: 3}
	}
	total := 0
	for _, g := range s.Grant(node, []ratelimit.SlotWant{{Upstream: i, Waiting: waiting, Taken: taken}}, find, now) {
		total += g.Permits
	}
	return total
}

// TestSlotsAreGrantedOnce follows three slots of an upstream through the reports of nodes.
func TestSlotsAreGrantedOnce(t *testing.T) {
	is := is.New(t)
	s := newSlotsOfOne(0)
	const second, start = time.Second, 3 * time.Second
	is.Equal(s.ask("a", 2, 0, start), 2)
	is.Equal(s.ask("b", 2, 0, start), 1)
	is.Equal(s.ask("c", 1, 0, start), 0)
	is.Equal(s.ask("a", 3, 2, start+second), 0)
	is.Equal(s.ask("a", 0, 1, start+second), 0) // one of its calls has ended
	is.Equal(s.ask("c", 2, 0, start+second), 1)
	is.Equal(s.ask("c", 1, 1, start+2*second), 1) // b no longer reports
	is.Equal(s.ask("b", 1, 3, start+2*second), 0) // it does, with more than it was granted
	is.Equal(len(s.Grant("b", nil, nil, start+2*second)), 0)
	is.Equal(s.ask("c", 1, 1, start+2*second), 1)
}

// TestSlotsAreSurveyedBeforeTheyAreGranted has a leader hear of slots that nodes have taken before, and tell
// that it grants slots before it does.
func TestSlotsAreSurveyedBeforeTheyAreGranted(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	s := newSlotsOfOne(0)
	told := func(now time.Duration) (bool, uint64) {
		services, revision := s.Services(now)
		is.Equal(services["llm"].PerSecond, 4.0)
		return services["llm"].SlotsGranted, revision
	}
	granted, first := told(1400 * ms)
	is.True(!granted)
	is.Equal(s.ask("a", 1, 0, 0), 0)
	is.Equal(s.ask("b", 0, 2, 1400*ms), 0)
	granted, second := told(1500 * ms)
	is.True(granted && second > first)
	is.Equal(s.ask("a", 2, 0, 2000*ms), 0)
	is.Equal(s.ask("b", 0, 2, 2000*ms), 0)
	is.Equal(s.ask("a", 2, 0, 2100*ms), 1)
	_, third := told(2100 * ms)
	is.Equal(third, second)
}

// TestNewLeaderGrantsSlotsOnceAllNodesCanHaveFoundIt has a node report a brittle service right after an election.
func TestNewLeaderGrantsSlotsOnceAllNodesCanHaveFoundIt(t *testing.T) {
	is := is.New(t)
	s := slotsOfOne{ratelimit.NewSlots(time.Minute)}
	for now := time.Minute; now <= time.Minute+3500*time.Millisecond; now += 250 * time.Millisecond {
		s.ObserveBrittle("llm", 4, now)
		is.Equal(s.ask("a", 1, 0, now), 0)
	}
	is.Equal(s.ask("a", 1, 0, time.Minute+3600*time.Millisecond), 1)
}

func TestBrittleServiceExpires(t *testing.T) {
	is := is.New(t)
	s := newSlotsOfOne(0)
	is.True(!s.ObserveBrittle("llm", 4, time.Second))
	is.True(s.ObserveBrittle("llm", 2, time.Second))
	is.Equal(len(s.Expire(2*time.Second)), 0)
	is.Equal(s.Expire(3*time.Second), []string{"llm"})
	services, _ := s.Services(3 * time.Second)
	is.Equal(len(services), 0)
	is.Equal(s.ask("a", 1, 0, 3*time.Second), 0)
}

// BenchmarkSlots answers the report of one of 370 nodes before 3,000 brittle upstreams, which has eight calls and
// wants slots for two.
func BenchmarkSlots(b *testing.B) {
	const nodes, upstreams, taken, waiting = 370, 3000, 8, 2
	s := ratelimit.NewSlots(-time.Minute)
	s.ObserveBrittle("llm", 4, 0)
	u := fleet.Upstream{Service: "llm", Slots: 12}
	find := func(fleet.Incarnation) *fleet.Upstream { return &u }
	report := func(node int, now time.Duration) {
		var wants []ratelimit.SlotWant
		for i := range taken {
			w := ratelimit.SlotWant{Upstream: fleet.Incarnation{ID: strconv.Itoa((node*taken + i*401) % upstreams)}, Taken: 1}
			if i < waiting {
				w.Waiting = 1
			}
			wants = append(wants, w)
		}
		s.Grant(strconv.Itoa(node), wants, find, now)
	}
	now := 3 * time.Second
	for i := 0; b.Loop(); i++ {
		now += 150 * time.Millisecond / nodes
		report(i%nodes, now)
	}
}
