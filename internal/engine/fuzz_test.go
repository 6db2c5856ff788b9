package engine

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/placement"
)

const (
	fuzzMemory = 80 << 30
	// maxFuzzRound bounds the time of one planning round, so that no loop runs as often as a number says.
	maxFuzzRound = 2 * time.Second
)

// FuzzEngineAnnouncement feeds announcements to the directory and the planner, beside a sound engine.
func FuzzEngineAnnouncement(f *testing.F) {
	f.Add([]byte(validAnnouncement))
	f.Add([]byte(strings.Replace(validAnnouncement, `"memory":100`, `"memory":1125899906842624`, 1)))
	f.Add([]byte(strings.Replace(validAnnouncement, `"incarnation":1,"seq":1`, `"incarnation":18446744073709551615,"seq":18446744073709551615`, 1)))
	f.Add([]byte(`{"id":"e1","incarnation":1,"seq":1,"addr":"127.0.0.1:9000","domain":"a","kind":"engine","memory":0,"slots":1048576,"load":{"running":1073741824,"queued":1073741824},
		"replicas":[{"grant":1,"model":"m","state":"ready","memory":1125899906842624},{"grant":18446744073709551615,"model":"m","state":"failed","memory":0,"adapters":["a","a"]}],
		"copies":[{"model":"m","tier":"memory"},{"model":"m","tier":"memory"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var a directory.Announcement
		if decodeStrict(strings.NewReader(string(body)), MaxAnnouncement, &a) != nil || checkAnnouncement(&a) != nil || a.ID == "sound" {
			return
		}
		known := directory.New(time.Minute)
		planner := placement.NewPlanner(placement.Config{Store: placement.StoreLimits{Width: 4, Rate: 4}, AdaptersInFlight: 30})
		var ledger placement.Ledger
		in := placement.Snapshot{
			Leadership: placement.Leadership{Lease: true, LongestLease: time.Second, OrderDeadline: time.Second}, Revision: 1, Ledger: &ledger,
			Contracts: []contract.Contract{{
				Customer: "c", Wait: contract.Duration(time.Minute), Capacity: contract.Capacity{Replicas: 100},
				Models: []contract.Model{{Name: "m", Memory: 16 << 30, Adapters: []string{"a"}}, {Name: "n", Memory: 16 << 30}},
			}},
		}
		known.Apply(a, 0)
		for round := range 8 {
			now := time.Duration(round+1) * 400 * time.Millisecond
			began := time.Now()
			known.Apply(directory.Announcement{
				ID: "sound", Incarnation: 1, Seq: uint64(round + 1), Addr: "192.0.2.1:80", Domain: "a", Kind: directory.Engine, Memory: fuzzMemory, Slots: 8,
			}, now)
			in.Upstreams = nil
			for _, v := range known.Snapshot(now) {
				if v.Announcement.Kind == directory.Engine {
					in.Upstreams = append(in.Upstreams, placement.Upstream{Announcement: &v.Announcement, Silent: v.Silent})
				}
			}
			in.Demand = []placement.Demand{
				{Key: placement.Key{Customer: "c", Model: "m"}, Waiting: 3, Remaining: time.Minute, Arrivals: 3},
				{Key: placement.Key{Customer: "c", Model: "n"}, Waiting: 1, Remaining: time.Minute, Arrivals: 1},
				{Key: placement.Key{Customer: "c", Model: "m"}, Adapter: "a", Waiting: 1, Remaining: time.Minute, Arrivals: 1},
			}
			for _, change := range planner.Plan(now, in).Changes {
				if _, err := ledger.Apply(change, placement.Limits{Model: 100, Customer: 100}); err != nil {
					t.Logf("change not applied: %v", err)
				}
			}
			if took := time.Since(began); took > maxFuzzRound {
				t.Fatalf("a round took %v", took)
			}
		}
		if v, ok := known.Get("sound", 4*time.Second); !ok || v.Silent {
			t.Error("the sound engine is not known any more")
		}
		if !slices.ContainsFunc(ledger.Grants, func(g placement.Grant) bool { return g.Model == "m" || g.Model == "n" }) {
			t.Error("no model was granted")
		}
	})
}

// FuzzCacheEvents feeds batches of cache events to their decoder and check.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte(`{"id":"e1","incarnation":1,"seq":1,"full":true,"events":[{"op":"add","model":"m","prefix":"p","length":9223372036854775807}]}`))
	f.Add([]byte(`{"id":"e1","incarnation":18446744073709551615,"seq":18446744073709551615,"events":[{"op":"remove","model":"m","prefix":"p","length":1}]}`))
	f.Add([]byte(strings.Repeat("[", 20000)))
	f.Fuzz(func(t *testing.T, body []byte) {
		var e CacheEvents
		if decodeStrict(strings.NewReader(string(body)), MaxCacheEvents, &e) != nil || checkCacheEvents(&e) != nil {
			return
		}
		if e.ID == "" || len(e.Events) > MaxEvents {
			t.Fatalf("accepted: %+v", e)
		}
	})
}
