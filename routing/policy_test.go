package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agateslip/agateslip/directory"
)

func TestBreakerOpensProbesAndRecovers(t *testing.T) {
	is := is.New(t)
	b := NewBreaker(DefaultBreaker)
	now := time.Duration(0)
	for range DefaultBreaker.FailureThreshold {
		is.True(b.Allows(now))
		b.Sent(now)
		b.Failed(now)
	}
	is.True(!b.Allows(now))
	b.Succeeded(now) // an answer to an earlier request does not close the breaker
	is.Equal(b.State(now), Open)
	now += DefaultBreaker.Cooldown
	is.Equal(b.State(now), HalfOpen)
	is.True(b.Allows(now))
	b.Sent(now)
	is.True(!b.Allows(now)) // one probe at a time
	b.Failed(now)
	is.True(!b.Allows(now + DefaultBreaker.Cooldown)) // twice as long
	now += 2 * DefaultBreaker.Cooldown
	b.Sent(now)
	b.Canceled(now)
	is.True(b.Allows(now))
	b.Sent(now)
	now += DefaultBreaker.ProbeTimeout // no outcome: counts as failed
	is.Equal(b.State(now), Open)
	now += 4 * DefaultBreaker.Cooldown
	b.Sent(now)
	b.Succeeded(now)
	is.Equal(b.State(now), Closed)
}

// TestOpenBreakerAllowsOnlyProbes checks that an upstream whose requests fail gets no
// request until the cooldown ends, and then one at a time.
func TestOpenBreakerAllowsOnlyProbes(t *testing.T) {
	is := is.New(t)
	s := newSelector(engineView(1, "m", 0))
	for range DefaultBreaker.FailureThreshold {
		c, _ := s.Select(Query{Model: "m"}, 0)
		s.Sent(c, nil, 0)
		s.Done(c, Failed, 0)
	}
	_, result := s.Select(Query{Model: "m"}, 0)
	is.Equal(result, Broken)
	c, result := s.Select(Query{Model: "m"}, time.Second)
	is.Equal(result, Chosen)
	s.Sent(c, nil, time.Second)
	_, result = s.Select(Query{Model: "m"}, time.Second)
	is.Equal(result, Broken)
}

func TestRetryRules(t *testing.T) {
	base := Attempt{Upstream: "u", Customer: "c", Execution: Indeterminate, Idempotent: true, Number: 1, Deadline: time.Second}
	cases := []struct {
		name   string
		change func(*Attempt)
		want   RetryDenial
	}{
		{"repeatable", func(*Attempt) {}, Allowed},
		{"may have run", func(a *Attempt) { a.Idempotent = false }, MayHaveRun},
		{"ran", func(a *Attempt) { a.Idempotent, a.Execution = false, Ran }, MayHaveRun},
		{"proved not run", func(a *Attempt) { a.Idempotent, a.Execution = false, NotRun }, Allowed},
		{"part answered", func(a *Attempt) { a.Answered = true }, PartAnswered},
		{"attempts", func(a *Attempt) { a.Number = DefaultRetry.MaxAttempts }, TooManyAttempts},
		{"deadline", func(a *Attempt) { a.Deadline = 0 }, PastDeadline},
		{"asked to wait", func(a *Attempt) { a.RetryAfter = time.Second }, PastDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRetrier(DefaultRetry, rand.New(rand.NewPCG(1, 1)))
			a := base
			c.change(&a)
			wait, denial := r.Retry(a, 0)
			is.Equal(denial, c.want)
			is.True(wait <= DefaultRetry.Backoff)
		})
	}
}

// TestRetriesStayWithinBudget checks the number of retries when every attempt of 1,000
// requests fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	r := NewRetrier(DefaultRetry, rand.New(rand.NewPCG(1, 1)))
	retries := 0
	for range 1000 {
		r.Sent("u", "c")
		a := Attempt{Upstream: "u", Customer: "c", Idempotent: true, Number: 1, Deadline: time.Hour}
		for {
			if _, denial := r.Retry(a, 0); denial != Allowed {
				break
			}
			a.Number++
			retries++
		}
	}
	is.True(retries <= 103)
	is.True(retries >= 95)
	_, denial := r.Retry(Attempt{Upstream: "v", Customer: "c", Idempotent: true, Number: 1, Deadline: 1 << 40}, 0)
	is.Equal(denial, NoBudget) // the customer's budget is shared by all upstreams
}

