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
	// syncInterval is the cadence of reports to the leader.
	syncInterval = 500 * time.Millisecond
	// syncTimeout bounds one report.
	syncTimeout = 500 * time.Millisecond
	// leaderlessAfter is how long no leader must have answered before voters are
	// asked for the end of their logs.
	leaderlessAfter = 500 * time.Millisecond
)

// runSync reports to the leader regularly and on request.
func (n *Node) runSync(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	heard := n.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.loop.kick:
		case <-ticker.C:
		}
		if n.syncOnce(ctx) {
			heard = n.now()
		}
		if n.now()-heard > leaderlessAfter {
			n.askVoters(ctx)
		}
	}
}

// syncOnce sends one report and takes its answer. It is true where a confirmed
// leader answered.
func (n *Node) syncOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	asked := n.now()
	req, ok := call(ctx, n.loop, n.loop.syncRequest)
	if !ok {
		return false
	}
	reply, err := n.sendSync(ctx, req)
	if err != nil || !reply.Leads {
		n.group.setLeader(reply.Leader)
		n.loop.post(ctx, func() { n.loop.returnDemand(req.Demand) })
		return false
	}
	n.currency.offer(asked, reply.Commit)
	n.loop.post(ctx, func() { n.loop.takeSync(reply) })
	return true
}

func (n *Node) sendSync(ctx context.Context, req syncRequest) (syncReply, error) {
	leader := n.group.leader()
	if leader == n.cfg.Node {
		return n.answerSync(ctx, req)
	}
	if leader == "" {
		leader = n.anyVoter()
	}
	var reply syncReply
	err := n.mesh.Call(ctx, leader, methodSync, req, &reply)
	return reply, err
}

// anyVoter picks a voter to ask for the leader, another each time.
func (n *Node) anyVoter() string {
	voters := n.voterNodes()
	if len(voters) == 0 {
		return ""
	}
	n.nextVoter++
	return voters[n.nextVoter%len(voters)]
}

// voterNodes are the nodes of the voters as this node knows them.
func (n *Node) voterNodes() []string {
	var nodes []string
	for _, id := range n.knownMembers().Voters {
		if node, ok := n.members.NodeOf(id); ok && node != n.cfg.Node {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// knownMembers is the membership as applied here, or that of the settings.
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

// syncRequest is built on the control loop.
func (l *loop) syncRequest() syncRequest {
	return syncRequest{
		Node:   l.node.cfg.Node,
		Boot:   l.node.boot,
		Member: uint64(l.node.memberID),
		Report: l.throttler.Report(l.now()),
		Demand: l.takeDemand(),
	}
}

// takeSync takes the leader's answer on the control loop.
func (l *loop) takeSync(reply syncReply) {
	now := l.now()
	l.throttler.SetTerm(reply.Term)
	l.throttler.Accept(reply.Grant, now)
	for _, f := range reply.Forecasts {
		l.forecasts[f.Key] = forecast{Forecast: f, at: now}
	}
	if len(reply.Forecasts) > 0 {
		l.setTargets(l.dir.Snapshot(now), now)
	}
}

// pushLeases sends nodes the shares that they got or lost unasked.
func (l *loop) pushLeases() {
	for _, g := range l.lead.allocator.Pushes() {
		if g.Node == l.node.cfg.Node {
			l.throttler.Accept(g, l.now())
			continue
		}
		l.node.mesh.Notify(g.Node, methodLease, g)
	}
}

// serveLease takes a share that the leader gave unasked.
func (n *Node) serveLease(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var g admission.Grant
	if err := json.Unmarshal(params, &g); err != nil {
		return nil, errors.Wrap(err, "decode lease")
	}
	n.loop.post(ctx, func() { n.loop.throttler.Accept(g, n.now()) })
	return nil, nil
}

// serveSync answers another node's report.
func (n *Node) serveSync(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var req syncRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	req.Node = from
	n.members.set(raft.MemberID(req.Member), from)
	return n.answerSync(ctx, req)
}

// answerSync answers a report where this node leads under a valid lease. Lease
// and commit index are read at one instant: a new leader has its lease before it
// has applied what earlier leaders accepted.
func (n *Node) answerSync(ctx context.Context, req syncRequest) (syncReply, error) {
	if n.group.replica == nil {
		return syncReply{Leader: n.group.leader()}, nil
	}
	st, leads := n.group.replica.Observe()
	if !leads {
		return syncReply{Leader: n.group.leader()}, nil
	}
	reply, ok := call(ctx, n.loop, func() syncReply {
		n.loop.lead.begin(st.Term, n.now())
		reply := n.loop.lead.sync(req, n.now())
		n.loop.pushLeases()
		return reply
	})
	if !ok {
		return syncReply{}, errors.New("the node stops")
	}
	reply.Commit = st.Commit
	return reply, nil
}

// askVoters looks for proof without a leader in the ends of the voters' logs.
func (n *Node) askVoters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	asked := n.now()
	// What is applied is read first: the members are then at least as new.
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
	if provedByTails(tails, applied) {
		n.currency.offer(asked, applied)
	}
}

// provedByTails says whether nothing beyond the applied entry was accepted when
// the voters in force after it were asked: a majority of them holds no further
// one. Any next entry is accepted by a majority of these voters, or of those one
// single change later, and both have a voter in common with the majority that
// answered. That does not hold for entries after a further one, so a longer log
// proves nothing until its entries are applied and the voters asked again.
func provedByTails(tails []tailReply, applied uint64) bool {
	without := 0
	for _, t := range tails {
		if t.Member != 0 && t.Last <= applied {
			without++
		}
	}
	return without > len(tails)/2
}

// tailOf asks one voter for the end of its log; zero if it did not answer.
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

func (n *Node) tail() tailReply {
	st, _ := n.group.replica.Observe()
	return tailReply{Member: st.ID, Last: st.LastIndex}
}

// serveTail answers with the end of this voter's log.
func (n *Node) serveTail(context.Context, string, json.RawMessage) (any, error) {
	if n.group.replica == nil {
		return tailReply{}, nil
	}
	return n.tail(), nil
}

// setForecasts takes a plan's forecasts on the control loop.
func (l *loop) setForecasts(term uint64, rows []placement.Forecast) {
	if l.lead.term != term {
		return
	}
	for _, f := range rows {
		l.lead.forecasts[f.Key] = f
	}
}
