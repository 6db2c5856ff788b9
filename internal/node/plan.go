package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/engine"
	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/placement"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

const (
	// minPlanInterval and maxPlanInterval limit the time between planning rounds.
	minPlanInterval = 10 * time.Millisecond
	maxPlanInterval = 250 * time.Millisecond
	// orderDeadline limits the sending of one order.
	orderDeadline = 500 * time.Millisecond
	// shareInterval is how often the planner's learned patterns are sent to the other
	// voters, one of which may lead next.
	shareInterval = 10 * time.Second
	// deniedQueueSize is the capacity of the queue of denied unload orders.
	deniedQueueSize = 64
	// claimCheckInterval is how often the leader looks for claims of lost owners.
	claimCheckInterval = time.Second
)

// planner runs the placement planner while this node leads.
type planner struct {
	node      *Node
	orders    engine.Orders
	term      uint64
	termStart time.Duration
	planner   *placement.Planner
	// pending are the proposed changes whose outcome is unknown.
	pending []placement.Change
	// claimsCheckedAt is when claims of lost owners were last looked for.
	claimsCheckedAt time.Duration
	// sharedAt is when the learned patterns were last sent to the other voters.
	sharedAt time.Duration
	// addrs are the addresses of the upstreams, by ID, as of the last round.
	addrs map[string]string
	// deniedOrders are unload orders whose upstream answered that it does not know the
	// grant.
	deniedOrders chan placement.Order
	denials      *denialTracker
}

// newPlanner returns the planner of a node; its run method is a supervised part.
func newPlanner(n *Node) *planner {
	return &planner{node: n, orders: &engine.Client{}, deniedOrders: make(chan placement.Order, deniedQueueSize)}
}

// planInput is the control loop's input to a planning round.
type planInput struct {
	views      []directory.View
	demand     []placement.Demand
	lostOwners []ledger.Owner
}

// run plans at intervals and whenever the control loop requests a plan.
func (p *planner) run(ctx context.Context) error {
	timer := time.NewTimer(maxPlanInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.node.loop.leaderState.planNow:
		case <-timer.C:
		}
		timer.Reset(p.round(ctx))
	}
}

// round plans once if this node leads and returns the wait until the next round.
func (p *planner) round(ctx context.Context) time.Duration {
	term, ok := p.node.group.leads()
	if !ok {
		p.planner = nil
		return maxPlanInterval
	}
	if p.planner == nil || p.term != term {
		if !p.node.group.appliedCommitted(p.node.store) {
			return minPlanInterval
		}
		p.beginTerm(ctx, term)
	}
	p.shareLearned(ctx)
	in, ok := call(ctx, p.node.loop, func() planInput { return p.collectInput(term) })
	if !ok {
		return maxPlanInterval
	}
	p.abandonClaims(ctx, in.lostOwners)
	p.releaseDenied(ctx)
	snapshot := p.snapshot(in)
	plan := p.planner.Plan(p.node.now(), snapshot)
	p.node.loop.post(ctx, func() { p.node.loop.setForecasts(term, plan.Forecasts) })
	p.sendOrders(ctx, plan.Orders)
	if len(plan.Changes) > 0 && p.propose(ctx, plan.Changes) {
		return minPlanInterval
	}
	return min(max(plan.Next-p.node.now(), minPlanInterval), maxPlanInterval)
}

// beginTerm replaces the planner for a new term and restores what the previous leader's
// planner learned about recurring calls.
func (p *planner) beginTerm(ctx context.Context, term uint64) {
	p.term = term
	p.termStart = p.node.now()
	p.pending = nil
	p.denials = newDenialTracker()
	p.planner = placement.NewPlanner(placement.Config{
		Store:            placement.StoreLimits{Width: p.node.cfg.Store.Width, Rate: p.node.cfg.Store.Rate},
		AdaptersInFlight: p.node.cfg.Store.AdapterWidth,
	})
	type learnedRecord struct {
		learned    *placement.LearnedPatterns
		receivedAt time.Duration
	}
	last, _ := call(ctx, p.node.loop, func() learnedRecord {
		return learnedRecord{p.node.loop.leaderState.learned, p.node.loop.leaderState.learnedAt}
	})
	if last.learned != nil {
		now := p.node.now()
		p.planner.Restore(now, now-last.receivedAt, *last.learned)
	}
}

// shareLearned sends the planner's learned patterns to the other voters and stores them
// on this node.
func (p *planner) shareLearned(ctx context.Context) {
	now := p.node.now()
	if now-p.sharedAt < shareInterval {
		return
	}
	p.sharedAt = now
	learned := p.planner.Experience(now)
	if len(learned.Models) == 0 {
		return
	}
	for _, node := range p.node.voterNodes() {
		p.node.mesh.Notify(node, methodLearned, learned)
	}
	p.node.loop.post(ctx, func() { p.node.loop.setLearned(learned) })
}

// setLearned stores a planner's learned patterns. It runs on the control goroutine.
func (l *controlLoop) setLearned(learned placement.LearnedPatterns) {
	l.leaderState.learned = &learned
	l.leaderState.learnedAt = l.now()
}

// serveLearned handles methodLearned.
func (n *Node) serveLearned(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var learned placement.LearnedPatterns
	if err := json.Unmarshal(params, &learned); err != nil {
		return nil, errors.Wrap(err, "decode learned patterns")
	}
	n.loop.post(ctx, func() { n.loop.setLearned(learned) })
	return nil, nil
}

// collectInput collects the control loop's input to a round. It runs on the control
// goroutine.
func (p *planner) collectInput(term uint64) planInput {
	l := p.node.loop
	now := l.now()
	l.leaderState.beginTerm(term, now)
	in := planInput{views: l.dir.Snapshot(now), demand: l.leaderState.planDemand(now)}
	if now-p.claimsCheckedAt >= claimCheckInterval {
		p.claimsCheckedAt = now
		in.lostOwners = l.leaderState.lostOwners(p.node.store.claimOwners(), now)
	}
	return in
}

