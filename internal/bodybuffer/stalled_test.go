package bodybuffer

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestStalledCallsGiveWay has calls wait that hold 30 bytes each, where 70 may be held.
func TestStalledCallsGiveWay(t *testing.T) {
	is := is.New(t)
	var s stalls
	var calls []*stalledCall
	for i := range 6 {
		c := s.newCall()
		c.announced = i < 2
		calls = append(calls, c)
	}
	begin := func(c *stalledCall, held int64) { s.begin(c, held, 70) }
	gone := func() (indices []int) {
		for i, c := range calls {
			if c.givesWay.Load() {
				indices = append(indices, i)
			}
		}
		return indices
	}
	begin(calls[4], 30)
	begin(calls[0], 30)
	begin(calls[2], 0)
	is.Equal(gone(), nil)
	begin(calls[3], 30)
	is.Equal(gone(), []int{3}) // the earliest of those that hold something and whose length is not known
	begin(calls[1], 30)
	is.Equal(gone(), []int{3, 4})
	begin(calls[5], 70)
	is.Equal(gone(), []int{3, 4, 5}) // those whose length is known go last
	s.end(calls[1])
	begin(calls[1], 70)
	is.Equal(gone(), []int{0, 3, 4, 5})
}

// steadyBody is a body that arrives at 4 KiB a millisecond. After size bytes it is silent until its connection is cut.
type steadyBody struct{ size int }

func (b *steadyBody) Read(p []byte) (int, error) {
	if b.size == 0 {
		time.Sleep(100 * time.Millisecond)
		return 0, errors.New("cut")
	}
	time.Sleep(time.Millisecond)
	n := min(len(p), b.size, 4<<10)
	b.size -= n
	return n, nil
}

// TestBodyIsReadBesideStalledOnes has many bodies of unknown length arrive at once that do not fit together, and then one of ordinary
// length. All must not wait for each other.
func TestBodyIsReadBesideStalledOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, crowdSize, crowdBytes, ordinaryBytes = 16 << 20, 64, 600_000, 4_000_000
		is := is.New(t)
		budget := NewBudget(limit)
		read := func(body io.Reader, size int64) (*Share, error) {
			share := budget.NewShare()
			room := share.NewRoom(t.Context(), func() bool { return false })
			err := ErrNoMemory
			if room.MakeFor(size) {
				_, err = share.Read(body, size, 8<<20)
			}
			if err != nil {
				share.Release()
			}
			return share, err
		}
		var crowd sync.WaitGroup
		for range crowdSize {
			crowd.Go(func() { _, _ = read(&steadyBody{size: crowdBytes}, -1) })
		}
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		share, err := read(bytes.NewReader(make([]byte, ordinaryBytes)), ordinaryBytes)
		is.NoErr(err)
		is.True(time.Since(start) < roomTime/2)
		share.Release()
		crowd.Wait()
		is.Equal(budget.Used(), int64(0))
	})
}
