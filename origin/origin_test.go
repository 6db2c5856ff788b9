package origin_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/origin"
)

// recordOf returns the change that records one stream.
func recordOf(software string, k origin.Key) *origin.Change {
	return &origin.Change{Begun: origin.Add(nil, software, k)}
}

func TestRecordsOutlastOneExpiry(t *testing.T) {
	is := is.New(t)
	table := origin.NewTable()
	table.Apply(&origin.Change{Bases: &map[string]string{"llm": "v1"}})
	key := origin.KeyOf("llm", "call")
	table.Apply(recordOf("v2", key))
	table.Apply(recordOf("v3", key)) // the call began anew elsewhere, before its first event
	for range 2 {
		data, err := json.Marshal(table)
		is.NoErr(err)
		table = origin.NewTable() // as after a restart
		is.NoErr(json.Unmarshal(data, table))
		software, known := table.Find("llm", key)
		is.True(known && software == "v3")
		expire := &origin.Change{Expire: true, Expiries: table.Expiries()}
		table.Apply(expire)
		table.Apply(expire) // takes effect once
	}
	software, known := table.Find("llm", key)
	is.True(known && software == "v1" && table.Empty())
	_, known = table.Find("other", key)
	is.True(!known)
}

// TestBasesOfAnotherLeaderAreKept applies a change that was decided by other base versions than those
// in force.
func TestBasesOfAnotherLeaderAreKept(t *testing.T) {
	is := is.New(t)
	table := origin.NewTable()
	table.Apply(&origin.Change{Bases: &map[string]string{"llm": "v1"}})
	table.Apply(&origin.Change{Bases: &map[string]string{"llm": "v2"}})
	is.Equal(table.Bases()["llm"], "v1")
}

func upstream(id, software string) fleet.Upstream {
	return fleet.Upstream{ID: id, Service: "llm", Software: software}
}

// TestBaseChangesOnceNoStreamOfItIsLeft lets a version leave. The base must stay until no entry node
// can begin a stream at it without a record, and until the last of these cannot be taken up any more.
func TestBaseChangesOnceNoStreamOfItIsLeft(t *testing.T) {
	for name, c := range map[string]struct {
		silent, forgotten bool
		// inUse is how long entry nodes may begin streams after the upstream ended.
		inUse time.Duration
	}{
		"left":      {inUse: 0},
		"forgotten": {forgotten: true, inUse: 25 * time.Second},
		"silent":    {silent: true, inUse: origin.BaseLease},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, tracker := origin.NewTable(), origin.NewTracker(0)
			upstreams := []fleet.Upstream{upstream("a", "v1")}
			review := func(now time.Duration) {
				if c := tracker.Review(table, func() []fleet.Upstream { return upstreams }, now); c != nil {
					table.Apply(c)
				}
			}
			now := time.Duration(0)
			for ; now < time.Hour; now += time.Second {
				review(now)
			}
			is.Equal(table.Bases()["llm"], "v1")
			gone := upstream("a", "v1")
			gone.Gone, gone.Silent = true, c.silent
			upstreams = []fleet.Upstream{gone, upstream("b", "v2"), upstream("c", "v2")}
			if c.forgotten {
				upstreams = upstreams[1:]
			}
			ended := now
			for ; now < ended+time.Minute; now += time.Second {
				review(now)
			}
			upstreams = []fleet.Upstream{upstream("b", "v2"), upstream("c", "v2")} // the registry forgets it
			for ; table.Bases()["llm"] == "v1" && now < ended+time.Hour; now += time.Second {
				review(now)
			}
			is.Equal(table.Bases()["llm"], "v2")
			least := origin.Lifetime + c.inUse
			is.True(now-ended > least)
			is.True(now-ended < least+3*time.Minute)
		})
	}
}

