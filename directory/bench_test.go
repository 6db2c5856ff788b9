package directory

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func filledDirectory(n int) *Directory {
	d := New(0)
	for i := range n {
		d.Apply(announcement(fmt.Sprintf("engine-%05d", i), 1, 1), 0)
	}
	return d
}

var sizes = []int{18, 300, 3000}

func BenchmarkApply(b *testing.B) {
	bySize(b, sizes, func(b *testing.B, n int) {
		d := filledDirectory(n)
		all := d.Snapshot(0)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			a := all[i%n].Announcement
			a.Seq = uint64(i + 2)
			d.Apply(a, time.Duration(i))
		}
	})
}

func BenchmarkExpire(b *testing.B) {
	bySize(b, sizes, func(b *testing.B, n int) {
		d := filledDirectory(n)
		b.ReportAllocs()
		for b.Loop() {
			d.Expire(0)
		}
	})
}

func BenchmarkChangedSince(b *testing.B) {
	bySize(b, sizes, func(b *testing.B, n int) {
		d := filledDirectory(n)
		b.ReportAllocs()
		for b.Loop() {
			d.ChangedSince(uint64(n-10), 0)
		}
	})
}

func BenchmarkNewerThan(b *testing.B) {
	bySize(b, sizes, func(b *testing.B, n int) {
		d := filledDirectory(n)
		digest := d.Digest()
		b.ReportAllocs()
		for b.Loop() {
			d.NewerThan(digest, 0)
		}
	})
}

func TestApplyDoesNotAllocate(t *testing.T) {
	d := filledDirectory(300)
	a := announcement("engine-00007", 1, 1)
	allocs := testing.AllocsPerRun(100, func() {
		a.Seq++
		d.Apply(a, 0)
	})
	if allocs > 0 {
		t.Errorf("Apply made %g allocations per announcement", allocs)
	}
}

// BenchmarkState reports the memory per upstream with two replicas, six adapters and five
// copies, in bytes.
func BenchmarkState(b *testing.B) {
	bySize(b, sizes, func(b *testing.B, n int) {
		for b.Loop() {
			before := heapBytes()
			d := New(0)
			for i := range n {
				d.Apply(fullAnnouncement(i), 0)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/upstream")
			runtime.KeepAlive(d)
		}
	})
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// fullAnnouncement returns an announcement that shares no strings with others, like a
// decoded one.
func fullAnnouncement(i int) Announcement {
	a := announcement(fmt.Sprintf("engine-%05d", i), 1, 1)
	a.Addr = fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256)
	a.Domain = fmt.Sprintf("domain-%d", i%27)
	for j := range 2 {
		r := Replica{Grant: 1, Model: fmt.Sprintf("model-%d", j), State: Ready}
		for k := range 3 {
			r.Adapters = append(r.Adapters, fmt.Sprintf("adapter-%05d", k))
		}
		a.Replicas = append(a.Replicas, r)
	}
	for j := range 5 {
		a.Copies = append(a.Copies, Copy{Model: fmt.Sprintf("model-%d", j), Tier: TierDisk})
	}
	return a
}

// bySize runs a sub-benchmark for each number of upstreams.
func bySize(b *testing.B, sizes []int, run func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { run(b, n) })
	}
}
