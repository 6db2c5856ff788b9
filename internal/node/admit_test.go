package node

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// newIdleNode returns a node without running parts.
func newIdleNode() *Node {
	n := &Node{
		cfg: config.Config{Node: "n"}, log: logrus.New(), clock: boottime.Now, start: boottime.Now(), seed: rand.Uint64(),
		store: newStore(), members: newMemberNodes(), draining: make(chan struct{}),
	}
	n.group = &groupClient{node: "n", members: n.members}
	n.loop = newControlLoop(n)
	return n
}

// TestAdmitCanceledBeforeVerdict checks that a call holds no place if its caller
// disconnects while the control loop is busy, so that the throttler decides after the
// caller has gone.
func TestAdmitCanceledBeforeVerdict(t *testing.T) {
	is := is.New(t)
	n := newIdleNode()
	c := &gateway.Call{Contract: &contract.Contract{Customer: "c"}, Model: contract.Model{Name: "m"}, Deadline: time.Now().Add(time.Hour)}
	c.Contract.Capacity = contract.Capacity{Concurrency: 1, Rate: 1, Burst: 1, Queue: 4}
	n.loop.applyContracts(&contractView{contracts: []control.VersionedContract{{Contract: *c.Contract}}})
	ctx, cancel := context.WithCancel(context.Background())
	admitErr := make(chan error)
	go func() {
		_, err := (&admitter{loop: n.loop}).Admit(ctx, c)
		admitErr <- err
	}()
	arrive := <-n.loop.posts
	cancel()
	is.True(<-admitErr != nil)
	arrive()
	is.Equal(len(n.loop.waiters), 1) // queued although the caller has gone
	for len(n.loop.posts) > 0 {
		(<-n.loop.posts)()
	}
	is.Equal(len(n.loop.waiters), 0)
	for _, d := range n.loop.demands {
		is.Equal(d.running, 0)
	}
}