func TestPrefixEvents(t *testing.T) {
	is := is.New(t)
	x := NewPrefixIndex(3, time.Minute)
	prompt := []BlockHash{1, 2, 3}
	add := func(seq uint64, blocks ...BlockHash) bool {
		return x.Apply(CacheEvent{Upstream: "u", Incarnation: 1, Seq: seq, Kind: Added, Blocks: blocks}, 0)
	}
	is.True(add(1, 1, 2))
	is.Equal(x.Match("u", prompt, 0), 2.0)
	is.Equal(x.Match("u", prompt, time.Minute), 1.0) // old blocks count less
	is.True(!add(1, 3))                              // stale sequence number
	is.True(add(3, 3))                               // event 2 is lost
	is.Equal(x.Match("u", prompt, 0), 1.5)
	is.Equal(x.TakeResyncs(), []string{"u"})
	is.True(add(5, 3))
	is.Equal(len(x.TakeResyncs()), 0) // already listed
	x.Retry("u")
	is.Equal(x.TakeResyncs(), []string{"u"})
	is.True(x.Apply(CacheEvent{Upstream: "u", Incarnation: 1, Seq: 6, Kind: Resynced, Blocks: prompt}, 0))
	is.Equal(x.Match("u", prompt, 0), 3.0)
	x.Retry("u")
	is.Equal(len(x.TakeResyncs()), 0)
	is.True(x.Apply(CacheEvent{Upstream: "u", Incarnation: 1, Seq: 7, Kind: Removed, Blocks: prompt[1:2]}, 0))
	is.Equal(x.Match("u", prompt, 0), 1.0)
	is.True(add(8, 7, 8)) // above maxBlocks: the block reported longest ago is removed
	is.Equal(x.Match("u", prompt, 0), 0.0)
	is.True(x.Apply(CacheEvent{Upstream: "u", Incarnation: 2, Seq: 1, Kind: Added, Blocks: prompt}, 0))
	is.True(!add(9, 9)) // of the old incarnation
	is.Equal(x.Match("u", prompt, 0), 3.0)
}

func TestHashPromptChains(t *testing.T) {
	is := is.New(t)
	text := fmt.Sprintf("%0*d", 4*BlockBytes+1, 7)
	a := HashPrompt("m", text, 16)
	is.Equal(len(a), 4)
	is.Equal(HashPrompt("m", text, 2), a[:2])
	is.True(HashPrompt("n", text, 16)[0] != a[0])
	b := HashPrompt("m", "x"+text[1:], 16)
	is.True(b[3] != a[3]) // the hash of a block depends on all blocks before it
}

// TestPreferences checks that an upstream is preferred for its adapter, domain, load or
// cached prefix, unless it is excluded.
func TestPreferences(t *testing.T) {
	warm := func(n int, change func(*directory.View)) directory.View {
		v := engineView(n, "m", 1)
		v.Announcement.Domain = "far"
		if n == 1 {
			change(&v)
		}
		return v
	}
	prompt := []BlockHash{1, 2, 3, 4}
	cases := []struct {
		name   string
		query  Query
		change func(*directory.View)
	}{
		{"adapter", Query{Adapter: "x"}, func(v *directory.View) { v.Announcement.Replicas[0].Adapters = []string{"x"} }},
		{"domain", Query{Domain: "near"}, func(v *directory.View) { v.Announcement.Domain = "near" }},
		{"load", Query{}, func(v *directory.View) { v.Announcement.Load.Running = 0 }},
		{"prefix", Query{Prefix: prompt}, func(*directory.View) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSelector(warm(0, c.change), warm(1, c.change))
			s.Prefixes().Apply(CacheEvent{Upstream: "engine-0001", Incarnation: 1, Seq: 1, Kind: Added, Blocks: prompt}, 0)
			c.query.Model = "m"
			choice, _ := s.Select(c.query, 0)
			is.Equal(choice.Upstream, "engine-0001")
			is.Equal(choice.HasAdapter, c.query.Adapter != "")
			c.query.Exclude = []string{"engine-0001"}
			choice, _ = s.Select(c.query, 0)
			is.Equal(choice.Upstream, "engine-0000")
		})
	}
}

func TestPriorities(t *testing.T) {
	is := is.New(t)
	s := newSelector(engineView(1, "m", 8))
	_, result := s.Select(Query{Model: "m", Priority: Batch}, 0)
	is.Equal(result, Overloaded)
	_, result = s.Select(Query{Model: "m", Priority: Interactive}, 0)
	is.Equal(result, Chosen)
	u := s.upstreams["engine-0001"]
	u.othersRequests = 14
	is.True(u.loadDelay(Urgent) < u.loadDelay(Interactive))
}

