package bodybuffer

import (
	"bytes"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestBodiesAreRead(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1 << 20)
	for _, n := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, 100_000} {
		want := bytes.Repeat([]byte("x"), n)
		for _, size := range []int64{-1, int64(n)} {
			s := b.NewShare()
			got, err := s.Read(iotest.HalfReader(bytes.NewReader(want)), size, 100_000)
			is.NoErr(err)
			is.True(bytes.Equal(got, want))
			is.True(size < 0 || b.Used() <= size+1)
			s.Release()
		}
	}
	is.Equal(b.Used(), int64(0))
}

func TestBodyErrors(t *testing.T) {
	is := is.New(t)
	b := NewBudget(50_000)
	s := b.NewShare()
	_, err := s.Read(strings.NewReader("12345"), 5, 4)
	is.True(errors.Is(err, ErrTooLarge))
	_, err = s.Read(strings.NewReader("12345"), -1, 4)
	is.True(errors.Is(err, ErrTooLarge))
	_, err = s.Read(iotest.ErrReader(io.ErrUnexpectedEOF), -1, 4)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	_, err = s.Read(endless{}, -1, 1<<40)
	is.True(errors.Is(err, ErrNoMemory))
	s.Release()
	is.True(b.Fits(50_000) && !b.Fits(50_001))
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestBudgetBoundsAllBodies has many calls read bodies without end at once.
func TestBudgetBoundsAllBodies(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	b := NewBudget(limit)
	var calls sync.WaitGroup
	for range 50 {
		calls.Go(func() {
			for range 100 {
				s := b.NewShare()
				if _, err := s.Read(endless{}, -1, 1<<40); !errors.Is(err, ErrNoMemory) {
					t.Error(err)
				}
				s.Release()
			}
		})
	}
	calls.Wait()
	is.Equal(b.Used(), int64(0))
}

// TestReserveOfRunningCalls fills the budget with requests. Calls that run still take the reserve, and those that have not begun do not.
func TestReserveOfRunningCalls(t *testing.T) {
	is := is.New(t)
	b := &Budget{limit: 1000, reserve: 200}
	waiting, running, detour := b.NewShare(), b.NewShare(), b.NewShare()
	is.True(running.Take(Requests, 400))
	is.True(detour.Take(Detours, 100))
	is.True(waiting.Take(Requests, 500))
	is.True(!waiting.Take(Requests, 1))
	is.True(!detour.Take(Detours, 1))
	running.Begin()
	event, err := running.Append(nil, make([]byte, 150))
	is.NoErr(err)
	_, err = running.Append(event, make([]byte, 60))
	is.True(errors.Is(err, ErrNoMemory))
	is.Equal([]int64{b.UsedFor(Requests), b.UsedFor(Answers), b.UsedFor(Events), b.UsedFor(Detours)}, []int64{900, 0, 150, 100})
	for _, s := range []*Share{waiting, running, detour} {
		s.Release()
	}
	is.Equal(b.Used()+b.UsedFor(Requests)+b.UsedFor(Events)+b.UsedFor(Detours), int64(0))
}

// TestDroppedBodiesAreCollected reads as many bodies one after the other as the budget would hold together. Before the next large one takes
// memory, the dropped ones must be collected.
func TestDroppedBodiesAreCollected(t *testing.T) {
	is := is.New(t)
	const limit = 8 << 20
	for _, c := range []struct {
		size     int
		collects bool
	}{{1 << 20, true}, {8 << 10, false}} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		b := NewBudget(limit)
		for range limit / c.size {
			share := b.NewShare()
			_, err := share.Read(bytes.NewReader(make([]byte, c.size)), int64(c.size), limit)
			is.NoErr(err)
			share.Release()
			is.True(!c.collects || b.dropped.Load() < limit)
		}
		runtime.ReadMemStats(&after)
		is.Equal(after.NumForcedGC > before.NumForcedGC, c.collects)
	}
}
