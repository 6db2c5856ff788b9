package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// bench is a throttler whose leases a single allocator renews.
type bench struct {
	*Throttler
	allocator *Allocator
	now       time.Duration
	nextID    uint64
}

func newBench(limits ...Limits) *bench {
	b := &bench{
		Throttler: NewThrottler(Config{Node: "n"}),
		allocator: NewAllocator(AllocatorConfig{Term: 1}),
		now:       time.Hour,
	}
	b.SetTerm(1)
	for _, l := range limits {
		b.SetLimits(l)
		b.allocator.SetLimits(l, 0)
	}
	return b
}

func (b *bench) exchange() {
	b.now += 250 * time.Millisecond
	b.Accept(b.allocator.Report(b.Report(b.now), b.now), b.now)
}

func (b *bench) arrive(customer, target string, wait time.Duration) Decision {
	b.nextID++
	q := Request{ID: b.nextID, Customer: customer, Target: target, Deadline: b.now + wait}
	return b.Arrive(q, b.now)
}

func (b *bench) ready(target string, slots int) {
	b.SetTarget(target, TargetState{Readiness: Ready, Slots: slots}, b.now)
}

func wide(customer string) Limits {
	return Limits{Customer: customer, Concurrency: 50, Rate: 1000, Burst: 500, Queue: 100, Wait: 10 * time.Second}
}

// started returns the IDs of the requests that Poll starts, in order, and
// fails on refusals.
func (b *bench) started(is *is.I) []uint64 {
	is.Helper()
	var ids []uint64
	for _, d := range b.Poll(b.now) {
		is.Equal(d.Verdict, Run)
		ids = append(ids, d.ID)
	}
	return ids
}

func TestEveryNodeCanUseSmallContracts(t *testing.T) {
	is := is.New(t)
	limits := Limits{Customer: "a", Concurrency: 1, Rate: 1, Burst: 1, Queue: 1, Wait: time.Second}
	al := NewAllocator(AllocatorConfig{Term: 1})
	al.SetLimits(limits, 0)
	now := 10 * time.Second
	for _, node := range []string{"n1", "n2", "n3"} {
		th := NewThrottler(Config{Node: node})
		th.SetTerm(1)
		th.SetLimits(limits)
		th.SetTarget("m", TargetState{Readiness: Ready, Slots: 8}, now)
		d := th.Arrive(Request{ID: 1, Customer: "a", Target: "m", Deadline: now + time.Second}, now)
		is.Equal(d.Verdict, Queued)
		is.True(th.ReportDue(now))
		is.True(th.Accept(al.Report(th.Report(now), now), now))
		is.Equal(th.Poll(now), []Decision{{ID: 1, Verdict: Run}})
		is.True(th.Release(1, now))
		now += 10 * time.Second
	}
}

func TestEarlierDeadlineStartsFirst(t *testing.T) {
	is := is.New(t)
	b := newBench(wide("a"))
	for _, wait := range []time.Duration{9 * time.Second, 5 * time.Second, 7 * time.Second} {
		is.Equal(b.arrive("a", "m", wait).Verdict, Queued)
	}
	b.ready("m", 1)
	b.exchange()
	var order []uint64
	for range 3 {
		ids := b.started(is)
		is.Equal(len(ids), 1)
		order = append(order, ids...)
		is.True(b.Release(ids[0], b.now))
	}
	is.Equal(order, []uint64{2, 3, 1})
}

func TestCustomersTakeTurnsOnAModel(t *testing.T) {
	is := is.New(t)
	b := newBench(wide("a"), wide("b"))
	for range 40 {
		b.arrive("a", "m", 5*time.Second)
	}
	b.arrive("b", "m", 9*time.Second)
	b.arrive("b", "m", 9*time.Second)
	b.ready("m", 1)
	b.exchange()
	for i := range 4 {
		ids := b.started(is)
		is.Equal(len(ids), 1)
		is.Equal(ids[0] > 40, i%2 == 1) // every second start is b's
		b.Release(ids[0], b.now)
	}
}

func TestColdTargetDoesNotBlockReadyOne(t *testing.T) {
	is := is.New(t)
	b := newBench(wide("a"))
	b.ready("warm", 8)
	is.Equal(b.arrive("a", "cold", time.Second).Verdict, Queued)
	is.Equal(b.arrive("a", "warm", 5*time.Second).Verdict, Queued)
	b.exchange()
	is.Equal(b.started(is), []uint64{2})
	is.Equal(len(b.Demands(b.now)), 1)
}

func TestInfeasibleRequestsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(wide("a"))
	b.ready("warm", 1)
	b.arrive("a", "warm", time.Second)
	b.exchange()
	cold := TargetState{Readiness: Expected, Slots: 8, ReadyAt: b.now + 4*time.Second}
	b.SetTarget("cold", cold, b.now)
	d := b.arrive("a", "cold", 3*time.Second)
	is.Equal(d, Decision{ID: d.ID, Verdict: Refused, Reason: Late, RetryAfter: time.Second})
	d = b.arrive("a", "cold", 5*time.Second)
	is.Equal(d.Verdict, Queued)
	b.Poll(b.now)
	// The store slows down: the refusal comes with the new estimate.
	cold.ReadyAt = b.now + 20*time.Second
	b.SetTarget("cold", cold, b.now)
	refusals := b.Poll(b.now)
	is.Equal(refusals, []Decision{{ID: d.ID, Verdict: Refused, Reason: Late, RetryAfter: 15 * time.Second}})
	b.SetTarget("cold", TargetState{Readiness: Gone, RetryAfter: time.Minute}, b.now)
	d = b.arrive("a", "cold", 5*time.Second)
	is.Equal(d, Decision{ID: d.ID, Verdict: Refused, Reason: Unavailable, RetryAfter: time.Minute})
	limits := wide("none")
	limits.Concurrency = 0
	b.SetLimits(limits)
	is.Equal(b.arrive("none", "warm", 5*time.Second).RetryAfter, MaxRetryAfter)
}

func TestEstimateThatNeverComesEndsTheWait(t *testing.T) {
	is := is.New(t)
	b := newBench(wide("a"))
	b.arrive("a", "cold", 10*time.Second)
	for range 19 {
		b.exchange()
		is.Equal(len(b.Poll(b.now)), 0)
	}
	b.exchange()
	b.exchange()
	out := b.Poll(b.now)
	is.Equal(len(out), 1)
	is.Equal(out[0].Reason, NoEstimate)
	is.Equal(b.arrive("a", "cold", 10*time.Second).Reason, NoEstimate)
}

func TestCancelFreesPlaces(t *testing.T) {
	is := is.New(t)
	limits := wide("a")
	limits.Queue = 1
	b := newBench(limits)
	b.ready("m", 1)
	is.Equal(b.arrive("a", "m", 5*time.Second).Verdict, Queued)
	is.Equal(b.arrive("a", "m", 5*time.Second).Reason, QueueFull)
	b.exchange()
	is.Equal(b.started(is), []uint64{1})
	is.Equal(b.arrive("a", "m", 5*time.Second).Verdict, Queued)
	b.exchange() // brings a token, but no slot
	is.Equal(len(b.started(is)), 0)
	is.True(b.Cancel(1)) // runs
	is.Equal(b.started(is), []uint64{3})
	is.Equal(b.arrive("a", "m", 5*time.Second).Verdict, Queued)
	is.True(b.Cancel(4)) // waits
	is.True(!b.Cancel(4))
	is.Equal(b.arrive("a", "m", 5*time.Second).Verdict, Queued)
}

func TestEndedContractRefusesWhatWaits(t *testing.T) {
	is := is.New(t)
	b := newBench(wide("a"))
	b.ready("m", 1)
	b.arrive("a", "m", 5*time.Second)
	b.arrive("a", "m", 5*time.Second)
	b.exchange()
	is.Equal(b.started(is), []uint64{1})
	b.RemoveLimits("a")
	out := b.Poll(b.now)
	is.Equal(len(out), 1)
	is.Equal(out[0].Reason, NoContract)
	is.Equal(b.arrive("a", "m", 5*time.Second).Reason, NoContract)
	is.True(b.Release(1, b.now))
	is.Equal(len(b.customers), 0)
}

func TestIdleCustomerReturnsItsShares(t *testing.T) {
	is := is.New(t)
	b := newBench(wide("a"))
	b.ready("m", 1)
	b.arrive("a", "m", 5*time.Second)
	b.exchange()
	is.Equal(b.started(is), []uint64{1})
	b.Release(1, b.now)
	for range 25 {
		b.exchange()
	}
	is.Equal(b.allocator.Charged("a", b.now), Charged{})
	is.Equal(len(b.Report(b.now).Customers), 0)
}
