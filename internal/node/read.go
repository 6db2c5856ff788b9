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
	// confirmTimeout limits one confirmed read. It covers an election after the leader
	// is lost, about 1.5 s, and a request to the new leader.
	confirmTimeout = 4 * time.Second
	// confirmBackoff is the wait before the leader is asked again.
	confirmBackoff = 50 * time.Millisecond
	// appliedPoll is how often a node checks whether it has applied an entry, about the
	// time of one disk sync.
	appliedPoll = 2 * time.Millisecond
)

// confirm waits until this node has applied every change that was accepted before the
// call. A majority confirms the leader after the call began, so a node that was
// suspended or has just started never answers from stale state.
func (n *Node) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		index, err := n.barrier(ctx)
		if err == nil {
			return n.waitApplied(ctx, index)
		}
		pause.For(ctx, confirmBackoff)
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
		return n.group.barrierLocal(ctx)
	}
	var reply barrierReply
	if err := n.mesh.Call(ctx, leader, methodBarrier, struct{}{}, &reply); err != nil {
		return 0, errors.Wrapf(err, "leader %s", leader)
	}
	if !reply.Leads {
		n.group.setLeaderHint(reply.Leader)
		return 0, errors.Newf("%s does not lead", leader)
	}
	return reply.Index, nil
}

// barrierLocal asks this node's own member for the index that barrier returns.
func (g *groupClient) barrierLocal(ctx context.Context) (uint64, error) {
	if g.replica == nil {
		return 0, errors.New("this node has no vote")
	}
	return g.replica.ReadBarrier(ctx)
}

// serveBarrier handles methodBarrier.
func (n *Node) serveBarrier(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
	index, err := n.group.barrierLocal(ctx)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) || n.group.replica == nil {
		return barrierReply{Leader: n.group.leader()}, nil
	}
	if err != nil {
		return nil, err
	}
	return barrierReply{Leads: true, Index: index}, nil
}

// waitApplied waits until the entry at index is applied on this node.
func (n *Node) waitApplied(ctx context.Context, index uint64) error {
	for n.store.applied.Load() < index {
		pause.For(ctx, appliedPoll)
		if ctx.Err() != nil {
			return errors.Newf("entry %d is not applied here; %d is", index, n.store.applied.Load())
		}
	}
	return nil
}
