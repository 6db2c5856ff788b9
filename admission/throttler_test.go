package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// harness is a throttler that gets its leases from one allocator.
type harness struct {
	*Throttler
	allocator *Allocator
	now       time.Duration
	nextID    uint64
}

func newHarness(limits ...Limits) *harness {
	b := &harness{
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

// exchange advances the time by 250 ms and renews the leases with one report.
func (b *harness) exchange() {
	b.now += 250 * time.Millisecond
	b.Accept(b.allocator.Report(b.Report(b.now), b.now), b.now)
}

// arrive sends a request whose deadline is after the given wait.
func (b *harness) arrive(customer, target string, wait time.Duration) Decision {
	b.nextID++
	q := Request{ID: b.nextID, Customer: customer, Target: target, Deadline: b.now + wait}
	return b.Arrive(q, b.now)
}

// setReady makes a target ready with the given number of slots.
func (b *harness) setReady(target string, slots int) {
	b.SetTarget(target, TargetState{Readiness: Ready, Slots: slots}, b.now)
}

// wideLimits returns limits large enough that few tests reach them.
func wideLimits(customer string) Limits {
	return Limits{Customer: customer, Concurrency: 50, Rate: 1000, Burst: 500, Queue: 100, Wait: 10 * time.Second}
}

// pollStarted returns the IDs of the requests that Poll starts, in order. It fails the
// test on a refusal.
func (b *harness) pollStarted(is *is.I) []uint64 {
	is.Helper()
	var ids []uint64
	for _, d := range b.Poll(b.now) {
		is.Equal(d.Verdict, Run)
		ids = append(ids, d.ID)
	}
	return ids
}

func TestSmallContractMovesBetweenNodes(t *testing.T) {
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
	b := newHarness(wideLimits("a"))
	for _, wait := range []time.Duration{9 * time.Second, 5 * time.Second, 7 * time.Second} {
		is.Equal(b.arrive("a", "m", wait).Verdict, Queued)
	}
	b.setReady("m", 1)
	b.exchange()
	var order []uint64
	for range 3 {
		ids := b.pollStarted(is)
		is.Equal(len(ids), 1)
		order = append(order, ids...)
		is.True(b.Release(ids[0], b.now))
	}
	is.Equal(order, []uint64{2, 3, 1})
}

func TestCustomersAlternateOnSharedSlot(t *testing.T) {
	is := is.New(t)
	b := newHarness(wideLimits("a"), wideLimits("b"))
	for range 40 {
		b.arrive("a", "m", 5*time.Second)
	}
	b.arrive("b", "m", 9*time.Second)
	b.arrive("b", "m", 9*time.Second)
	b.setReady("m", 1)
	b.exchange()
	for i := range 4 {
		ids := b.pollStarted(is)
		is.Equal(len(ids), 1)
		is.Equal(ids[0] > 40, i%2 == 1) // a and b start alternately
		b.Release(ids[0], b.now)
	}
}

func TestColdTargetDoesNotBlockReadyTarget(t *testing.T) {
	is := is.New(t)
	b := newHarness(wideLimits("a"))
	b.setReady("warm", 8)
	is.Equal(b.arrive("a", "cold", time.Second).Verdict, Queued)
	is.Equal(b.arrive("a", "warm", 5*time.Second).Verdict, Queued)
	b.exchange()
	is.Equal(b.pollStarted(is), []uint64{2})
	is.Equal(len(b.Demands(b.now)), 1)
}

func TestInfeasibleRequestIsRefused(t *testing.T) {
	is := is.New(t)
	b := newHarness(wideLimits("a"))
	b.setReady("warm", 1)
	b.arrive("a", "warm", time.Second)
	b.exchange()
	cold := TargetState{Readiness: Expected, Slots: 8, ReadyAt: b.now + 4*time.Second}
	b.SetTarget("cold", cold, b.now)
	d := b.arrive("a", "cold", 3*time.Second)
	is.Equal(d, Decision{ID: d.ID, Verdict: Refused, Reason: Late, RetryAfter: time.Second})
	d = b.arrive("a", "cold", 5*time.Second)
	is.Equal(d.Verdict, Queued)
	b.Poll(b.now)
	// A later estimate makes the queued request infeasible.
	cold.ReadyAt = b.now + 20*time.Second
	b.SetTarget("cold", cold, b.now)
	refusals := b.Poll(b.now)
	is.Equal(refusals, []Decision{{ID: d.ID, Verdict: Refused, Reason: Late, RetryAfter: 15 * time.Second}})
	b.SetTarget("cold", TargetState{Readiness: Gone, RetryAfter: time.Minute}, b.now)
	d = b.arrive("a", "cold", 5*time.Second)
	is.Equal(d, Decision{ID: d.ID, Verdict: Refused, Reason: Unavailable, RetryAfter: time.Minute})
	limits := wideLimits("none")
	limits.Concurrency = 0
	b.SetLimits(limits)
	is.Equal(b.arrive("none", "warm", 5*time.Second).RetryAfter, MaxRetryAfter)
}

func TestEstimateTimeout(t *testing.T) {
	is := is.New(t)
	b := newHarness(wideLimits("a"))
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
	limits := wideLimits("a")
	limits.Queue = 1
	b := newHarness(limits)
	b.setReady("m", 1)
	is.Equal(b.arrive("a", "m", 5*time.Second).Verdict, Queued)
	is.Equal(b.arrive("a", "m", 5*time.Second).Reason, QueueFull)
	b.exchange()
	is.Equal(b.pollStarted(is), []uint64{1})
	is.Equal(b.arrive("a", "m", 5*time.Second).Verdict, Queued)
	b.exchange() // grants a token, but no slot is free
	is.Equal(len(b.pollStarted(is)), 0)
	is.True(b.Cancel(1)) // running
	is.Equal(b.pollStarted(is), []uint64{3})
	is.Equal(b.arrive("a", "m", 5*time.Second).Verdict, Queued)
	is.True(b.Cancel(4)) // waiting
	is.True(!b.Cancel(4))
	is.Equal(b.arrive("a", "m", 5*time.Second).Verdict, Queued)
}

func TestRemoveLimitsRefusesQueued(t *testing.T) {
	is := is.New(t)
	b := newHarness(wideLimits("a"))
	b.setReady("m", 1)
	b.arrive("a", "m", 5*time.Second)
	b.arrive("a", "m", 5*time.Second)
	b.exchange()
	is.Equal(b.pollStarted(is), []uint64{1})
	b.RemoveLimits("a")
	out := b.Poll(b.now)
	is.Equal(len(out), 1)
	is.Equal(out[0].Reason, NoContract)
	is.Equal(b.arrive("a", "m", 5*time.Second).Reason, NoContract)
	is.True(b.Release(1, b.now))
	is.Equal(len(b.customers), 0)
}

func TestIdleCustomerReturnsLease(t *testing.T) {
	is := is.New(t)
	b := newHarness(wideLimits("a"))
	b.setReady("m", 1)
	b.arrive("a", "m", 5*time.Second)
	b.exchange()
	is.Equal(b.pollStarted(is), []uint64{1})
	b.Release(1, b.now)
	for range 25 {
		b.exchange()
	}
	is.Equal(b.allocator.Charged("a", b.now), Charged{})
	is.Equal(len(b.Report(b.now).Customers), 0)
}
