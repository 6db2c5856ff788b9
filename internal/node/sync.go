package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/placement"
	"github.com/agateslip/agateslip/raft"
	"github.com/cockroachdb/errors"
)

const (
	// syncInterval is the interval of reports to the leader.
	syncInterval = 500 * time.Millisecond
	// syncTimeout limits one report, and one round of requests for the ends of the
	// voters' logs.
	syncTimeout = 500 * time.Millisecond
	// leaderlessAfter is how long no leader has answered before the voters are asked
	// for the ends of their logs.
	leaderlessAfter = 500 * time.Millisecond
	// proofLifetime is how long a proof that this node's contracts are in force is valid.
	proofLifetime = 2 * time.Second
)

// runSync reports to the leader at intervals and on request.
func (n *Node) runSync(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	lastAnswer := n.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.loop.reportNow:
		case <-ticker.C:
		}
		if n.syncOnce(ctx) {
			lastAnswer = n.now()
		}
		if n.now()-lastAnswer > leaderlessAfter {
			n.proveWithoutLeader(ctx)
		}
	}
}

// syncOnce sends one report and applies the answer. It reports whether a leader with a
// valid lease answered.
func (n *Node) syncOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	asked := n.now()
	req, ok := call(ctx, n.loop, n.loop.syncRequest)
	if !ok {
		return false
	}
	reply, err := n.sendSync(ctx, req)
	n.syncFailed = err != nil
	if err != nil || !reply.Leads {
		n.loop.post(ctx, func() { n.loop.restoreArrivals(req.Demand) })
		return false
	}
	n.proofs.Add(asked, reply.Commit)
	n.loop.post(ctx, func() {
		n.loop.applySyncReply(reply)
		n.loop.applyCrashReply(reply.Term, reply.Crashes)
	})
	return true
}

// sendSync sends a report to the leader, or to any voter if the leader is unknown, unreachable or did not answer
// the report before. Only an answer changes what is known of the leader.
func (n *Node) sendSync(ctx context.Context, req syncRequest) (syncReply, error) {
	leader := n.group.leader()
	if leader == n.cfg.Node {
		return n.answerSync(ctx, req)
	}
	asked := leader
	if leader == "" || n.syncFailed || !n.mesh.Reachable(leader) {
		asked = n.anyVoter()
	}
	var reply syncReply
	err := n.mesh.Call(ctx, asked, methodSync, req, &reply)
	switch {
	case err != nil:
	case reply.Leads:
		n.group.setLeaderHint(asked)
	case reply.Leader != "" || asked == leader:
		n.group.setLeaderHint(reply.Leader)
	}
	return reply, err
}

// anyVoter returns the node of a voter, a different one on each call, or "" if none is
// known.
func (n *Node) anyVoter() string {
	voters := n.voterNodes()
	if len(voters) == 0 {
		return ""
	}
	return voters[n.nextVoter.Add(1)%uint64(len(voters))]
}

