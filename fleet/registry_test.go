package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
)

const second = time.Second

func newRegistry() *fleet.Registry {
	return fleet.NewRegistry(fleet.Timeouts{Silence: 6 * second, Tombstone: 60 * second})
}

func upstream(id, addr string, born int64, seq uint64) fleet.Upstream {
	return fleet.Upstream{ID: id, Addr: addr, Born: born, Seq: seq, Service: "s"}
}

// TestStaleAnnouncements checks that late announcements of the same or an earlier
// incarnation change nothing.
func TestStaleAnnouncements(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	leaving := upstream("u", "a:1", 5, 9)
	leaving.Leaving = true
	is.Equal(r.Announce(leaving, 0), fleet.Taken)
	is.Equal(r.Announce(upstream("u", "a:1", 5, 8), second), fleet.Stale)  // an earlier announcement
	is.Equal(r.Announce(upstream("u", "a:1", 4, 50), second), fleet.Stale) // an earlier incarnation
	got, ok := r.Get("u")
	is.True(ok && got.Leaving)
	is.Equal(r.Announce(upstream("u", "a:1", 6, 1), second), fleet.Taken) // the next incarnation
	got, _ = r.Get("u")
	is.True(!got.Leaving)
}

// TestIncarnationKeepsItsSoftware has later announcements of one incarnation name no version of its software, or
// another one. Streams that began there must not be taken for those of another version.
func TestIncarnationKeepsItsSoftware(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	announce := func(born int64, seq uint64, software string) fleet.Outcome {
		u := upstream("u", "a:1", born, seq)
		u.Software = software
		return r.Announce(u, 0)
	}
	software := func() string {
		u, ok := r.Get("u")
		is.True(ok)
		return u.Software
	}
	is.Equal(announce(5, 1, "v1"), fleet.Taken)
	announce(5, 2, "")
	is.Equal(software(), "v1")
	is.Equal(announce(5, 3, "v2"), fleet.Stale)
	is.Equal(software(), "v1")
	is.Equal(announce(6, 1, "v2"), fleet.Taken)
	is.Equal(software(), "v2")
}

// TestNewerUpstreamTakesAddress checks that an upstream at a used address ends the older
// one there, whose late announcements do not end the newer one.
func TestNewerUpstreamTakesAddress(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	r.Announce(upstream("old", "a:1", 5, 3), 0)
	is.Equal(r.Announce(upstream("new", "a:1", 7, 1), second), fleet.Taken)
	_, ok := r.Get("old")
	is.True(!ok)
	is.Equal(r.Announce(upstream("old", "a:1", 5, 4), 2*second), fleet.Stale) // delayed in the network
	_, ok = r.Get("new")
	is.True(ok)
}

// TestVacatedAddressIsReusable checks that an older upstream can take an address that a
// newer one has moved away from, without either being marked as gone.
func TestVacatedAddressIsReusable(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	r.Announce(upstream("moved", "a:1", 7, 1), 0)
	r.Announce(upstream("moved", "a:2", 7, 2), second)
	is.Equal(r.Announce(upstream("next", "a:1", 5, 1), 2*second), fleet.Taken)
	is.Equal(len(r.Live()), 2)
}

// TestLeftStaysGoneSilentReturns checks that an incarnation that left stays gone, while one
// that fell silent returns with its next announcement.
func TestLeftStaysGoneSilentReturns(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	r.Announce(upstream("left", "a:1", 1, 1), 0)
	r.Announce(upstream("silent", "a:2", 1, 1), 0)
	is.Equal(r.Leave("left", 1, second), fleet.Taken)
	is.Equal(r.Announce(upstream("left", "a:1", 1, 2), second), fleet.Stale)
	is.Equal(r.Expire(7*second), []string{"silent"})
	is.Equal(len(r.Live()), 0)
	is.Equal(r.Announce(upstream("silent", "a:2", 1, 2), 8*second), fleet.Taken)
	is.Equal(len(r.Live()), 1)
}

// TestLeavingIsFinal checks that an upstream that entry nodes report as leaving is not
// brought back by announcements of the same incarnation that do not say so.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	r.Announce(upstream("u", "a:1", 5, 3), 0)
	is.True(!r.MarkLeaving("u", 4)) // another incarnation
	is.True(!r.MarkLeaving("other", 5))
	before := r.Revision()
	is.True(r.MarkLeaving("u", 5))
	is.True(!r.MarkLeaving("u", 5))
	is.Equal(r.Revision(), before+1)
	is.Equal(r.Announce(upstream("u", "a:1", 5, 4), second), fleet.Taken)
	got, _ := r.Get("u")
	is.True(got.Leaving)
	is.Equal(r.Announce(upstream("u", "a:1", 6, 1), 2*second), fleet.Taken)
	got, _ = r.Get("u")
	is.True(!got.Leaving)
}

// TestSilentUpstreamThatLeavesStaysGone checks that an upstream that fell silent and then
// left is not brought back by an announcement from before it left, in the registry that
// received the departure and in one that learned of it.
func TestSilentUpstreamThatLeavesStaysGone(t *testing.T) {
	is := is.New(t)
	r, other := newRegistry(), newRegistry()
	for _, registry := range []*fleet.Registry{r, other} {
		registry.Announce(upstream("u", "a:1", 5, 3), 0)
		is.Equal(registry.Expire(7*second), []string{"u"})
	}
	is.Equal(r.Leave("u", 5, 8*second), fleet.Taken)
	is.Equal(r.Announce(upstream("u", "a:1", 5, 4), 9*second), fleet.Stale)
	other.Merge(r.Since(0), 9*second)
	is.Equal(other.Announce(upstream("u", "a:1", 5, 4), 9*second), fleet.Stale)
}

// TestLeaveBeforeAnnounce checks that a departure is remembered if it arrives before the
// incarnation's first announcement.
func TestLeaveBeforeAnnounce(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	r.Leave("u", 3, 0)
	is.Equal(r.Announce(upstream("u", "a:1", 3, 2), second), fleet.Stale)
	is.Equal(r.Announce(upstream("u", "a:1", 4, 1), second), fleet.Taken)
}

// TestRevisionCountsOnlyChanges checks that an announcement without news gets no revision,
// so that it is not sent to copies of the registry.
func TestRevisionCountsOnlyChanges(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	r.Announce(upstream("u", "a:1", 1, 1), 0)
	at := r.Revision()
	r.Announce(upstream("u", "a:1", 1, 2), second)
	is.Equal(r.Revision(), at)
	is.Equal(len(r.Since(at)), 0)
	u := upstream("u", "a:1", 1, 3)
	u.Residents = []fleet.Resident{{Model: "m"}}
	r.Announce(u, second)
	is.Equal(len(r.Since(at)), 1)
}

// TestMergeKeepsNewerState checks that announcements older than the state merged from
// another registry stay stale, as when a new leader takes over.
func TestMergeKeepsNewerState(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	gone := upstream("g", "a:1", 1, 4)
	gone.Gone = true
	r.Merge([]fleet.Upstream{gone, upstream("u", "a:2", 1, 4)}, 0)
	is.Equal(r.Announce(upstream("g", "a:1", 1, 5), second), fleet.Stale)
	is.Equal(r.Announce(upstream("u", "a:2", 1, 3), second), fleet.Stale)
	is.Equal(len(r.Live()), 1)
}
