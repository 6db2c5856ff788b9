package control

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/placement"
)

// sizedState returns a state with the given numbers of models, adapters per model and
// settled claims. There are 20 models per contract and 4 grants per model.
func sizedState(models, adapters, claims int) *State {
	s := New()
	const perContract = 20
	for i := 0; i < models; i += perContract {
		c := contract.Contract{Customer: fmt.Sprintf("customer-%d", i), Wait: 1, Capacity: contract.Capacity{Replicas: 1 << 20}}
		c.Keys = []contract.Key{{ID: "k", SHA256: fmt.Sprintf("%064d", i)}}
		for m := i; m < min(i+perContract, models); m++ {
			c.Models = append(c.Models, sizedModel(m, adapters))
		}
		s.applyContract(uint64(i+2), Origin{Actor: "op", Node: "n"}, ApplyContract{ChangeID: strconv.Itoa(i), Contract: c})
	}
	for m := range models {
		for r := range 4 {
			g := placement.Grant{
				Key:      placement.Key{Customer: fmt.Sprintf("customer-%d", m/perContract*perContract), Model: fmt.Sprintf("model-%d", m)},
				Upstream: fmt.Sprintf("runner-%d", 4*m+r), Incarnation: 1, Memory: 10, Tier: directory.TierDisk,
			}
			s.applyGrantChanges([]placement.Change{{Kind: placement.Add, Grant: g, UpstreamMemory: 100}})
		}
	}
	for i := range claims {
		k := ledger.Key{Customer: "customer-0", Idempotency: fmt.Sprintf("invoice-%08d", i)}
		s.claims.Claim(ledger.Claim{Key: k, Fingerprint: fmt.Sprintf("%064d", i), Owner: ledger.Owner{Node: "n", Boot: "b"}, Attempt: "a"})
		s.claims.Finish(ledger.Finish{Key: k, Attempt: "a", State: ledger.Ran, Answer: &ledger.Answer{Status: 200, Body: make([]byte, 256)}})
	}
	return s
}

// sizedModel returns the model with index m and the given number of adapters.
func sizedModel(m, adapters int) contract.Model {
	model := contract.Model{Name: fmt.Sprintf("model-%d", m), Memory: 10, Replicas: 8, Slots: 8}
	for a := range adapters {
		model.Adapters = append(model.Adapters, fmt.Sprintf("adapter-%d-%d", m, a))
	}
	return model
}

// heapOf returns the state that build returns and the bytes of live heap it holds.
func heapOf(build func() *State) (int64, *State) {
	live := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := live()
	s := build()
	return live() - before, s
}

// BenchmarkStateSize reports the heap and snapshot size, in bytes, of states of increasing
// size, for docs/CAPACITY.md.
func BenchmarkStateSize(b *testing.B) {
	sizes := []struct{ models, adapters, claims int }{
		{50, 1, 0}, {130, 87, 0}, {260, 87, 0}, {520, 87, 0}, {50, 1, 1000}, {50, 1, 4000}, {50, 1, ledger.MaxRecords},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("models=%d/adapters=%d/claims=%d", size.models, size.models*size.adapters, size.claims), func(b *testing.B) {
			heap, s := heapOf(func() *State { return sizedState(size.models, size.adapters, size.claims) })
			snapshotBytes := 0
			b.ResetTimer()
			for range b.N {
				data, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				snapshotBytes = len(data)
			}
			b.ReportMetric(float64(heap), "heap-B")
			b.ReportMetric(float64(snapshotBytes), "snapshot-B")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkApplyChange reports the encoded size in bytes and the time to encode, decode
// and apply an accepted change of a contract of 20 models with 87 adapters each.
func BenchmarkApplyChange(b *testing.B) {
	c := contract.Contract{Customer: "customer", Wait: 1, Capacity: contract.Capacity{Replicas: 1}}
	for m := range 20 {
		c.Models = append(c.Models, sizedModel(m, 87))
	}
	s := New()
	entryBytes := 0
	b.ResetTimer()
	for i := range b.N {
		cmd := applyCmd(strconv.Itoa(i), uint64(i), c)
		data, err := cmd.Encode()
		if err != nil {
			b.Fatal(err)
		}
		entryBytes = len(data)
		decoded, err := DecodeCommand(data)
		if err != nil {
			b.Fatal(err)
		}
		s.applyCommand(uint64(i+2), decoded)
	}
	b.ReportMetric(float64(entryBytes), "entry-B")
}