// voterNodes returns the nodes of the other voters whose node is known.
func (n *Node) voterNodes() []string {
	var nodes []string
	for _, id := range n.knownMembers().Voters {
		if node, ok := n.members.NodeOf(id); ok && node != n.cfg.Node {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// knownMembers returns the membership as applied on this node, or that of the
// configuration if none is applied.
func (n *Node) knownMembers() raft.Members {
	if m := n.store.members(); len(m.Voters) > 0 {
		return m
	}
	var m raft.Members
	for _, p := range n.cfg.Peers {
		if p.Voter != 0 {
			m.Voters = append(m.Voters, raft.MemberID(p.Voter))
		}
	}
	return m
}

// syncRequest builds a report. It runs on the control goroutine.
func (l *controlLoop) syncRequest() syncRequest {
	return syncRequest{
		Node:   l.node.cfg.Node,
		Boot:   l.node.boot,
		Member: uint64(l.node.memberID),
		Report: l.throttler.Report(l.now()),
		Demand: l.collectDemand(),

		Crashes: l.crashes.report(l.now()),
	}
}

// applySyncReply applies the leader's answer. It runs on the control goroutine.
func (l *controlLoop) applySyncReply(reply syncReply) {
	now := l.now()
	l.throttler.SetTerm(reply.Term)
	l.throttler.Accept(reply.Grant, now)
	for _, f := range reply.Forecasts {
		l.forecasts[f.Key] = forecast{Forecast: f, receivedAt: now}
	}
	if len(reply.Forecasts) > 0 {
		l.setTargets(l.dir.Snapshot(now), now)
	}
}

// pushLeases sends nodes the leases that changed because of another node's report.
func (l *controlLoop) pushLeases() {
	for _, g := range l.leaderState.allocator.Pushes() {
		if g.Node == l.node.cfg.Node {
			l.throttler.Accept(g, l.now())
			continue
		}
		l.node.mesh.Notify(g.Node, methodLease, g)
	}
}

// serveLease handles methodLease.
func (n *Node) serveLease(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var g admission.Grant
	if err := json.Unmarshal(params, &g); err != nil {
		return nil, errors.Wrap(err, "decode lease")
	}
	n.loop.post(ctx, func() { n.loop.throttler.Accept(g, n.now()) })
	return nil, nil
}

// serveSync handles methodSync.
func (n *Node) serveSync(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var req syncRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	req.Node = from
	n.members.set(raft.MemberID(req.Member), from)
	return n.answerSync(ctx, req)
}

// answerSync answers a report if this node leads under a valid lease, and otherwise
// names the leader. Lease and commit index are read at the same instant, because a new
// leader has its lease before it has applied what earlier leaders accepted.
func (n *Node) answerSync(ctx context.Context, req syncRequest) (syncReply, error) {
	if n.group.replica == nil {
		return syncReply{Leader: n.group.leader()}, nil
	}
	st, leads := n.group.replica.CurrentStatus()
	if !leads {
		return syncReply{Leader: n.group.leader()}, nil
	}
	reply, ok := call(ctx, n.loop, func() syncReply {
		n.loop.leaderState.beginTerm(st.Term, n.now())
		reply := n.loop.leaderState.acceptReport(req, n.now())
		n.loop.pushLeases()
		return reply
	})
	if !ok {
		return syncReply{}, errors.New("the node stops")
	}
	reply.Commit = st.Commit
	return reply, nil
}

// proveWithoutLeader asks all voters for the ends of their logs, which may prove that
// the applied state is current although no leader answers.
func (n *Node) proveWithoutLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	asked := n.now()
	// The applied index is read first, so that the membership is at least as new.
	applied := n.store.applied.Load()
	voters := n.knownMembers().Voters
	answers := make(chan tailReply, len(voters))
	for _, id := range voters {
		go func() { answers <- n.tailOf(ctx, id) }()
	}
	tails := make([]tailReply, len(voters))
	for i := range tails {
		tails[i] = <-answers
	}
	if tailsProveCurrent(tails, applied) {
		n.proofs.Add(asked, applied)
	}
}

// tailsProveCurrent reports whether a majority of the voters in force after the applied
// entry holds no later entry, which proves that none had been accepted when they were
// asked. The next entry is accepted by a majority of these voters, or of the voters one
// single change later, and both share a voter with the majority that answered. This
// does not hold for the entries after the next one, so a longer log proves nothing
// until its entries are applied and the voters are asked again.
func tailsProveCurrent(tails []tailReply, applied uint64) bool {
	withoutLater := 0
	for _, t := range tails {
		if t.Member != 0 && t.Last <= applied {
			withoutLater++
		}
	}
	return withoutLater > len(tails)/2
}

// tailOf returns the end of one voter's log, or the zero tailReply if it did not
// answer.
func (n *Node) tailOf(ctx context.Context, id raft.MemberID) tailReply {
	if id == n.memberID && n.group.replica != nil {
		return n.tail()
	}
	node, ok := n.members.NodeOf(id)
	if !ok {
		return tailReply{}
	}
	var t tailReply
	if err := n.mesh.Call(ctx, node, methodTail, struct{}{}, &t); err != nil || t.Member != id {
		return tailReply{}
	}
	return t
}

// tail returns the end of this voter's log.
func (n *Node) tail() tailReply {
	st, _ := n.group.replica.CurrentStatus()
	return tailReply{Member: st.ID, Last: st.LastIndex}
}

// serveTail handles methodTail.
func (n *Node) serveTail(context.Context, string, json.RawMessage) (any, error) {
	if n.group.replica == nil {
		return tailReply{}, nil
	}
	return n.tail(), nil
}

// setForecasts stores the forecasts of a plan unless a new term has begun. It runs on
// the control goroutine.
func (l *controlLoop) setForecasts(term uint64, rows []placement.Forecast) {
	if l.leaderState.term != term {
		return
	}
	for _, f := range rows {
		l.leaderState.forecasts[f.Key] = f
	}
}
