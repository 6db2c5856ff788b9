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
	// proposeTimeout limits one attempt to have a proposal committed.
	proposeTimeout = 2 * time.Second
	// proposeBackoff is the wait after a failed attempt.
	proposeBackoff = 50 * time.Millisecond
)

// memberNodes maps the members of the control group to the nodes that run them.
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

// set records that node runs member id. The zero ID, of a node without a member, is
// ignored.
func (m *memberNodes) set(id raft.MemberID, node string) {
	if id == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[id] = node
}

// groupClient gives this node access to the control group, through its own member or
// through the leader's node.
type groupClient struct {
	node string
	// replica is nil on a node without a data folder.
	replica *replica.Replica
	mesh    *peer.Mesh
	members *memberNodes
	mu      sync.Mutex
	// leaderHint is the leader that another node named last.
	leaderHint string
}

// leader returns the name of the node that leads as far as this node knows, or "" if
// unknown.
func (g *groupClient) leader() string {
	if g.replica != nil {
		if node, ok := g.members.NodeOf(g.replica.Status().Leader); ok {
			return node
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaderHint
}

func (g *groupClient) setLeaderHint(node string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaderHint = node
}

// leads returns the current term and reports whether this node leads under a valid
// lease.
func (g *groupClient) leads() (uint64, bool) {
	if g.replica == nil {
		return 0, false
	}
	st, leads := g.replica.CurrentStatus()
	return st.Term, leads
}

// appliedCommitted reports whether this member has applied every entry that it knows to
// be committed. A new leader plans only from then on; before, it may not know grants of
// earlier leaders.
func (g *groupClient) appliedCommitted(s *store) bool {
	st, _ := g.replica.CurrentStatus()
	return s.applied.Load() >= st.Commit
}

// propose has a command committed and returns its result. It retries until ctx ends, so
// the command must be idempotent. An error other than from encoding means that the
// outcome is unknown.
func (g *groupClient) propose(ctx context.Context, cmd control.Command) (control.Result, error) {
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

// proposeOnce makes one attempt, on this node if it leads and otherwise at the leader.
func (g *groupClient) proposeOnce(ctx context.Context, data []byte) (control.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	leader := g.leader()
	if leader == g.node && g.replica != nil {
		return g.proposeLocal(ctx, data)
	}
	if leader == "" {
		return control.Result{}, errors.New("no leader is known")
	}
	var reply proposeReply
	if err := g.mesh.Call(ctx, leader, methodPropose, proposeRequest{Data: data}, &reply); err != nil {
		return control.Result{}, errors.Wrapf(err, "leader %s", leader)
	}
	if !reply.Committed {
		g.setLeaderHint(reply.Leader)
		return control.Result{}, errors.Newf("%s does not lead", leader)
	}
	return reply.Result, nil
}

// proposeLocal proposes an encoded command to this node's own member.
func (g *groupClient) proposeLocal(ctx context.Context, data []byte) (control.Result, error) {
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

// servePropose handles methodPropose, a proposal from another node.
func (g *groupClient) servePropose(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req proposeRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode proposal")
	}
	if g.replica == nil {
		return proposeReply{Leader: g.leader()}, nil
	}
	res, err := g.proposeLocal(ctx, req.Data)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return proposeReply{Leader: g.leader()}, nil
	}
	if err != nil {
		return nil, err
	}
	return proposeReply{Committed: true, Result: res}, nil
}

// claims implements gateway.Claims by commands to the control group.
type claims struct {
	group *groupClient
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
