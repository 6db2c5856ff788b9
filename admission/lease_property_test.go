package admission

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.checks", "3000")
	setDefault("rapid.steps", "200")
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setDefault sets a flag that the command line has left at its default.
func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

// cluster is nine throttlers and one allocator, connected by a network that loses,
// delays, repeats and reorders messages.
type cluster struct {
	now            time.Duration
	limits         Limits
	bound          Limits        // largest limits that leases in force may come from
	boundEnd       time.Duration // when leases of earlier limits have ended
	allocator      *Allocator
	term           uint64
	nodes          []*Throttler
	offsets        []time.Duration // of the nodes' clocks
	reports        []Report
	grants         []Grant
	contractBucket bucket // tokens left for starts by rate and burst of the contract
	nextID         uint64
	pending        map[uint64]int           // node of each request without a final verdict
	deadlines      map[uint64]time.Duration // by the clock of the request's node
	running        map[uint64]int           // node of each running request
}

// newCluster returns a cluster with one node for each clock offset.
func newCluster(limits Limits, offsets []time.Duration) *cluster {
	c := &cluster{
		limits:         limits,
		bound:          limits,
		offsets:        offsets,
		contractBucket: bucket{size: float64(limits.Burst), rate: limits.Rate, level: float64(limits.Burst)},
		pending:        map[uint64]int{},
		deadlines:      map[uint64]time.Duration{},
		running:        map[uint64]int{},
	}
	for i := range offsets {
		n := NewThrottler(Config{Node: fmt.Sprintf("n%d", i)})
		n.SetLimits(limits)
		n.SetTarget("m", TargetState{Readiness: Ready, Slots: 100}, c.clock(i))
		c.nodes = append(c.nodes, n)
	}
	c.elect()
	for _, n := range c.nodes {
		n.SetTerm(c.term)
	}
	return c
}

// clock returns the time on a node's clock.
func (c *cluster) clock(node int) time.Duration {
	return c.now + c.offsets[node]
}

// elect replaces the leader. In every second term the allocator knows the names of the
// nodes.
func (c *cluster) elect() {
	c.term++
	config := AllocatorConfig{Term: c.term, Since: c.now}
	if c.term%2 == 0 {
		for _, n := range c.nodes {
			config.Nodes = append(config.Nodes, n.config.Node)
		}
	}
	c.allocator = NewAllocator(config)
	c.allocator.SetLimits(c.limits, c.now)
}

// changeLimits replaces the contract at the allocator. The nodes learn of it later.
func (c *cluster) changeLimits(l Limits) {
	c.advance(0)
	c.limits = l
	c.bound.Concurrency = max(c.bound.Concurrency, l.Concurrency)
	c.bound.Burst = max(c.bound.Burst, l.Burst)
	c.bound.Rate = max(c.bound.Rate, l.Rate)
	c.boundEnd = c.now + 2*DefaultLeaseDuration
	c.contractBucket.size, c.contractBucket.rate = float64(c.bound.Burst), c.bound.Rate
	c.allocator.SetLimits(l, c.now)
}

// advance moves the time forward and updates the bound and the contract bucket.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	if c.now > c.boundEnd {
		c.bound = c.limits
	}
	c.contractBucket.advance(c.now)
	c.contractBucket.resize(float64(c.bound.Burst), c.bound.Rate)
}

// recordDecision records a verdict and checks that it is allowed.
func (c *cluster) recordDecision(t *rapid.T, node int, d Decision) {
	at, present := c.pending[d.ID]
	if !present || at != node {
		t.Fatalf("request %d decided twice or on another node: %+v", d.ID, d)
	}
	if d.Verdict == Queued {
		return
	}
	delete(c.pending, d.ID)
	if d.Verdict == Refused {
		if d.Reason == None || d.RetryAfter < MinRetryAfter {
			t.Fatalf("refusal without reason or retry time: %+v", d)
		}
		return
	}
	if c.clock(node) > c.deadlines[d.ID] {
		t.Fatalf("request %d started after its deadline", d.ID)
	}
	a := c.nodes[node].customers["a"]
	if !a.leased(c.clock(node)) || a.running > a.lease.Concurrency {
		t.Fatalf("request %d started outside its lease", d.ID)
	}
	c.running[d.ID] = node
	c.contractBucket.level--
	if c.contractBucket.level < -1e-6 {
		t.Fatalf("more requests started than rate and burst allow")
	}
}

// arrive sends a request to a node with a deadline after the given wait.
func (c *cluster) arrive(t *rapid.T, node int, wait time.Duration) {
	c.nextID++
	c.pending[c.nextID] = node
	c.deadlines[c.nextID] = c.clock(node) + wait
	q := Request{ID: c.nextID, Customer: "a", Target: "m", Deadline: c.clock(node) + wait}
	c.recordDecision(t, node, c.nodes[node].Arrive(q, c.clock(node)))
}

// poll polls all nodes and records their decisions.
func (c *cluster) poll(t *rapid.T) {
	for i, n := range c.nodes {
		for _, d := range n.Poll(c.clock(i)) {
			c.recordDecision(t, i, d)
		}
	}
}

