package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/agateslip/agateslip/directory"
)

var sizes = []int{18, 300, 3000}

// benchPrompt is four blocks long.
var benchPrompt = HashPrompt("m", strings.Repeat("x", 4*BlockBytes), 16)

// filledSelector returns a selector with n engines at different loads.
func filledSelector(n int) *Selector {
	s := NewSelector(Config{}, rand.New(rand.NewPCG(1, 1)))
	for i := range n {
		s.Update(engineView(i, "m", i%6))
	}
	return s
}

func BenchmarkSelect(b *testing.B) {
	for _, n := range sizes {
		for _, prefix := range [][]BlockHash{nil, benchPrompt} {
			b.Run(fmt.Sprintf("%d/%d blocks", n, len(prefix)), func(b *testing.B) {
				s := filledSelector(n)
				q := Query{Model: "m", Prefix: prefix, Domain: "domain-1"}
				b.ReportAllocs()
				for b.Loop() {
					s.Select(q, 0)
				}
			})
		}
	}
}

func BenchmarkUpdate(b *testing.B) {
	runBySize(b, sizes, func(b *testing.B, n int) {
		s := filledSelector(n)
		views := make([]directory.View, n)
		for i := range views {
			views[i] = engineView(i, "m", 1)
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			v := &views[i%n]
			v.Announcement.Seq++
			s.Update(*v)
		}
	})
}

func BenchmarkPrefixMatch(b *testing.B) {
	runBySize(b, []int{64, 512, 4096}, func(b *testing.B, blocks int) {
		x := filledIndex(1, blocks)
		b.ReportAllocs()
		for b.Loop() {
			x.Match("u0", benchPrompt, 0)
		}
	})
}

func BenchmarkHashPrompt(b *testing.B) {
	prompt := strings.Repeat("x", 16*BlockBytes)
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		HashPrompt("m", prompt, 16)
	}
}

// filledIndex returns an index with the given number of blocks for each upstream.
func filledIndex(upstreams, blocks int) *PrefixIndex {
	x := NewPrefixIndex(blocks, DefaultPrefixHalfLife)
	for u := range upstreams {
		hashes := append([]BlockHash{}, benchPrompt...)
		for i := len(hashes); i < blocks; i++ {
			hashes = append(hashes, BlockHash(i))
		}
		x.Apply(CacheEvent{Upstream: fmt.Sprintf("u%d", u), Incarnation: 1, Seq: 1, Blocks: hashes}, 0)
	}
	return x
}

// BenchmarkState reports the heap bytes per upstream, and per block of the prefix index.
func BenchmarkState(b *testing.B) {
	runBySize(b, sizes, func(b *testing.B, n int) {
		for b.Loop() {
			before := heapInUse()
			s := filledSelector(n)
			b.ReportMetric(float64(heapInUse()-before)/float64(n), "B/upstream")
			runtime.KeepAlive(s)
			before = heapInUse()
			x := filledIndex(n, 100)
			b.ReportMetric(float64(heapInUse()-before)/float64(100*n), "B/block")
			runtime.KeepAlive(x)
		}
	})
}

// heapInUse returns the heap bytes in use after a garbage collection.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func TestSelectDoesNotAllocate(t *testing.T) {
	s := filledSelector(300)
	q := Query{Model: "m", Prefix: benchPrompt, Domain: "domain-1"}
	allocs := testing.AllocsPerRun(100, func() {
		s.Select(q, 0)
	})
	if allocs > 0 {
		t.Errorf("%g allocations per Select, want 0", allocs)
	}
}

// runBySize runs a sub-benchmark for each size.
func runBySize(b *testing.B, sizes []int, run func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { run(b, n) })
	}
}