// TestNewBaseOutlastsItsUpstreams has the only upstream of a new base version leave before the next
// review. Entry nodes may have begun streams there without a record.
func TestNewBaseOutlastsItsUpstreams(t *testing.T) {
	is := is.New(t)
	table, tracker := origin.NewTable(), origin.NewTracker(0)
	table.Apply(&origin.Change{Bases: &map[string]string{"llm": "v1"}})
	upstreams := []fleet.Upstream{upstream("a", "v2")}
	now := time.Duration(0)
	review := func() {
		if c := tracker.Review(table, func() []fleet.Upstream { return upstreams }, now); c != nil {
			table.Apply(c)
		}
		now += time.Second
	}
	for table.Bases()["llm"] != "v2" && now < time.Hour {
		review()
	}
	upstreams[0].Gone = true
	for changed := now; now <= changed+origin.Lifetime; {
		review()
		is.Equal(table.Bases()["llm"], "v2")
		if now == changed+time.Second {
			upstreams = []fleet.Upstream{upstream("b", "v3")} // the registry forgets a
		}
	}
}

// TestReplacedBaseIsNotUsed has an upstream of the base version come back after a change of the base was proposed,
// which takes effect later. A stream that begins there must be recorded.
func TestReplacedBaseIsNotUsed(t *testing.T) {
	is := is.New(t)
	table, tracker := origin.NewTable(), origin.NewTracker(0)
	table.Apply(&origin.Change{Bases: &map[string]string{"llm": "v1"}})
	upstreams := []fleet.Upstream{upstream("a", "v2")}
	now := time.Duration(0)
	review := func() *origin.Change {
		now += time.Second
		return tracker.Review(table, func() []fleet.Upstream { return upstreams }, now)
	}
	var change *origin.Change
	for change == nil && now < time.Hour {
		is.Equal(tracker.Bases(table)["llm"], "v1")
		change = review()
	}
	upstreams = append(upstreams, upstream("b", "v1"), upstream("c", "v1"))
	for range 5 {
		is.Equal(len(tracker.Bases(table)), 0)
		again := review()
		is.True(again != nil && len(*again.Bases) == 0) // so that the change is decided
	}
	table.Apply(change)
	review()
	is.Equal(tracker.Bases(table)["llm"], "v2")
}

// TestNewLeaderKeepsBase begins a term without the base version in service: an upstream of it may have
// fallen silent before.
func TestNewLeaderKeepsBase(t *testing.T) {
	is := is.New(t)
	table, tracker := origin.NewTable(), origin.NewTracker(0)
	table.Apply(&origin.Change{Bases: &map[string]string{"llm": "v1"}})
	upstreams := func() []fleet.Upstream { return []fleet.Upstream{upstream("b", "v2")} }
	for now := time.Duration(0); now < origin.BaseLease+origin.Lifetime; now += time.Second {
		is.True(tracker.Review(table, upstreams, now) == nil)
	}
}

func TestUnnamedStreamIsKnownOnlyWithOneVersion(t *testing.T) {
	is := is.New(t)
	table, tracker := origin.NewTable(), origin.NewTracker(0)
	upstreams := []fleet.Upstream{upstream("a", "v1")}
	known := func(now time.Duration) bool {
		tracker.Review(table, func() []fleet.Upstream { return upstreams }, now)
		software, ok := tracker.Only(table, "llm", now)
		is.True(!ok || software == "v1")
		return ok
	}
	is.True(!known(0)) // another version may have been in service before the term
	table.Apply(&origin.Change{Bases: &map[string]string{"llm": "v1"}})
	is.True(known(time.Second)) // all streams at other versions are recorded
	table.Apply(recordOf("v2", 1))
	is.True(!known(2 * time.Second))
	const settled = origin.BaseLease + origin.Lifetime
	is.True(!known(settled - time.Second))
	is.True(known(settled)) // the record is one of another service
	upstreams = append(upstreams, upstream("b", "v2"))
	is.True(!known(settled + 2*time.Second))
}

// TestStreamsAreNeverJoined simulates entry nodes that are cut off from the leader, upstreams that come,
// leave or fall silent while they still serve, and changes of the leader. Whatever the leader says of
// a stream must be the version that began it.
func TestStreamsAreNeverJoined(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { simulate(t, seed, origin.Lifetime/3) })
	}
}

// TestLongStreamsAreNeverJoined has callers wait for five minutes for each answer.
func TestLongStreamsAreNeverJoined(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { simulate(t, seed, 5*time.Minute) })
	}
}

