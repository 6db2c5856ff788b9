package node

import (
	"context"
	"encoding/json"
	"expvar"
	"slices"
	"strconv"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/operator"
	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/placement"
	"github.com/agateslip/agateslip/raft"
	"github.com/cockroachdb/errors"
)

const (
	// changeTimeout limits a change to contracts or grants.
	changeTimeout = 8 * time.Second
	// memberTimeout limits a request about the control group's members.
	memberTimeout = 25 * time.Second
	// auditTimeout limits the writing of the audit entry of a refused change.
	auditTimeout = 2 * time.Second
	// codeRefused is the error code, between nodes, of a membership change that was
	// refused as unsafe.
	codeRefused peer.Code = 1
)

// backend implements operator.Backend.
type backend struct{ node *Node }

// ApplyContract implements operator.Backend.
func (b *backend) ApplyContract(ctx context.Context, ch operator.Change, c contract.Contract) (control.ChangeResult, error) {
	return b.applyChange(ctx, control.Command{
		Origin:        b.node.origin(ch.Actor),
		ApplyContract: &control.ApplyContract{ChangeID: ch.ChangeID, BaseVersion: ch.BaseVersion, Contract: c},
	})
}

// RemoveContract implements operator.Backend.
func (b *backend) RemoveContract(ctx context.Context, ch operator.Change, customer string) (control.ChangeResult, error) {
	return b.applyChange(ctx, control.Command{
		Origin:         b.node.origin(ch.Actor),
		RemoveContract: &control.RemoveContract{ChangeID: ch.ChangeID, BaseVersion: ch.BaseVersion, Customer: customer},
	})
}

// applyChange has a contract change committed and waits until it is in force on this
// node.
func (b *backend) applyChange(ctx context.Context, cmd control.Command) (control.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	res, err := b.node.group.propose(ctx, cmd)
	if err != nil {
		return control.ChangeResult{}, errors.Mark(err, operator.ErrUnavailable)
	}
	if res.Change == nil {
		return control.ChangeResult{}, errors.Newf("change was not applied: %s", res.Fault)
	}
	b.node.waitRevision(ctx, res.Change.Revision)
	return *res.Change, nil
}

// waitRevision waits until this node serves calls under the given revision, so that
// calls may follow the answer to the operator at once. It gives up with a warning when
// ctx ends.
func (n *Node) waitRevision(ctx context.Context, revision uint64) {
	for n.store.view.Load().revision < revision {
		if !pause.For(ctx, appliedPoll) {
			n.log.WithField("revision", revision).Warn("change is committed but not yet in force on this node")
			return
		}
	}
}

// AuditRefusal implements operator.Backend.
func (b *backend) AuditRefusal(ctx context.Context, actor, action, subject, detail string) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	cmd := control.Command{Origin: b.node.origin(actor), Note: &control.AuditNote{Action: action, Subject: subject, Outcome: "refused", Detail: detail}}
	if _, err := b.node.group.propose(ctx, cmd); err != nil {
		b.node.log.WithError(err).WithField("action", action).Warn("audit entry of a refused change was not written")
	}
}

// ConfirmCurrent implements operator.Backend.
func (b *backend) ConfirmCurrent(ctx context.Context) error {
	return errors.Mark(b.node.confirm(ctx), operator.ErrUnavailable)
}

// ProofAge implements operator.Backend.
func (b *backend) ProofAge() (time.Duration, bool) { return b.node.proofAge() }

// Contracts implements operator.Backend.
func (b *backend) Contracts() []control.VersionedContract { return b.node.store.view.Load().contracts }

// Audit implements operator.Backend.
func (b *backend) Audit(since uint64, limit int) []control.AuditEntry {
	return b.node.store.audit(since, limit)
}

// Drain implements operator.Backend.
func (b *backend) Drain() { b.node.Drain() }

// Status implements operator.Backend.
func (b *backend) Status() operator.Status {
	n := b.node
	age, proved := n.proofAge()
	s := operator.Status{
		Node:     n.cfg.Node,
		Domain:   n.cfg.Domain,
		Ready:    proved && age <= proofLifetime && !n.stopping(),
		Stopping: n.stopping(),
		Revision: n.store.view.Load().revision,
		ProofAge: contract.Duration(age),
		Leader:   n.group.leader(),
		Member:   uint64(n.memberID),
		Applied:  n.store.applied.Load(),
		Running:  n.gateway.Running(),
		Grants:   n.store.grants().Grants,
		Uptime:   contract.Duration(n.now()),
	}
	views, _ := call(context.Background(), n.loop, func() []directory.View { return n.loop.dir.Snapshot(n.now()) })
	for _, v := range views {
		s.Upstreams = append(s.Upstreams, upstreamStatus(v))
	}
	return s
}

