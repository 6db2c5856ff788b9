package confstate_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
)

func depart(id string, born int64, gone bool) confstate.Command {
	return confstate.Command{Depart: &confstate.Departure{Upstream: fleet.Incarnation{ID: id, Born: born}, Gone: gone}}
}

// TestLaterDepartureStays has departures of one upstream arrive in any order.
func TestLaterDepartureStays(t *testing.T) {
	is := is.New(t)
	s := confstate.New()
	s.Apply(1, depart("u", 2, false))
	s.Apply(2, depart("u", 2, true))
	s.Apply(3, depart("u", 2, false)) // a late word of its draining
	s.Apply(4, depart("u", 1, true))  // of an earlier incarnation
	is.Equal(s.Departures["u"], confstate.Departure{Upstream: fleet.Incarnation{ID: "u", Born: 2}, Gone: true, Index: 2})
	s.Apply(5, depart("u", 3, false))
	is.Equal(s.Departures["u"].Upstream.Born, int64(3))
	is.True(!s.Departures["u"].Gone)
}

func TestLatestDeparturesAreKept(t *testing.T) {
	is := is.New(t)
	s := confstate.New()
	const all, kept = 3000, 1024
	for i := range all {
		s.Apply(uint64(i+1), depart(fmt.Sprint(i), 1, true))
	}
	is.Equal(len(s.Departures), kept)
	for i := all - kept; i < all; i++ {
		is.True(s.Departures[fmt.Sprint(i)].Gone)
	}
	data, err := s.Marshal()
	is.NoErr(err)
	restored, err := confstate.Unmarshal(data)
	is.NoErr(err)
	is.Equal(restored.Departures, s.Departures)
}

// TestStateOfBuildsWithoutDepartures restores a snapshot of 7f3b68b.
func TestStateOfBuildsWithoutDepartures(t *testing.T) {
	is := is.New(t)
	s, err := confstate.Unmarshal([]byte(`{"version":7,"members":{},"orderer":{"node":"n","fence":3},"streams":null}`))
	is.NoErr(err)
	s.Apply(9, depart("u", 1, true))
	is.True(s.Departures["u"].Gone)
}