// checkLeases checks that the leases in force stay within the bound and that no request
// waits past its deadline.
func (c *cluster) checkLeases(t *rapid.T) {
	var concurrency, burst int
	var rate float64
	for i, n := range c.nodes {
		a := n.customers["a"]
		if a.leased(c.clock(i)) {
			concurrency += a.lease.Concurrency
			burst += a.lease.Burst
			rate += a.lease.Rate
		}
	}
	if concurrency > c.bound.Concurrency || burst > c.bound.Burst {
		t.Fatalf("leased concurrency %d of %d, burst %d of %d", concurrency, c.bound.Concurrency, burst, c.bound.Burst)
	}
	if rate > c.bound.Rate+1e-6 {
		t.Fatalf("leased rate %g of %g", rate, c.bound.Rate)
	}
	for id, node := range c.pending {
		if c.clock(node) > c.deadlines[id] {
			t.Fatalf("request %d waits past its deadline", id)
		}
	}
}

// drawLimits draws small random limits for customer a.
func drawLimits(t *rapid.T) Limits {
	return Limits{
		Customer:    "a",
		Concurrency: rapid.IntRange(1, 12).Draw(t, "concurrency"),
		Rate:        float64(rapid.IntRange(1, 40).Draw(t, "rate")),
		Burst:       rapid.IntRange(1, 12).Draw(t, "burst"),
		Queue:       rapid.IntRange(1, 20).Draw(t, "queue"),
	}
}

// takeMessage returns one of the messages, which it removes or leaves to be delivered
// again.
func takeMessage[M any](t *rapid.T, messages *[]M) (M, bool) {
	var none M
	if len(*messages) == 0 {
		return none, false
	}
	at := rapid.IntRange(0, len(*messages)-1).Draw(t, "message")
	m := (*messages)[at]
	if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
		*messages = slices.Delete(*messages, at, at+1)
	}
	return m, true
}

// TestLeasesStayWithinContract checks that the leases in force never exceed the
// contract, while messages are lost, delayed, repeated and reordered, nodes are
// disconnected, and leaders and limits change.
func TestLeasesStayWithinContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 100_000).Draw(t, "offset")) * time.Millisecond
		})
		c := newCluster(drawLimits(t), rapid.SliceOfN(offset, 9, 9).Draw(t, "offsets"))
		node := rapid.IntRange(0, 8)
		cut := -1
		c.advance(2 * DefaultLeaseDuration)
		report := func(i int) {
			c.reports = append(c.reports, c.nodes[i].Report(c.clock(i)))
		}
		exchange := func(i int) {
			if i == cut {
				return
			}
			r := c.nodes[i].Report(c.clock(i))
			c.nodes[i].Accept(c.allocator.Report(r, c.now), c.clock(i))
			c.grants = append(c.grants, c.allocator.Pushes()...)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				i := node.Draw(t, "node")
				wait := time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					c.arrive(t, i, wait)
				}
			},
			"release": func(t *rapid.T) {
				ids := make([]uint64, 0, len(c.running))
				for id := range c.running {
					ids = append(ids, id)
				}
				if len(ids) == 0 {
					return
				}
				slices.Sort(ids)
				id := rapid.SampledFrom(ids).Draw(t, "id")
				if !c.nodes[c.running[id]].Release(id, c.clock(c.running[id])) {
					t.Fatalf("request %d was not running", id)
				}
				delete(c.running, id)
			},
			"report": func(t *rapid.T) { report(node.Draw(t, "node")) },
			"exchange all": func(*rapid.T) {
				for i := range c.nodes {
					exchange(i)
				}
			},
			"exchange one": func(t *rapid.T) { exchange(node.Draw(t, "node")) },
			"report arrives": func(t *rapid.T) {
				if r, ok := takeMessage(t, &c.reports); ok {
					c.grants = append(c.grants, c.allocator.Report(r, c.now))
					c.grants = append(c.grants, c.allocator.Pushes()...)
				}
			},
			"grant arrives": func(t *rapid.T) {
				if g, ok := takeMessage(t, &c.grants); ok {
					i := slices.IndexFunc(c.nodes, func(n *Throttler) bool { return n.config.Node == g.Node })
					c.nodes[i].Accept(g, c.clock(i))
				}
			},
			"cut": func(t *rapid.T) { cut = rapid.IntRange(-1, 8).Draw(t, "node") },
			"elect": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
					c.elect()
				}
			},
			"all hear of term": func(*rapid.T) {
				for _, n := range c.nodes {
					n.SetTerm(c.term)
				}
			},
			"hear of term": func(t *rapid.T) { c.nodes[node.Draw(t, "node")].SetTerm(c.term) },
			"change": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
					c.changeLimits(drawLimits(t))
				}
			},
			"contract heard": func(t *rapid.T) {
				c.nodes[node.Draw(t, "node")].SetLimits(c.limits)
			},
			"wait": func(t *rapid.T) {
				c.advance(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			},
			"wait long": func(t *rapid.T) {
				c.advance(time.Duration(rapid.IntRange(1, 3200).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				c.poll(t)
				c.checkLeases(t)
			},
		})
	})
}
