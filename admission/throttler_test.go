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

// newHarness returns a harness for contracts with the given limits.
func newHarness(limits ...Limits) *harness {
	h := &harness{
		Throttler: NewThrottler(Config{Node: "n"}),
		allocator: NewAllocator(AllocatorConfig{Term: 1}),
		now:       time.Hour,
	}
	h.SetTerm(1)
	for _, l := range limits {
		h.SetLimits(l)
		h.allocator.SetLimits(l, 0)
	}
	return h
}

// exchange advances the time by 250 ms and renews the leases with one report.
func (h *harness) exchange() {
	h.now += 250 * time.Millisecond
	h.Accept(h.allocator.Report(h.Report(h.now), h.now), h.now)
}

// arrive sends a request whose deadline is after the given wait.
func (h *harness) arrive(customer, target string, wait time.Duration) Decision {
	h.nextID++
	q := Request{ID: h.nextID, Customer: customer, Target: target, Deadline: h.now + wait}
	return h.Arrive(q, h.now)
}

// setReady makes a target ready with the given number of slots.
func (h *harness) setReady(target string, slots int) {
	h.SetTarget(target, TargetState{Readiness: Ready, Slots: slots}, h.now)
}

// wideLimits returns limits large enough that few tests reach them.
func wideLimits(customer string) Limits {
	return Limits{Customer: customer, Concurrency: 50, Rate: 1000, Burst: 500, Queue: 100, Wait: 10 * time.Second}
}

// pollStarted returns the IDs of the requests that Poll starts, in order. It fails the
// test on a refusal.
func (h *harness) pollStarted(is *is.I) []uint64 {
	is.Helper()
	var ids []uint64
	for _, d := range h.Poll(h.now) {
		is.Equal(d.Verdict, Run)
		ids = append(ids, d.ID)
	}
	return ids
}

// TestSmallContractMovesBetweenNodes checks that a contract for one request at a time can
// be used on three nodes in turn.
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
	h := newHarness(wideLimits("a"))
	for _, wait := range []time.Duration{9 * time.Second, 5 * time.Second, 7 * time.Second} {
		is.Equal(h.arrive("a", "m", wait).Verdict, Queued)
	}
	h.setReady("m", 1)
	h.exchange()
	var order []uint64
	for range 3 {
		ids := h.pollStarted(is)
		is.Equal(len(ids), 1)
		order = append(order, ids...)
		is.True(h.Release(ids[0], h.now))
	}
	is.Equal(order, []uint64{2, 3, 1})
}

func TestCustomersAlternateOnSharedSlot(t *testing.T) {
	is := is.New(t)
	h := newHarness(wideLimits("a"), wideLimits("b"))
	for range 40 {
		h.arrive("a", "m", 5*time.Second)
	}
	h.arrive("b", "m", 9*time.Second)
	h.arrive("b", "m", 9*time.Second)
	h.setReady("m", 1)
	h.exchange()
	for i := range 4 {
		ids := h.pollStarted(is)
		is.Equal(len(ids), 1)
		is.Equal(ids[0] > 40, i%2 == 1) // a and b start alternately
		h.Release(ids[0], h.now)
	}
}

func TestColdTargetDoesNotBlockReadyTarget(t *testing.T) {
	is := is.New(t)
	h := newHarness(wideLimits("a"))
	h.setReady("warm", 8)
	is.Equal(h.arrive("a", "cold", time.Second).Verdict, Queued)
	is.Equal(h.arrive("a", "warm", 5*time.Second).Verdict, Queued)
	h.exchange()
	is.Equal(h.pollStarted(is), []uint64{2})
	is.Equal(len(h.Demands(h.now)), 1)
}

func TestInfeasibleRequestIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(wideLimits("a"))
	h.setReady("warm", 1)
	h.arrive("a", "warm", time.Second)
	h.exchange()
	cold := TargetState{Readiness: Expected, Slots: 8, ReadyAt: h.now + 4*time.Second}
	h.SetTarget("cold", cold, h.now)
	d := h.arrive("a", "cold", 3*time.Second)
	is.Equal(d, Decision{ID: d.ID, Verdict: Refused, Reason: Late, RetryAfter: time.Second})
	d = h.arrive("a", "cold", 5*time.Second)
	is.Equal(d.Verdict, Queued)
	h.Poll(h.now)
	// A later estimate makes the queued request infeasible.
	cold.ReadyAt = h.now + 20*time.Second
	h.SetTarget("cold", cold, h.now)
	refusals := h.Poll(h.now)
	is.Equal(refusals, []Decision{{ID: d.ID, Verdict: Refused, Reason: Late, RetryAfter: 15 * time.Second}})
	h.SetTarget("cold", TargetState{Readiness: Gone, RetryAfter: time.Minute}, h.now)
	d = h.arrive("a", "cold", 5*time.Second)
	is.Equal(d, Decision{ID: d.ID, Verdict: Refused, Reason: Unavailable, RetryAfter: time.Minute})
	limits := wideLimits("none")
	limits.Concurrency = 0
	h.SetLimits(limits)
	is.Equal(h.arrive("none", "warm", 5*time.Second).RetryAfter, MaxRetryAfter)
}

func TestEstimateTimeout(t *testing.T) {
	is := is.New(t)
	h := newHarness(wideLimits("a"))
	h.arrive("a", "cold", 10*time.Second)
	for range 19 {
		h.exchange()
		is.Equal(len(h.Poll(h.now)), 0)
	}
	h.exchange()
	h.exchange()
	out := h.Poll(h.now)
	is.Equal(len(out), 1)
	is.Equal(out[0].Reason, NoEstimate)
	is.Equal(h.arrive("a", "cold", 10*time.Second).Reason, NoEstimate)
}

func TestCancelFreesSlotAndQueuePlace(t *testing.T) {
	is := is.New(t)
	limits := wideLimits("a")
	limits.Queue = 1
	h := newHarness(limits)
	h.setReady("m", 1)
	is.Equal(h.arrive("a", "m", 5*time.Second).Verdict, Queued)
	is.Equal(h.arrive("a", "m", 5*time.Second).Reason, QueueFull)
	h.exchange()
	is.Equal(h.pollStarted(is), []uint64{1})
	is.Equal(h.arrive("a", "m", 5*time.Second).Verdict, Queued)
	h.exchange() // grants a token, but no slot is free
	is.Equal(len(h.pollStarted(is)), 0)
	is.True(h.Cancel(1)) // request 1 is running
	is.Equal(h.pollStarted(is), []uint64{3})
	is.Equal(h.arrive("a", "m", 5*time.Second).Verdict, Queued)
	is.True(h.Cancel(4)) // request 4 is waiting
	is.True(!h.Cancel(4))
	is.Equal(h.arrive("a", "m", 5*time.Second).Verdict, Queued)
}

func TestRemoveLimitsRefusesQueued(t *testing.T) {
	is := is.New(t)
	h := newHarness(wideLimits("a"))
	h.setReady("m", 1)
	h.arrive("a", "m", 5*time.Second)
	h.arrive("a", "m", 5*time.Second)
	h.exchange()
	is.Equal(h.pollStarted(is), []uint64{1})
	h.RemoveLimits("a")
	out := h.Poll(h.now)
	is.Equal(len(out), 1)
	is.Equal(out[0].Reason, NoContract)
	is.Equal(h.arrive("a", "m", 5*time.Second).Reason, NoContract)
	is.True(h.Release(1, h.now))
	is.Equal(len(h.customers), 0)
}

func TestIdleCustomerReturnsLease(t *testing.T) {
	is := is.New(t)
	h := newHarness(wideLimits("a"))
	h.setReady("m", 1)
	h.arrive("a", "m", 5*time.Second)
	h.exchange()
	is.Equal(h.pollStarted(is), []uint64{1})
	h.Release(1, h.now)
	for range 25 {
		h.exchange()
	}
	is.Equal(h.allocator.Charged("a", h.now), Charged{})
	is.Equal(len(h.Report(h.now).Customers), 0)
}
