package admission

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchHarness returns a harness with wide leases for n customers. Each customer has
// the given number of requests waiting for a model that is not ready.
func benchHarness(n, waiting int) *harness {
	h := newHarness()
	h.config.IdleAfter = time.Hour
	h.setReady("m", 1<<30)
	for i := range n {
		l := wideLimits(fmt.Sprintf("customer-%05d", i))
		l.Rate, l.Burst = 1e9, 1e6
		h.SetLimits(l)
		h.allocator.SetLimits(l, 0)
		h.arrive(l.Customer, "m", time.Hour)
		for range waiting {
			h.arrive(l.Customer, "cold", time.Hour)
		}
	}
	h.exchange()
	for _, d := range h.Poll(h.now) {
		h.Release(d.ID, h.now)
	}
	return h
}

// admitAndRelease admits and releases one request. It cancels the request if it is
// queued.
func (h *harness) admitAndRelease(customer string) Verdict {
	d := h.arrive(customer, "m", time.Minute)
	if d.Verdict == Queued {
		h.Cancel(d.ID)
	}
	h.Release(d.ID, h.now)
	return d.Verdict
}

func BenchmarkArriveRelease(b *testing.B) {
	bySize(b, []int{10, 300, 3000}, func(b *testing.B, n int) {
		th := benchHarness(n, 0)
		c := fmt.Sprintf("customer-%05d", n/2)
		b.ReportAllocs()
		for b.Loop() {
			th.customers[c].bucket.level = 1e6
			if th.admitAndRelease(c) != Run {
				b.Fatal("request did not start immediately")
			}
		}
	})
}

func BenchmarkPollWaiting(b *testing.B) {
	bySize(b, []int{10, 300, 3000}, func(b *testing.B, n int) {
		th := benchHarness(n, 3)
		b.ReportAllocs()
		for b.Loop() {
			th.Poll(th.now)
		}
	})
}

func BenchmarkSweep(b *testing.B) {
	bySize(b, []int{10, 300, 3000}, func(b *testing.B, n int) {
		th := benchHarness(n, 3)
		b.ReportAllocs()
		for b.Loop() {
			for _, c := range th.withQueue {
				c.lastSweep = -never
			}
			th.Poll(th.now)
		}
	})
}

func BenchmarkReport(b *testing.B) {
	bySize(b, []int{10, 300, 3000}, func(b *testing.B, n int) {
		th := benchHarness(n, 0)
		b.ReportAllocs()
		for b.Loop() {
			th.reports.lastComplete = -never
			th.Report(th.now)
		}
	})
}

// BenchmarkAllocate answers reports on one contract that n nodes use.
func BenchmarkAllocate(b *testing.B) {
	bySize(b, []int{3, 9, 46, 370}, func(b *testing.B, n int) {
		al, now := settledAllocator()
		l := wideLimits("a")
		l.Concurrency = 4 * n
		al.SetLimits(l, now)
		b.ReportAllocs()
		serials := make([]uint64, n)
		for i := 0; b.Loop(); i++ {
			now += time.Second / time.Duration(4*n)
			u := Usage{Running: 2, Waiting: 1, Backlog: 1, Concurrency: 3, Serial: serials[i%n]}
			g := al.Report(usageReport(fmt.Sprintf("n%03d", i%n), uint64(i+1), u), now)
			serials[i%n] = g.Serial
			al.Pushes()
		}
	})
}

// BenchmarkMessages reports the size of a report and of its answer as JSON, in bytes
// per customer.
func BenchmarkMessages(b *testing.B) {
	bySize(b, []int{1, 10, 300}, func(b *testing.B, n int) {
		th := benchHarness(n, 0)
		for b.Loop() {
			th.reports.lastComplete = -never
			r := th.Report(th.now)
			report, _ := json.Marshal(r)
			grant, _ := json.Marshal(th.allocator.Report(r, th.now))
			b.ReportMetric(float64(len(report))/float64(n), "B/usage")
			b.ReportMetric(float64(len(grant))/float64(n), "B/lease")
		}
	})
}

// BenchmarkState reports the memory in bytes per customer and per waiting request on a
// node, and per share on the leader.
func BenchmarkState(b *testing.B) {
	bySize(b, []int{10, 300, 3000}, func(b *testing.B, n int) {
		for b.Loop() {
			before := heapInUse()
			th := benchHarness(n, 0)
			th.allocator = nil
			idle := heapInUse()
			b.ReportMetric(float64(idle-before)/float64(n), "B/customer")
			for i := range 10 * n {
				th.arrive(fmt.Sprintf("customer-%05d", i%n), "cold", time.Hour)
			}
			b.ReportMetric(float64(heapInUse()-idle)/float64(10*n), "B/waiting")
			runtime.KeepAlive(th)
			before = heapInUse()
			al := NewAllocator(AllocatorConfig{Term: 1})
			for i := range n {
				al.SetLimits(wideLimits(fmt.Sprint(i)), 0)
				for node := range 9 {
					u := Usage{Customer: fmt.Sprint(i), Waiting: 1}
					r := Report{Node: fmt.Sprintf("n%d", node), Term: 1, Seq: uint64(i + 1), Customers: []Usage{u}}
					al.Report(r, time.Minute)
				}
			}
			al.Pushes()
			b.ReportMetric(float64(heapInUse()-before)/float64(9*n), "B/share")
			runtime.KeepAlive(al)
		}
	})
}

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func TestAdmissionAllocations(t *testing.T) {
	th := benchHarness(300, 0)
	allocs := testing.AllocsPerRun(100, func() {
		th.customers["customer-00007"].bucket.level = 1e6
		th.admitAndRelease("customer-00007")
	})
	if allocs > 2 {
		t.Errorf("%g allocations per request", allocs)
	}
}

// bySize runs a benchmark for each size.
func bySize(b *testing.B, sizes []int, run func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { run(b, n) })
	}
}