// TestSelectionFollowsState checks with random events that a chosen upstream serves the
// model, takes new work and is of the current incarnation, and that the requests of this
// node are counted.
func TestSelectionFollowsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSelector()
		views := map[string]directory.View{}
		removed := map[string]uint64{}
		var sent []Choice
		now := time.Duration(0)
		upstream := rapid.IntRange(0, 4)
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				v := engineView(upstream.Draw(t, "n"), rapid.SampledFrom([]string{"m", "o"}).Draw(t, "model"), 0)
				a := &v.Announcement
				a.Incarnation = removed[a.ID] + rapid.Uint64Range(1, 3).Draw(t, "incarnation")
				a.Seq = rapid.Uint64Range(1, 9).Draw(t, "seq")
				a.Load.Running = rapid.IntRange(0, 20).Draw(t, "load")
				a.Replicas[0].State = rapid.SampledFrom([]directory.ReplicaState{directory.Ready, directory.Loading}).Draw(t, "state")
				a.Leaving = rapid.Bool().Draw(t, "leaving")
				old := views[a.ID].Announcement
				if a.Incarnation > old.Incarnation || a.Incarnation == old.Incarnation && a.Seq > old.Seq {
					views[a.ID] = v
				} else {
					v.Announcement.Leaving = old.Leaving
				}
				s.Update(v)
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprintf("engine-%04d", upstream.Draw(t, "n"))
				s.Remove(id)
				removed[id] = max(removed[id], views[id].Announcement.Incarnation)
				delete(views, id)
			},
			"done": func(t *rapid.T) {
				if len(sent) > 0 {
					s.Done(sent[0], Ending(rapid.IntRange(0, 3).Draw(t, "ending")), now)
					sent = sent[1:]
				}
			},
			"select": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
				c, result := s.Select(Query{Model: "m"}, now)
				if result != Chosen {
					return
				}
				a := views[c.Upstream].Announcement
				ready := len(a.Replicas) > 0 && a.Replicas[0].Model == "m" && a.Replicas[0].State == directory.Ready
				if !ready || a.Leaving || a.Incarnation != c.Incarnation {
					t.Fatalf("chose %+v, which cannot take the request: %+v", c, a)
				}
				s.Sent(c, nil, now)
				sent = append(sent, c)
			},
			"": func(t *rapid.T) {
				own := map[string]int{}
				for _, c := range sent {
					if views[c.Upstream].Announcement.Incarnation == c.Incarnation {
						own[c.Upstream]++
					}
				}
				for id, n := range own {
					if s.upstreams[id].ownRequests != n {
						t.Fatalf("%s: %d own requests sent, %d counted", id, n, s.upstreams[id].ownRequests)
					}
				}
			},
		})
	})
}

func ExampleSelector() {
	s := NewSelector(Config{}, rand.New(rand.NewPCG(1, 2)))
	s.Update(directory.View{Announcement: directory.Announcement{
		ID: "gpu-1", Incarnation: 1, Seq: 1, Addr: "10.0.0.1:80", Slots: 8,
		Replicas: []directory.Replica{{Grant: 3, Model: "notes", State: directory.Ready}},
	}})
	choice, result := s.Select(Query{Customer: "acme", Model: "notes"}, 0)
	fmt.Println(result, choice.Upstream, choice.Grant)
	s.Sent(choice, nil, 0)
	s.Done(choice, Answered, time.Second)
	// Output: chosen gpu-1 3
}

// TestSelectFindsAdapter checks that the one upstream among many that has the adapter
// loaded is found, although only a sample is compared.
func TestSelectFindsAdapter(t *testing.T) {
	is := is.New(t)
	s := newSelector()
	for i := range 40 {
		v := engineView(i, "m", 1)
		if i == 33 {
			v.Announcement.Replicas[0].Adapters = []string{"x"}
		}
		s.Update(v)
	}
	for range 20 {
		c, _ := s.Select(Query{Model: "m", Adapter: "x", Domain: "domain-0"}, 0)
		is.True(c.HasAdapter)
	}
}

// TestRejectionFillsUpstream checks that an upstream that rejected a request counts as
// overloaded until its next report.
func TestRejectionFillsUpstream(t *testing.T) {
	is := is.New(t)
	v := engineView(1, "m", 0)
	s := newSelector(v)
	c, _ := s.Select(Query{Model: "m"}, 0)
	s.Sent(c, nil, 0)
	s.Done(c, Rejected, 0)
	_, result := s.Select(Query{Model: "m"}, 0)
	is.Equal(result, Overloaded)
	v.Announcement.Seq++
	s.Update(v)
	_, result = s.Select(Query{Model: "m"}, 0)
	is.Equal(result, Chosen)
}
