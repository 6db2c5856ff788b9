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

// blockingMachine blocks before it applies the first entry. It closes reached when it
// blocks and goes on once release is closed.
type blockingMachine struct {
	*registers
	once             sync.Once
	reached, release chan struct{}
}

func (m *blockingMachine) Apply(e raft.Entry) any {
	m.once.Do(func() { close(m.reached) })
	<-m.release
	return m.registers.Apply(e)
}

// discardTransport drops all messages.
type discardTransport struct{}

func (discardTransport) Send([]raft.Message) {}

// TestNewLeaderConfirmsOnlyWithEarlierEntries guards against a confirmed update that
// omits accepted entries. It requests an update from a new leader that holds a
// valid lease but has not applied the entries accepted by an earlier leader.
func TestNewLeaderConfirmsOnlyWithEarlierEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		machine := &blockingMachine{registers: newRegisters(), reached: make(chan struct{}), release: make(chan struct{})}
		restored, err := replica.InitialState([]raft.MemberID{1}, machine)
		is.NoErr(err)
		const acceptedIndex = 2
		restored.Hard.Term = 1
		restored.Entries = []raft.Entry{{Index: acceptedIndex, Term: 1, Data: []byte("{}")}}
		log := logrus.New()
		log.SetOutput(io.Discard)
		r, err := replica.New(replica.Config{
			Raft: raft.Config{ID: 1, Heartbeat: 100 * time.Millisecond, ElectionTimeout: time.Second, Lease: 700 * time.Millisecond,
				MaxBatchBytes: 1 << 20, MaxInflight: 64, Seed: 1},
			Restored: restored, Store: discardStore{}, Machine: machine, Transport: discardTransport{}, Log: log,
		})
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		<-machine.reached
		updateCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		u := r.Update(updateCtx, 1)
		status, leads := r.CurrentStatus()
		close(machine.release)
		stop()
		is.NoErr(<-ended)
		is.True(leads)
		is.True(!u.Confirmed || u.Commit >= acceptedIndex)
		is.True(status.Commit >= acceptedIndex)
	})
}