// snapshot builds the placement planner's input and updates the upstreams' addresses.
func (p *planner) snapshot(in planInput) placement.Snapshot {
	grants := p.node.store.grants()
	v := p.node.store.view.Load()
	s := placement.Snapshot{
		Leadership: placement.Leadership{
			Lease:         p.node.group.replica.LeaseValid(),
			Since:         p.termStart,
			LongestLease:  raftLease,
			OrderDeadline: orderDeadline,
		},
		Revision: v.revision,
		Ledger:   &grants,
		Pending:  p.pending,
		Demand:   in.demand,
	}
	for _, c := range v.contracts {
		s.Contracts = append(s.Contracts, c.Contract)
	}
	p.addrs = map[string]string{}
	for i := range in.views {
		a := &in.views[i].Announcement
		p.addrs[a.ID] = a.Addr
		if a.Kind == directory.Engine {
			s.Upstreams = append(s.Upstreams, placement.Upstream{Announcement: a, Silent: in.views[i].Silent})
		}
	}
	return s
}

// propose proposes changes of the grants and reports whether they were committed.
// Changes with an unknown outcome stay pending until the next proposal replaces them, or
// until a new term begins, whose log has decided them.
func (p *planner) propose(ctx context.Context, changes []placement.Change) bool {
	data, err := control.Command{Origin: p.node.origin("placement"), Grants: changes}.Encode()
	if err != nil {
		p.node.log.WithError(err).Error("encoding changes of grants failed")
		return false
	}
	p.pending = changes
	res, err := p.node.group.proposeLocal(ctx, data)
	if err != nil {
		p.node.log.WithError(err).Warn("changes of grants were not committed")
		return false
	}
	p.pending = nil
	for i, r := range res.Grants {
		p.logGrant(changes[i], r)
	}
	return true
}

// releaseDenied ends withdrawn grants whose upstream proved that it holds no replica of
// them.
func (p *planner) releaseDenied(ctx context.Context) {
	var changes []placement.Change
	for {
		select {
		case o := <-p.deniedOrders:
			if p.denials.recordDenial(o.Grant, p.node.now()) {
				changes = append(changes, releaseChange(o))
			}
			continue
		default:
		}
		break
	}
	if len(changes) > 0 {
		p.propose(ctx, changes)
	}
}

// logGrant logs the outcome of one change of a grant.
func (p *planner) logGrant(c placement.Change, r control.GrantResult) {
	log := p.node.log.WithFields(logrus.Fields{
		"part":     "placement",
		"kind":     c.Kind,
		"grant":    r.Grant.ID,
		"model":    r.Grant.Model,
		"upstream": r.Grant.Upstream,
	})
	if r.Refused != "" {
		log.WithField("refused", r.Refused).Warn("grant refused")
		return
	}
	log.Info("grant changed")
}

// sendOrders sends each order in its own goroutine, provided that the lease is still
// valid just before.
func (p *planner) sendOrders(ctx context.Context, orders []placement.Order) {
	for _, o := range orders {
		addr, ok := p.addrs[o.Upstream]
		if !ok || !p.node.group.replica.LeaseValid() {
			continue
		}
		go p.sendOrder(ctx, addr, o)
	}
}

// sendOrder sends one order and queues it in deniedOrders if the upstream does not know
// the grant.
func (p *planner) sendOrder(ctx context.Context, addr string, o placement.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderDeadline)
	defer cancel()
	res := p.orders.Send(ctx, addr, engineOrder(o))
	if o.Kind == placement.UnloadModel && res.Outcome == engine.Refused && res.Reason == engine.UnknownGrant {
		select {
		case p.deniedOrders <- o:
		default: // the queue is full; the order is sent and denied again
		}
	}
	p.node.log.WithFields(logrus.Fields{
		"part":     "placement",
		"upstream": o.Upstream,
		"model":    o.Model,
		"adapter":  o.Adapter,
		"grant":    o.Grant,
		"outcome":  res.Outcome,
		"reason":   res.Reason,
	}).Debug("order sent")
}

// orderKinds maps the planner's order kinds to those of the engine protocol.
var orderKinds = map[placement.OrderKind]engine.OrderKind{
	placement.LoadModel:   engine.Load,
	placement.UnloadModel: engine.Unload,
	placement.LoadAdapter: engine.LoadAdapter,
}

// engineOrder converts an order of the planner to an engine order with a new ID.
func engineOrder(o placement.Order) engine.Order {
	return engine.Order{
		ID:          uuid.NewString(),
		Kind:        orderKinds[o.Kind],
		Upstream:    o.Upstream,
		Incarnation: o.Incarnation,
		Fencing:     o.Fence,
		Grant:       o.Grant,
		Model:       o.Model,
		Memory:      o.Memory,
		Adapter:     o.Adapter,
		Deadline:    engine.Millis(orderDeadline),
	}
}

// abandonClaims records the outcome of the claims of lost owners as unknown.
func (p *planner) abandonClaims(ctx context.Context, lost []ledger.Owner) {
	for _, o := range lost {
		cmd := control.Command{Origin: p.node.origin("claims"), AbandonClaims: &control.AbandonClaims{Owner: o}}
		data, err := cmd.Encode()
		if err != nil {
			continue
		}
		if _, err := p.node.group.proposeLocal(ctx, data); err == nil {
			p.node.log.WithFields(logrus.Fields{"node": o.Node, "boot": o.Boot}).Warn("claim owner ended or silent: the outcome of its claims is unknown")
		}
	}
}
