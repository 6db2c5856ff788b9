package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/internal/replica"
)

const (
	// confirmTime bounds the proof of a read: the time without a leader after one is
	// lost, about a second and a half, and a question to the next one.
	confirmTime = 4 * time.Second
	// confirmPause is the pause before the leader is asked again.
	confirmPause = 50 * time.Millisecond
	// appliedPoll is how often a node looks whether it has applied an entry; about a
	// sync of a disk.
	appliedPoll = 2 * time.Millisecond
)

// confirm waits until this node has applied every change that was accepted before
// the call. Leadership is confirmed by a majority after the call began, so that a
// node that stood still or has just started never vouches for what it knew before.
func (n *Node) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	for {
		index, err := n.barrier(ctx)
		if err == nil {
			return n.waitApplied(ctx, index)
		}
		pause.For(ctx, confirmPause)
		if ctx.Err() != nil {
			return err
		}
	}
}

// barrier asks the leader, which may be this node, for an index that covers every
// change accepted so far.
func (n *Node) barrier(ctx context.Context) (uint64, error) {
	leader := n.group.leader()
	if leader == "" {
		return 0, errors.New("no leader is known")
	}
	if leader == n.cfg.Node {
		return n.group.barrierHere(ctx)
	}
	var reply barrierReply
	if err := n.mesh.Call(ctx, leader, methodBarrier, struct{}{}, &reply); err != nil {
		return 0, errors.Wrapf(err, "leader %s", leader)
	}
	if !reply.Leads {
		n.group.setLeader(reply.Leader)
		return 0, errors.Newf("%s does not lead", leader)
	}
	return reply.Index, nil
}

func (g *group) barrierHere(ctx context.Context) (uint64, error) {
	if g.replica == nil {
		return 0, errors.New("this node has no vote")
	}
	return g.replica.ReadBarrier(ctx)
}

// serveBarrier answers another node's question.
func (n *Node) serveBarrier(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
	index, err := n.group.barrierHere(ctx)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) || n.group.replica == nil {
		return barrierReply{Leader: n.group.leader()}, nil
	}
	if err != nil {
		return nil, err
	}
	return barrierReply{Leads: true, Index: index}, nil
}

// waitApplied waits until the entry at index is applied here.
func (n *Node) waitApplied(ctx context.Context, index uint64) error {
	for n.store.applied.Load() < index {
		pause.For(ctx, appliedPoll)
		if ctx.Err() != nil {
			return errors.Newf("entry %d is not applied here; %d is", index, n.store.applied.Load())
		}
	}
	return nil
}
