package replica_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/raft"
)

// discardStore stores nothing and never fails.
type discardStore struct{}

func (discardStore) Compact(raft.Snapshot) error { return nil }
func (discardStore) Save(raft.Output) error      { return nil }

// TestLeaseDoesNotOutliveASuspension resumes a leader whose VM was suspended for
// longer than its lease. Go's monotonic clock does not count that time, so the
// lease must be measured with a clock that does.
func TestLeaseDoesNotOutliveASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		machine := newRegisters()
		restored, err := replica.InitialState([]raft.MemberID{1}, machine)
		is.NoErr(err)
		log := logrus.New()
		log.SetOutput(io.Discard)
		var suspended atomic.Int64
		start := time.Now()
		r, err := replica.New(replica.Config{
			Raft: raft.Config{ID: 1, Heartbeat: 100 * time.Millisecond, ElectionTimeout: time.Second, Lease: 700 * time.Millisecond,
				MaxBatchBytes: 1 << 20, MaxInflight: 64, Seed: 1},
			Restored: restored, Store: discardStore{}, Machine: machine, Transport: discardTransport{}, Log: log,
			Clock: func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) },
		})
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		for !r.LeaseValid() {
			time.Sleep(10 * time.Millisecond)
		}
		suspended.Store(int64(5 * time.Second))
		is.True(!r.LeaseValid())
		stop()
		is.NoErr(<-ended)
	})
}