// upstreamStatus converts a directory view to the operators' form.
func upstreamStatus(v directory.View) operator.UpstreamStatus {
	state := "serving"
	switch {
	case v.Silent:
		state = "silent"
	case v.Announcement.Leaving:
		state = "leaving"
	}
	a := v.Announcement
	return operator.UpstreamStatus{ID: a.ID, Domain: a.Domain, Kind: string(a.Kind), State: state, Replicas: len(a.Replicas), Running: a.Load.Running, Incarnation: a.Incarnation}
}

// stopping reports whether a planned stop has begun.
func (n *Node) stopping() bool {
	select {
	case <-n.draining:
		return true
	default:
		return n.gateway.Stopping()
	}
}

// UpstreamGone implements operator.Backend. It refuses an incarnation that still
// announces itself to this node or a peer, because its replicas are still loaded.
func (b *backend) UpstreamGone(ctx context.Context, actor string, g operator.Gone) error {
	n := b.node
	heard, ok := call(ctx, n.loop, func() bool {
		v, known := n.loop.dir.Get(g.Upstream, n.now())
		return known && !v.Silent && v.Announcement.Incarnation == g.Incarnation
	})
	if !ok {
		return errors.Mark(errors.New("the node stops"), operator.ErrUnavailable)
	}
	if heard {
		return errors.Mark(errors.Newf("upstream %s still announces itself under incarnation %d", g.Upstream, g.Incarnation), operator.ErrRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	change := placement.Change{Kind: placement.RemoveIncarnations, Upstream: g.Upstream, Incarnation: g.Incarnation + 1}
	// The command is idempotent: ending the same grants again changes nothing.
	if _, err := n.group.propose(ctx, control.Command{Origin: n.origin(actor), Grants: []placement.Change{change}}); err != nil {
		return errors.Mark(err, operator.ErrUnavailable)
	}
	note := control.AuditNote{Action: "upstream.gone", Subject: g.Upstream, Outcome: string(control.Accepted), Detail: "incarnation " + strconv.FormatUint(g.Incarnation, 10)}
	_, err := n.group.propose(ctx, control.Command{Origin: n.origin(actor), Note: &note})
	return errors.Wrap(err, "audit")
}

// memberRequest asks the leader to list the members, or to change them if Change is
// set.
type memberRequest struct {
	Change *operator.MemberChange `json:"change,omitempty"`
	Actor  string                 `json:"actor,omitempty"`
}

// memberReply answers a memberRequest. If Leads is false, only Leader is set.
type memberReply struct {
	Leads   bool             `json:"leads"`
	Leader  string           `json:"leader,omitempty"`
	Members operator.Members `json:"members"`
}

// Members implements operator.Backend.
func (b *backend) Members(ctx context.Context) (operator.Members, error) {
	reply, err := b.node.askMembers(ctx, memberRequest{})
	return reply.Members, err
}

// ChangeMembers implements operator.Backend.
func (b *backend) ChangeMembers(ctx context.Context, actor string, ch operator.MemberChange) error {
	_, err := b.node.askMembers(ctx, memberRequest{Change: &ch, Actor: actor})
	return err
}

// askMembers sends a request to the leader, which may be this node. Errors are marked
// operator.ErrRefused or operator.ErrUnavailable.
func (n *Node) askMembers(ctx context.Context, req memberRequest) (memberReply, error) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	leader := n.group.leader()
	if leader == "" {
		return memberReply{}, errors.Mark(errors.New("no leader is known"), operator.ErrUnavailable)
	}
	var reply memberReply
	var err error
	if leader == n.cfg.Node {
		reply, err = n.answerMembers(ctx, req)
	} else {
		err = n.mesh.Call(ctx, leader, methodMembers, req, &reply)
	}
	if code, ok := peer.CodeOf(err); ok && code == codeRefused {
		return memberReply{}, errors.Mark(err, operator.ErrRefused)
	}
	if err != nil {
		return memberReply{}, errors.Mark(err, operator.ErrUnavailable)
	}
	if !reply.Leads {
		return memberReply{}, errors.Mark(errors.Newf("%s does not lead", leader), operator.ErrUnavailable)
	}
	return reply, nil
}

// serveMembers handles methodMembers.
func (n *Node) serveMembers(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req memberRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	return n.answerMembers(ctx, req)
}

// answerMembers carries out a request if this node leads, and otherwise names the
// leader.
func (n *Node) answerMembers(ctx context.Context, req memberRequest) (memberReply, error) {
	if _, ok := n.group.leads(); !ok {
		return memberReply{Leader: n.group.leader()}, nil
	}
	if req.Change != nil {
		err := n.changeMembers(ctx, *req.Change)
		n.auditMemberChange(ctx, req, err)
		if err != nil {
			return memberReply{}, peerError(err)
		}
	}
	return memberReply{Leads: true, Members: n.listMembers()}, nil
}

// changeMembers carries out a membership change.
func (n *Node) changeMembers(ctx context.Context, ch operator.MemberChange) error {
	rep := n.group.replica
	id := raft.MemberID(ch.ID)
	// A voter that has just been lost still counts as answering for one election
	// timeout. A change made before that has passed could need the lost vote and would
	// never be committed.
	pause.For(ctx, raftElection+raftHeartbeat)
	switch ch.Action {
	case "add":
		if err := n.checkMemberRuns(id); err != nil {
			return err
		}
		if err := rep.AddLearner(ctx, id); err != nil {
			return err
		}
		return n.promote(ctx, id)
	case "remove":
		return rep.Remove(ctx, id)
	case "replace":
		if err := n.checkMemberRuns(raft.MemberID(ch.NewID)); err != nil {
			return err
		}
		return rep.Replace(ctx, id, raft.MemberID(ch.NewID))
	default:
		return errors.Mark(errors.Newf("action: %q is not add, remove or replace", ch.Action), operator.ErrRefused)
	}
}

// checkMemberRuns refuses a member that no known node runs: adding it would only make a
// majority harder to reach.
func (n *Node) checkMemberRuns(id raft.MemberID) error {
	if _, ok := n.members.NodeOf(id); !ok {
		return errors.Mark(errors.Newf("no node runs member %d; start it first", id), operator.ErrRefused)
	}
	return nil
}

// promote makes a learner a voter once it has caught up.
func (n *Node) promote(ctx context.Context, id raft.MemberID) error {
	for {
		err := n.group.replica.Promote(ctx, id)
		if !errors.Is(err, raft.ErrNotCaughtUp) && !errors.Is(err, raft.ErrChangePending) {
			return err
		}
		if ctx.Err() != nil {
			return err
		}
		pause.For(ctx, proposeBackoff)
	}
}

// peerError gives errors that refuse an unsafe change codeRefused, so that they can be
// recognized at the other end of a link.
func peerError(err error) error {
	refused := []error{raft.ErrChangePending, raft.ErrNotCaughtUp, raft.ErrUnsafeChange, operator.ErrRefused}
	if slices.ContainsFunc(refused, func(target error) bool { return errors.Is(err, target) }) {
		return peer.Errorf(codeRefused, "%v", err)
	}
	return err
}

// memberSubject returns the audit subject of a membership change.
func memberSubject(ch operator.MemberChange) string {
	subject := "member " + strconv.FormatUint(ch.ID, 10)
	if ch.NewID != 0 {
		subject += " by " + strconv.FormatUint(ch.NewID, 10)
	}
	return subject
}

// auditMemberChange writes the audit entry of a membership change that succeeded or
// failed.
func (n *Node) auditMemberChange(ctx context.Context, req memberRequest, err error) {
	note := control.AuditNote{Action: "member." + req.Change.Action, Subject: memberSubject(*req.Change), Outcome: string(control.Accepted)}
	if err != nil {
		note.Outcome = "refused"
		note.Detail = err.Error()
	}
	if _, err := n.group.propose(ctx, control.Command{Origin: n.origin(req.Actor), Note: &note}); err != nil {
		n.log.WithError(err).Warn("audit entry of a membership change was not written")
	}
}

// listMembers returns the voters and learners with their nodes and replication
// progress.
func (n *Node) listMembers() operator.Members {
	st := n.group.replica.Status()
	list := operator.Members{Commit: st.Commit}
	add := func(ids []raft.MemberID, voter bool) {
		for _, id := range ids {
			node, _ := n.members.NodeOf(id)
			list.Members = append(list.Members, operator.MemberState{
				ID: uint64(id), Node: node, Voter: voter, Leader: id == st.Leader, DurableIndex: st.Match[id],
			})
		}
	}
	add(st.Members.Voters, true)
	add(st.Members.Learners, false)
	return list
}

// publishMetrics publishes the node's metrics under its name, once per process. The
// expvar registry belongs to the process, which runs several nodes in the demo.
func publishMetrics(n *Node) {
	name := "agateslip." + n.cfg.Node
	if expvar.Get(name) != nil {
		return
	}
	n.metrics.Set("running", expvar.Func(func() any { return n.gateway.Running() }))
	n.metrics.Set("revision", expvar.Func(func() any { return n.store.view.Load().revision }))
	n.metrics.Set("applied", expvar.Func(func() any { return n.store.applied.Load() }))
	n.metrics.Set("proof_age_ms", expvar.Func(func() any {
		age, _ := n.proofAge()
		return age.Milliseconds()
	}))
	n.metrics.Set("links", expvar.Func(func() any { return n.mesh.Stats() }))
	n.metrics.Set("grants", expvar.Func(func() any { return len(n.store.grants().Grants) }))
	if n.disk != nil {
		n.metrics.Set("storage", expvar.Func(func() any { return n.disk.Stats() }))
		n.metrics.Set("replica", expvar.Func(func() any { return n.group.replica.Stats() }))
	}
	expvar.Publish(name, n.metrics)
}
