package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var testLimits = Limits{Customer: "a", Concurrency: 8, Rate: 10, Burst: 10, Queue: 20}

// settledAllocator returns an allocator that does not wait for leases of earlier terms,
// and a time at which the bucket of its contract is full.
func settledAllocator() (*Allocator, time.Duration) {
	al := NewAllocator(AllocatorConfig{Term: 1})
	al.SetLimits(testLimits, 0)
	return al, time.Minute
}

// usageReport returns a report of term 1 on customer a.
func usageReport(node string, seq uint64, u Usage) Report {
	u.Customer = "a"
	return Report{Node: node, Term: 1, Seq: seq, Customers: []Usage{u}}
}

func TestLeaseDurationCountsFromReport(t *testing.T) {
	is := is.New(t)
	al, now := settledAllocator()
	th := NewThrottler(Config{Node: "n"})
	th.SetTerm(1)
	th.SetLimits(testLimits)
	th.SetTarget("m", TargetState{Readiness: Ready, Slots: 8}, now)
	q := Request{ID: 1, Customer: "a", Target: "m", Deadline: now + time.Minute}
	th.Arrive(q, now)
	g := al.Report(th.Report(now), now+time.Second)
	g.Leases[0].Tokens = 1
	g.Leases[0].Duration = 2100 * time.Millisecond
	is.True(th.Accept(g, now+2*time.Second))
	is.Equal(len(th.Poll(now+2*time.Second)), 1)
	// The lease ended 0.1 s after it was accepted. The tokens gained in that time count
	// as returned.
	later := now + time.Minute
	returned := th.Report(later).Customers[0].Returned
	is.True(returned > 0 && returned < 1)
	q = Request{ID: 2, Customer: "a", Target: "m", Deadline: later + time.Minute}
	is.Equal(th.Arrive(q, later).Verdict, Queued)
}

func TestAcceptRejectsEarlierTerm(t *testing.T) {
	is := is.New(t)
	al, now := settledAllocator()
	th := NewThrottler(Config{Node: "n"})
	th.SetTerm(1)
	g := al.Report(th.Report(now), now)
	th.SetTerm(2)
	th.Report(now)
	is.True(!th.Accept(g, now))
	g.Report = 2
	is.True(!th.Accept(g, now))
}

func TestRepeatedReportsCreditTokensOnce(t *testing.T) {
	is := is.New(t)
	al, now := settledAllocator()
	first := usageReport("n", 1, Usage{Waiting: 10, Backlog: 10})
	is.Equal(al.Report(first, now).Leases[0].Tokens, 10.0)
	second := usageReport("n", 2, Usage{Serial: 1, Burst: 7, Rate: 7, Returned: 5, Idle: true})
	al.Report(second, now)
	al.Report(first, now)
	al.Report(second, now)
	is.Equal(al.pools["a"].bucket.level, 3.0) // no more than the burst that the node does not hold: 10 - 7
}

func TestNewLeaderStartsWithoutTokens(t *testing.T) {
	is := is.New(t)
	al := NewAllocator(AllocatorConfig{Term: 1, Since: time.Minute})
	al.SetLimits(testLimits, time.Minute)
	held := Usage{Concurrency: 3, Rate: 2, Burst: 2, Running: 3, Waiting: 9, Backlog: 9}
	l := al.Report(usageReport("n", 1, held), time.Minute).Leases[0]
	is.Equal(l.Concurrency, 3)
	is.Equal(l.Burst, 2)
	is.Equal(l.Tokens, 0.0)
	l = al.Report(usageReport("n", 2, held), al.pools["a"].oldLeasesEnd).Leases[0]
	is.True(l.Concurrency > 3)
	is.Equal(l.Tokens, 0.0)
}

func TestRunningRequestsStayCharged(t *testing.T) {
	is := is.New(t)
	al, now := settledAllocator()
	al.Report(usageReport("n1", 1, Usage{Running: 8}), now)
	al.Report(usageReport("n1", 2, Usage{Serial: 1, Running: 8, Idle: true}), now)
	al.Report(usageReport("n1", 3, Usage{Serial: 2, Running: 8, Idle: true}), now)
	l := al.Report(usageReport("n2", 1, Usage{Waiting: 8, Backlog: 8}), now).Leases[0]
	is.Equal(l.Concurrency, 0)
}

func TestAssignSharesIsMaxMinFair(t *testing.T) {
	is := is.New(t)
	claims := []claim{
		{node: "a", demand: 9, slack: 2},
		{node: "b", demand: 1, slack: 3},
		{node: "c", demand: 9, slack: 1},
	}
	assignShares(8, claims)
	is.Equal([]int{claims[0].share, claims[1].share, claims[2].share}, []int{3, 1, 4})
}

