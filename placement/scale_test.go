package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
)

// platformSize is a size of platform for tests and benchmarks.
type platformSize struct{ models, adapters, upstreams int }

var sizes = []platformSize{
	{50, 40, 9},
	{105, 100, 18},
	{260, 11_000, 750},
	{520, 45_000, 3_000},
}

func (s platformSize) String() string {
	return fmt.Sprintf("models=%d/adapters=%d/upstreams=%d", s.models, s.adapters, s.upstreams)
}

// settledPlatform returns a platform in a steady state: a tenth of the models is called, and
// each upstream holds one replica and ten checkpoint copies.
func settledPlatform(s platformSize) *harness {
	models := manyModels(s.models, 16*gib)
	for i := range models {
		models[i].Name = fmt.Sprintf("m%04d", i)
		models[i].Replicas = s.upstreams/s.models + 1
		models[i].Reserved = (s.upstreams + s.models - 1 - i) / s.models
		for a := i; a < s.adapters; a += s.models {
			models[i].Adapters = append(models[i].Adapters, fmt.Sprintf("a%05d", a))
		}
	}
	b := newHarness(time.Minute, models...)
	b.in.Contracts[0].Capacity.Replicas = 2 * s.upstreams
	for i := range s.upstreams {
		b.addUpstream(i, models)
	}
	for i := 0; i < s.models; i += 10 {
		b.in.Demand = append(b.in.Demand, Demand{Key: Key{"c", models[i].Name}, Running: 4, Arrivals: 1})
	}
	b.now = time.Hour
	b.planner.Plan(b.now, b.in)
	return b
}

// addUpstream adds upstream i, with a ready replica and ten copies on disk.
func (b *harness) addUpstream(i int, models []contract.Model) {
	model := models[i%len(models)]
	b.ledger.Last++
	g := Grant{
		ID: b.ledger.Last, Key: Key{"c", model.Name}, Upstream: fmt.Sprintf("u%04d", i), Incarnation: 1,
		Memory: int64(model.Memory), Tier: directory.TierDisk,
	}
	b.ledger.Grants = append(b.ledger.Grants, g)
	a := engineAnnouncement(g.Upstream, directory.Replica{Grant: g.ID, Model: g.Model, State: directory.Ready, Memory: g.Memory})
	a.Domain = fmt.Sprintf("d%02d", i%27)
	a.ChecksFencing = true
	a.Kind = directory.Engine
	for c := range 10 {
		a.Copies = append(a.Copies, directory.Copy{Model: models[(i+c)%len(models)].Name, Tier: directory.TierDisk})
	}
	b.in.Upstreams = append(b.in.Upstreams, Upstream{Announcement: &a})
}

// reannounceSome announces a hundredth of the upstreams again, with a new load.
func (b *harness) reannounceSome(round int) {
	for i := range b.in.Upstreams {
		if (i+round)%100 != 0 {
			continue
		}
		a := *b.in.Upstreams[i].Announcement
		a.Seq++
		a.Load.Running = round % 7
		b.in.Upstreams[i].Announcement = &a
	}
}

// BenchmarkPlan measures a round of a platform in a steady state.
func BenchmarkPlan(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			p := settledPlatform(s)
			b.ReportAllocs()
			for round := 0; b.Loop(); round++ {
				p.now += 100 * time.Millisecond
				p.reannounceSome(round)
				p.planner.Plan(p.now, p.in)
			}
		})
	}
}

// BenchmarkPlanWaking measures a round in which requests wait for a twentieth as many new,
// cold models, and every upstream is considered for each of these.
func BenchmarkPlanWaking(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			p := settledPlatform(s)
			wakeModels(p, s.models/20)
			b.ReportAllocs()
			for b.Loop() {
				p.now += time.Microsecond
				p.planner.Plan(p.now, p.in)
			}
		})
	}
}

// wakeModels adds count cold models with waiting requests to the contract.
func wakeModels(p *harness, count int) {
	c := &p.in.Contracts[0]
	for i := range max(count, 1) {
		name := fmt.Sprintf("n%04d", i)
		c.Models = append(c.Models, contract.Model{Name: name, Memory: 16 * gib})
		p.in.Demand = append(p.in.Demand, Demand{Key: Key{"c", name}, Waiting: 3, Remaining: time.Minute, Arrivals: 3})
	}
	c.Capacity.Replicas += count
	p.in.Revision++
}

// heapOf returns the number of heap bytes that the value built by f keeps alive.
func heapOf(f func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return after.HeapAlloc - before.HeapAlloc
}

// BenchmarkState reports the heap bytes of the planner's own state, and those of a planner
// together with its inputs. Adapters are held in the contracts only.
func BenchmarkState(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				var inputs *harness
				b.ReportMetric(float64(heapOf(func() any { inputs = settledPlatform(s); return inputs })), "all-B")
				planner := heapOf(func() any {
					p := NewPlanner(inputs.planner.config)
					p.Plan(inputs.now, inputs.in)
					return p
				})
				b.ReportMetric(float64(planner), "planner-B")
				runtime.KeepAlive(inputs)
			}
		})
	}
}

// TestPlanAllocationsIndependentOfSize guards against rounds whose work grows with the size
// of the platform through allocations. It counts allocations because, unlike times, they do
// not depend on the load of the machine.
func TestPlanAllocationsIndependentOfSize(t *testing.T) {
	is := is.New(t)
	perRound := func(s platformSize) float64 {
		p := settledPlatform(s)
		round := 0
		return testing.AllocsPerRun(20, func() {
			round++
			p.now += 100 * time.Millisecond
			p.planner.Plan(p.now, p.in)
		})
	}
	small, large := perRound(sizes[0]), perRound(sizes[3])
	t.Logf("allocations per round: %.0f and %.0f", small, large)
	is.True(large <= small+8)
}
