package directory

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

func announcement(id string, incarnation, seq uint64) Announcement {
	return Announcement{ID: id, Incarnation: incarnation, Seq: seq, Addr: "127.0.0.1:1", Kind: Engine}
}

func eventKinds(events []Event) []EventKind {
	var k []EventKind
	for _, e := range events {
		k = append(k, e.Kind)
	}
	return k
}

func TestOutcomes(t *testing.T) {
	is := is.New(t)
	d := New(0)
	is.Equal(d.Apply(announcement("a", 2, 5), 0), Accepted)
	is.Equal(d.Apply(announcement("a", 2, 5), 0), Duplicate)
	is.Equal(d.Apply(announcement("a", 2, 4), 0), StaleSequence)
	is.Equal(d.Apply(announcement("a", 1, 9), 0), StaleIncarnation)
	is.Equal(d.Apply(announcement("", 1, 9), 0), Invalid)
	is.Equal(d.Apply(announcement("a", 3, 1), 0), Accepted)
	is.Equal(d.TakeEvents(), []Event{
		{Joined, "a", 2}, {Gone, "a", 2}, {Joined, "a", 3},
	})
	d.Remove("a", 3)
	is.Equal(d.Apply(announcement("a", 3, 2), 0), StaleIncarnation)
	is.Equal(d.Apply(announcement("a", 4, 1), 0), Accepted)
	is.Equal(eventKinds(d.TakeEvents()), []EventKind{Gone, Joined})
}

func TestSilentUpstreamReturns(t *testing.T) {
	is := is.New(t)
	d := New(2 * time.Second)
	d.Apply(announcement("a", 1, 1), 0)
	d.TakeEvents()
	d.Expire(2 * time.Second)
	is.Equal(len(d.TakeEvents()), 0)
	d.Expire(2*time.Second + 1)
	d.Expire(3 * time.Second)
	is.Equal(eventKinds(d.TakeEvents()), []EventKind{Silent})
	v, ok := d.Get("a", 3*time.Second)
	is.True(ok && v.Silent && !v.AcceptsWork())
	// An announcement whose age exceeds the TTL does not end the silence.
	old := Relayed{Announcement: announcement("a", 1, 2), Age: 2500 * time.Millisecond}
	is.Equal(d.ApplyRelayed(old, 3*time.Second), Accepted)
	is.Equal(len(d.TakeEvents()), 0)
	d.Apply(announcement("a", 1, 3), 4*time.Second)
	is.Equal(eventKinds(d.TakeEvents()), []EventKind{Returned})
	d.MarkSilent("a", 2)
	is.Equal(len(d.TakeEvents()), 0)
	d.MarkSilent("a", 1)
	is.Equal(eventKinds(d.TakeEvents()), []EventKind{Silent})
}

// TestRelayedCopiesDoNotRefresh guards against a dead upstream that is kept alive because
// peers keep forwarding its last announcement to each other.
func TestRelayedCopiesDoNotRefresh(t *testing.T) {
	is := is.New(t)
	const transit = 100 * time.Millisecond
	peers := [2]*Directory{New(2 * time.Second), New(2 * time.Second)}
	peers[0].Apply(announcement("a", 1, 1), 0)
	for i := range 40 {
		now := time.Duration(i) * transit
		newer := peers[i%2].NewerThan(nil, now)
		peers[(i+1)%2].ApplyRelayed(newer[0], now+transit)
	}
	for _, d := range peers {
		d.Expire(3 * time.Second)
		is.Equal(eventKinds(d.TakeEvents()), []EventKind{Joined, Silent})
	}
}

func TestLeavingPersistsWithinIncarnation(t *testing.T) {
	is := is.New(t)
	d := New(0)
	leaving := announcement("a", 1, 1)
	leaving.Leaving = true
	d.Apply(announcement("a", 1, 2), 0)
	is.Equal(d.Apply(leaving, 0), StaleSequence)
	d.Apply(announcement("a", 1, 3), 0)
	v, _ := d.Get("a", 0)
	is.True(v.Announcement.Leaving)
	is.Equal(eventKinds(d.TakeEvents()), []EventKind{Joined, Leaving})
	d.Apply(announcement("a", 2, 1), 0)
	v, _ = d.Get("a", 0)
	is.True(v.AcceptsWork())
}

// TestMergeIsOrderIndependent applies the same announcements to two directories in
// different orders, and brings a third one up to date from a digest. All must hold the
// same state.
func TestMergeIsOrderIndependent(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Announcement {
		a := announcement(
			rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
			rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			rapid.Uint64Range(1, 4).Draw(t, "seq"))
		a.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
		return a
	})
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(draw, 1, 20).Draw(t, "announcements")
		shuffled := rapid.Permutation(all).Draw(t, "order")
		split := rapid.IntRange(0, len(all)).Draw(t, "split")
		ordered, reordered, repaired := New(0), New(0), New(0)
		for i, a := range all {
			ordered.Apply(a, 0)
			reordered.Apply(shuffled[i], 0)
			if i < split {
				repaired.Apply(a, 0)
			}
		}
		if !slices.Equal(ordered.Digest(), reordered.Digest()) {
			t.Fatalf("digests differ by order: %v and %v", ordered.Digest(), reordered.Digest())
		}
		for _, r := range ordered.NewerThan(repaired.Digest(), 0) {
			repaired.ApplyRelayed(r, 0)
		}
		if !slices.Equal(ordered.Digest(), repaired.Digest()) {
			t.Fatalf("digest %v, but %v after repair", ordered.Digest(), repaired.Digest())
		}
		changed, _ := ordered.ChangedSince(0, 0)
		if len(changed) != ordered.Len() {
			t.Fatalf("ChangedSince returned %d of %d upstreams", len(changed), ordered.Len())
		}
	})
}

func TestChangedSince(t *testing.T) {
	is := is.New(t)
	d := New(0)
	d.Apply(announcement("b", 1, 1), 0)
	d.Apply(announcement("a", 1, 1), 0)
	all, version := d.ChangedSince(0, time.Second)
	is.Equal(len(all), 2)
	is.Equal(all[0].Announcement.ID, "b")
	is.Equal(all[0].Age, time.Second)
	d.Apply(announcement("b", 1, 2), time.Second)
	changed, _ := d.ChangedSince(version, time.Second)
	is.Equal(len(changed), 1)
	is.Equal(changed[0].Announcement.Seq, uint64(2))
	is.Equal(d.Snapshot(0)[0].Announcement.ID, "a")
}

func ExampleDirectory() {
	d := New(DefaultTTL)
	d.Apply(Announcement{ID: "gpu-1", Incarnation: 1, Seq: 1, Addr: "10.0.0.1:80", Kind: Engine}, 0)
	d.Expire(3 * time.Second)
	for _, e := range d.TakeEvents() {
		fmt.Println(e.ID, e.Kind)
	}
	// Output:
	// gpu-1 joined
	// gpu-1 silent
}