// TestOverflowOfFullContractIsLost guards against crediting tokens that a full bucket
// could not take while the pool was full as well. They are lost even if the pool has
// headroom when the report arrives.
func TestOverflowOfFullContractIsLost(t *testing.T) {
	is := is.New(t)
	al, now := settledAllocator()
	al.Report(usageReport("n", 1, Usage{Arrivals: 4}), now)
	now += time.Second // the node's bucket and the pool are full
	al.Report(usageReport("m", 1, Usage{Waiting: 8, Backlog: 8}), now)
	level := al.pools["a"].bucket.level
	al.Report(usageReport("n", 2, Usage{Serial: 1, Burst: 1, Rate: 1, Tokens: 1, Overflow: 1, Arrivals: 4}), now)
	is.Equal(al.pools["a"].bucket.level, level)
}

func TestNewLeaderDefersPushes(t *testing.T) {
	is := is.New(t)
	al := NewAllocator(AllocatorConfig{Term: 1, Since: time.Minute})
	al.SetLimits(testLimits, time.Minute)
	al.Report(usageReport("n1", 1, Usage{Waiting: 5, Backlog: 5}), time.Minute)
	al.Report(usageReport("n2", 1, Usage{Idle: true}), time.Minute)
	is.Equal(len(al.Pushes()), 0)
	al.Report(usageReport("n1", 2, Usage{Waiting: 5, Backlog: 5}), al.pools["a"].oldLeasesEnd-1)
	al.Report(usageReport("n2", 2, Usage{Idle: true}), al.pools["a"].oldLeasesEnd)
	is.Equal(len(al.Pushes()), 1)
}

func TestCompleteReportsEndNewLeaderWait(t *testing.T) {
	is := is.New(t)
	al := NewAllocator(AllocatorConfig{Term: 1, Since: time.Minute, Nodes: []string{"n1", "n2"}})
	al.SetLimits(testLimits, time.Minute)
	reportComplete := func(node string, seq uint64, u Usage) []Lease {
		r := usageReport(node, seq, u)
		r.Complete = true
		return al.Report(r, time.Minute).Leases
	}
	partial := usageReport("n2", 1, Usage{Concurrency: 6, Running: 1})
	al.Report(partial, time.Minute) // not marked as complete
	is.Equal(reportComplete("n1", 1, Usage{Waiting: 8})[0].Concurrency, 0)
	is.Equal(reportComplete("n1", 2, Usage{Waiting: 8})[0].Concurrency, 0)
	addedLimits := testLimits
	addedLimits.Customer = "b"
	al.SetLimits(addedLimits, time.Minute) // after reports that may have covered it
	reportComplete("n2", 2, Usage{Concurrency: 6, Running: 1})
	is.Equal(reportComplete("n1", 3, Usage{Waiting: 8})[0].Concurrency, 2) // n2 may still use 6
	reportComplete("n2", 3, Usage{Serial: 4, Concurrency: 1, Running: 1})
	is.Equal(reportComplete("n1", 4, Usage{Waiting: 8})[0].Concurrency, 7)
	r := Report{Node: "n1", Term: 1, Seq: 5, Customers: []Usage{{Customer: "b", Waiting: 8}}}
	is.Equal(al.Report(r, time.Minute).Leases[0].Concurrency, 0)
}

func TestBucketReturnsExcess(t *testing.T) {
	is := is.New(t)
	b := bucket{level: 5, size: 5, rate: 2}
	is.Equal(b.resize(3, 2), 2.0)
	is.Equal(b.level, 3.0)
	is.Equal(b.advance(time.Second), 2.0)
	is.Equal(b.level, 3.0)
}

func TestLeasedRateStaysChargedOnContractChange(t *testing.T) {
	is := is.New(t)
	al, now := settledAllocator()
	l := testLimits
	l.Burst, l.Rate = 1, 8
	al.SetLimits(l, now)
	is.Equal(al.Report(usageReport("n", 1, Usage{Waiting: 1, Backlog: 1}), now).Leases[0].Rate, 8.0)
	l.Burst, l.Rate = 4, 5
	al.SetLimits(l, now)
	is.Equal(al.pools["a"].bucket.rate, 0.0)
	is.Equal(al.Report(usageReport("m", 1, Usage{Waiting: 1, Backlog: 1}), now).Leases[0].Rate, 0.0)
}
