package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/raft"
	"github.com/cockroachdb/errors"
)

const (
	// proposeTimeout bounds one sending of a proposal to the leader.
	proposeTimeout = 2 * time.Second
	// proposeBackoff is the wait after a failed sending.
	proposeBackoff = 50 * time.Millisecond
)

// memberNodes knows which node runs which member.
type memberNodes struct {
	mu    sync.RWMutex
	nodes map[raft.MemberID]string
}

func newMemberNodes() *memberNodes {
	return &memberNodes{nodes: map[raft.MemberID]string{}}
}

// NodeOf implements replica.Directory.
func (m *memberNodes) NodeOf(id raft.MemberID) (string, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	node, ok := m.nodes[id]
	return node, ok
}

func (m *memberNodes) set(id raft.MemberID, node string) {
	if id == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[id] = node
}

// group reaches the control group from this node.
type group struct {
	node string
	// replica is nil on a node that has no vote.
	replica *replica.Replica
	mesh    *peer.Mesh
	members *memberNodes
	mu      sync.Mutex
	hint    string
}

// leader is the node that leads as far as this one knows; empty if unknown.
func (g *group) leader() string {
	if g.replica != nil {
		if node, ok := g.members.NodeOf(g.replica.Status().Leader); ok {
			return node
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hint
}

func (g *group) setLeader(node string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hint = node
}

// leads says whether this node leads under a valid lease, and in which term.
func (g *group) leads() (uint64, bool) {
	if g.replica == nil {
		return 0, false
	}
	st, leads := g.replica.Observe()
	return st.Term, leads
}

// appliedAll says whether this voter has applied all that it knows to be
// committed. A new leader plans from then on: before, it may lack grants of
// earlier leaders.
func (g *group) appliedAll(s *store) bool {
	st, _ := g.replica.Observe()
	return s.applied.Load() >= st.Commit
}

// propose has a command committed and returns its result. It sends the command
// again after a failure until ctx ends, so the command must be idempotent. An
// error means that the outcome is unknown.
func (g *group) propose(ctx context.Context, cmd control.Command) (control.Result, error) {
	data, err := cmd.Encode()
	if err != nil {
		return control.Result{}, err
	}
	for {
		res, err := g.proposeOnce(ctx, data)
		if err == nil {
			return res, nil
		}
		select {
		case <-ctx.Done():
			return control.Result{}, errors.Wrap(err, "propose")
		case <-time.After(proposeBackoff):
		}
	}
}

func (g *group) proposeOnce(ctx context.Context, data []byte) (control.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	leader := g.leader()
	if leader == g.node && g.replica != nil {
		return g.proposeHere(ctx, data)
	}
	if leader == "" {
		return control.Result{}, errors.New("no leader is known")
	}
	var reply proposeReply
	if err := g.mesh.Call(ctx, leader, methodPropose, proposeRequest{Data: data}, &reply); err != nil {
		return control.Result{}, errors.Wrapf(err, "leader %s", leader)
	}
	if !reply.Committed {
		g.setLeader(reply.Leader)
		return control.Result{}, errors.Newf("%s does not lead", leader)
	}
	return reply.Result, nil
}

func (g *group) proposeHere(ctx context.Context, data []byte) (control.Result, error) {
	v, err := g.replica.Propose(ctx, data)
	if err != nil {
		return control.Result{}, err
	}
	res, ok := v.(control.Result)
	if !ok {
		return control.Result{}, errors.AssertionFailedf("proposal answered with %T", v)
	}
	return res, nil
}

// servePropose answers a proposal that another node sent here.
func (g *group) servePropose(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req proposeRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode proposal")
	}
	if g.replica == nil {
		return proposeReply{Leader: g.leader()}, nil
	}
	res, err := g.proposeHere(ctx, req.Data)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return proposeReply{Leader: g.leader()}, nil
	}
	if err != nil {
		return nil, err
	}
	return proposeReply{Committed: true, Result: res}, nil
}

// claims implements gateway.Claims on the control group.
type claims struct {
	group *group
	owner ledger.Owner
}

// Owner implements gateway.Claims.
func (c *claims) Owner() ledger.Owner { return c.owner }

// Claim implements gateway.Claims.
func (c *claims) Claim(ctx context.Context, claim ledger.Claim) (ledger.ClaimResult, error) {
	res, err := c.group.propose(ctx, control.Command{Claim: &claim})
	if err != nil {
		return ledger.ClaimResult{}, err
	}
	if res.Claim == nil {
		return ledger.ClaimResult{}, errors.Newf("claim was not applied: %s", res.Fault)
	}
	return *res.Claim, nil
}

// Finish implements gateway.Claims.
func (c *claims) Finish(ctx context.Context, f ledger.Finish) error {
	_, err := c.group.propose(ctx, control.Command{Finish: &f})
	return err
}