// simulatedNode is an entry node with what it believes.
type simulatedNode struct {
	view      origin.View
	upstreams []fleet.Upstream
	cutUntil  time.Duration
}

type begunStream struct {
	key      origin.Key
	software string
	at       time.Duration
}

// simulate has callers take streams up for three times the given time.
func simulate(t *testing.T, seed uint64, timeout time.Duration) {
	const duration, step = 90 * time.Minute, 5 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	table, tracker := origin.NewTable(), origin.NewTracker(0)
	nodes := []*simulatedNode{{}, {}, {}, {}}
	// serving are the upstreams that serve calls; listed are those that the leader knows.
	serving, listed := map[string]fleet.Upstream{}, map[string]fleet.Upstream{}
	version, lastID := 1, 0
	var streams []begunStream
	// late is a change that has been proposed and takes effect later.
	var late *origin.Change
	checked, found, begun, recorded := 0, 0, 0, 0
	for now := time.Duration(0); now < duration; now += step {
		if random.IntN(150) == 0 {
			version++
		}
		if len(serving) < 5 {
			lastID++
			// A version may come back.
			u := upstream(fmt.Sprint("u", lastID), fmt.Sprint("v", max(1, version-random.IntN(2))))
			serving[u.ID], listed[u.ID] = u, u
		}
		for _, id := range slices.Sorted(maps.Keys(serving)) {
			u := serving[id]
			switch random.IntN(200) {
			case 0, 1:
				u.Gone = true
				listed[id] = u
				delete(serving, id)
			case 2:
				if len(listed) > 1 {
					u.Gone, u.Silent = true, true
					listed[id] = u // it goes on serving
				}
			case 3:
				listed[id] = u // it is heard again
			}
		}
		if random.IntN(200) == 0 {
			tracker = origin.NewTracker(now)
			for id, u := range listed {
				if u.Gone {
					delete(listed, id) // the new leader does not know
				}
			}
		}
		var all, live []fleet.Upstream
		for _, id := range slices.Sorted(maps.Keys(listed)) {
			u := listed[id]
			all = append(all, u)
			if !u.Gone {
				live = append(live, u)
			}
		}
		tracker.Cover(timeout)
		if late != nil && random.IntN(3) == 0 {
			table.Apply(late)
			late = nil
		}
		if c := tracker.Review(table, func() []fleet.Upstream { return all }, now); c != nil {
			if late == nil && random.IntN(4) == 0 {
				late = c // the outcome of its proposal is not known in time
			} else {
				table.Apply(c)
			}
		}
		for _, n := range nodes {
			if n.cutUntil <= now && random.IntN(100) == 0 {
				n.cutUntil = now + time.Duration(random.IntN(1500))*time.Second
			}
			inTouch := n.cutUntil <= now
			if inTouch {
				n.upstreams = live
				n.view.Set(tracker.Bases(table), now)
			}
			for _, u := range n.upstreams {
				if _, serves := serving[u.ID]; !serves || !n.view.MayBegin("llm", u.Software, now) {
					continue
				}
				lastID++
				s := begunStream{origin.Key(random.Uint64()), u.Software, now}
				begun++
				if n.view.MustRecord("llm", u.Software, now) {
					if !inTouch {
						continue // not recorded, so the caller gets no event
					}
					table.Apply(recordOf(u.Software, s.key))
					recorded++
				}
				streams = append(streams, s)
			}
		}
		var left []begunStream
		for _, s := range streams {
			if now-s.at > 3*timeout {
				continue
			}
			left = append(left, s)
			checked++
			software, known := table.Find("llm", s.key)
			if known && software != s.software {
				t.Fatalf("at %s: a stream that began at %s at %s would go on at %s", now, s.software, s.at, software)
			}
			if known {
				found++
			}
			if only, ok := tracker.Only(table, "llm", now); ok && only != s.software {
				t.Fatalf("at %s: a stream that began at %s at %s and is not named would go on at %s", now, s.software, s.at, only)
			}
		}
		streams = left
	}
	if found < checked*9/10 || begun < 1000 {
		t.Fatalf("of %d looks, %d found the origin of a stream; %d began", checked, found, begun)
	}
	t.Logf("%d streams began, %d of them recorded", begun, recorded)
}
