package replica_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/raft"
)

// slowStore holds up the output that commits the entries of an earlier leader.
type slowStore struct {
	once             sync.Once
	reached, release chan struct{}
}

func (s *slowStore) Compact(raft.Snapshot) error { return nil }

func (s *slowStore) Save(out raft.Output) error {
	if len(out.Committed) > 0 {
		s.once.Do(func() { close(s.reached) })
		<-s.release
	}
	return nil
}

type noTransport struct{}

func (noTransport) Send([]raft.Message) {}

// TestNewLeaderConfirmsOnlyWithEarlierEntries asks a new leader that has its
// lease but has not yet applied what an earlier leader had accepted.
func TestNewLeaderConfirmsOnlyWithEarlierEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		machine := newRegisters()
		restored, err := replica.Founding([]raft.MemberID{1}, machine)
		is.NoErr(err)
		const accepted = 2
		restored.Hard.Term = 1
		restored.Entries = []raft.Entry{{Index: accepted, Term: 1, Data: []byte("{}")}}
		log := logrus.New()
		log.SetOutput(io.Discard)
		store := &slowStore{reached: make(chan struct{}), release: make(chan struct{})}
		r, err := replica.New(replica.Config{
			Raft: raft.Config{ID: 1, Heartbeat: 100 * time.Millisecond, ElectionTimeout: time.Second, Lease: 700 * time.Millisecond,
				MaxBatchBytes: 1 << 20, MaxInflight: 64, Seed: 1},
			Restored: restored, Store: store, Machine: machine, Transport: noTransport{}, Log: log,
		})
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		<-store.reached
		asked, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		u := r.Update(asked, 1)
		status, leads := r.Observe()
		close(store.release)
		stop()
		is.NoErr(<-ended)
		is.True(leads)
		is.True(!u.Confirmed || u.Commit >= accepted)
		is.True(status.Commit >= accepted)
	})
}
