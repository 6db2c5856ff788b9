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
	// minPlanInterval and maxPlanInterval bound the cadence of planning.
	minPlanInterval = 10 * time.Millisecond
	maxPlanInterval = 250 * time.Millisecond
	// orderDeadline bounds the sending of one order.
	orderDeadline = 500 * time.Millisecond
	// teachInterval is the cadence of passing the planner's experience on, for
	// the next leader.
	teachInterval = 10 * time.Second
	// deniedQueue bounds the denied unload orders that wait for a round.
	deniedQueue = 64
	// reapInterval is the cadence of looking for claims of ended processes.
	reapInterval = time.Second
)

// planner runs the placement decisions while this node leads.
type planner struct {
	node    *Node
	orders  engine.Orders
	term    uint64
	since   time.Duration
	core    *placement.Planner
	pending []placement.Change
	reaped  time.Duration
	taught  time.Duration
	addrs   map[string]string
	// denied are unload orders whose upstream holds no such replica.
	denied   chan placement.Order
	absences *absences
}

// newPlanner returns the planning part of a node.
func newPlanner(n *Node) *planner {
	return &planner{node: n, orders: &engine.Client{}, denied: make(chan placement.Order, deniedQueue)}
}

// planInput is what the control loop contributes to a round.
type planInput struct {
	views  []directory.View
	demand []placement.Demand
	lost   []ledger.Owner
}

func (p *planner) run(ctx context.Context) error {
	timer := time.NewTimer(maxPlanInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.node.loop.lead.kick:
		case <-timer.C:
		}
		timer.Reset(p.round(ctx))
	}
}

// round plans once and returns the wait until the next round.
func (p *planner) round(ctx context.Context) time.Duration {
	term, ok := p.node.group.leads()
	if !ok {
		p.core = nil
		return maxPlanInterval
	}
	if p.core == nil || p.term != term {
		if !p.node.group.appliedAll(p.node.store) {
			return minPlanInterval
		}
		p.begin(ctx, term)
	}
	p.teach(ctx)
	in, ok := call(ctx, p.node.loop, func() planInput { return p.input(term) })
	if !ok {
		return maxPlanInterval
	}
	p.reap(ctx, in.lost)
	p.releaseDenied(ctx)
	snapshot := p.snapshot(in)
	plan := p.core.Plan(p.node.now(), snapshot)
	p.node.loop.post(ctx, func() { p.node.loop.setForecasts(term, plan.Forecasts) })
	p.send(ctx, plan.Orders)
	if len(plan.Changes) > 0 && p.propose(ctx, plan.Changes) {
		return minPlanInterval
	}
	return min(max(plan.Next-p.node.now(), minPlanInterval), maxPlanInterval)
}

// begin starts the soft state of a term. What the last leader learned about
// recurring calls is taken over.
func (p *planner) begin(ctx context.Context, term uint64) {
	p.term = term
	p.since = p.node.now()
	p.pending = nil
	p.absences = newAbsences()
	p.core = placement.NewPlanner(placement.Config{
		Store:            placement.StoreLimits{Width: p.node.cfg.Store.Width, Rate: p.node.cfg.Store.Rate},
		AdaptersInFlight: p.node.cfg.Store.AdapterWidth,
	})
	type lesson struct {
		learned *placement.LearnedPatterns
		at      time.Duration
	}
	last, _ := call(ctx, p.node.loop, func() lesson {
		return lesson{p.node.loop.lead.learned, p.node.loop.lead.learnedAt}
	})
	if last.learned != nil {
		now := p.node.now()
		p.core.Restore(now, now-last.at, *last.learned)
	}
}

// teach passes the planner's experience to the other voters and keeps it here.
func (p *planner) teach(ctx context.Context) {
	now := p.node.now()
	if now-p.taught < teachInterval {
		return
	}
	p.taught = now
	learned := p.core.Experience(now)
	if len(learned.Models) == 0 {
		return
	}
	for _, node := range p.node.voterNodes() {
		p.node.mesh.Notify(node, methodLearned, learned)
	}
	p.node.loop.post(ctx, func() { p.node.loop.learn(learned) })
}

// learn keeps a planner's experience on the control loop.
func (l *loop) learn(e placement.LearnedPatterns) {
	l.lead.learned = &e
	l.lead.learnedAt = l.now()
}

// serveLearned takes the leader's experience.
func (n *Node) serveLearned(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var e placement.LearnedPatterns
	if err := json.Unmarshal(params, &e); err != nil {
		return nil, errors.Wrap(err, "decode experience")
	}
	n.loop.post(ctx, func() { n.loop.learn(e) })
	return nil, nil
}

// input runs on the control loop.
func (p *planner) input(term uint64) planInput {
	l := p.node.loop
	now := l.now()
	l.lead.begin(term, now)
	in := planInput{views: l.dir.Snapshot(now), demand: l.lead.planDemand(now)}
	if now-p.reaped >= reapInterval {
		p.reaped = now
		in.lost = l.lead.lost(p.node.store.claimOwners(), now)
	}
	return in
}

func (p *planner) snapshot(in planInput) placement.Snapshot {
	grants := p.node.store.grants()
	v := p.node.store.view.Load()
	s := placement.Snapshot{
		Leadership: placement.Leadership{
			Lease:         p.node.group.replica.LeaseValid(),
			Since:         p.since,
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

// propose commits changes of the grants. Until their outcome is known they stay
// pending; only a new term, whose log has decided them, forgets them.
func (p *planner) propose(ctx context.Context, changes []placement.Change) bool {
	data, err := control.Command{Origin: p.node.origin("placement"), Grants: changes}.Encode()
	if err != nil {
		p.node.log.WithError(err).Error("grants could not be encoded")
		return false
	}
	p.pending = changes
	res, err := p.node.group.proposeHere(ctx, data)
	if err != nil {
		p.node.log.WithError(err).Warn("grants were not committed")
		return false
	}
	p.pending = nil
	for i, r := range res.Grants {
		p.logGrant(changes[i], r)
	}
	return true
}

// releaseDenied ends withdrawn grants whose upstream proved that it holds none.
func (p *planner) releaseDenied(ctx context.Context) {
	var changes []placement.Change
	for {
		select {
		case o := <-p.denied:
			if p.absences.deny(o.Grant, p.node.now()) {
				changes = append(changes, release(o))
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

// send sends orders, each on its own, under the lease that was checked last.
func (p *planner) send(ctx context.Context, orders []placement.Order) {
	for _, o := range orders {
		addr, ok := p.addrs[o.Upstream]
		if !ok || !p.node.group.replica.LeaseValid() {
			continue
		}
		go p.sendOne(ctx, addr, o)
	}
}

func (p *planner) sendOne(ctx context.Context, addr string, o placement.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderDeadline)
	defer cancel()
	res := p.orders.Send(ctx, addr, engineOrder(o))
	if o.Kind == placement.UnloadModel && res.Outcome == engine.Refused && res.Reason == engine.UnknownGrant {
		select {
		case p.denied <- o:
		default: // the order is sent again
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

var orderKinds = map[placement.OrderKind]engine.OrderKind{
	placement.LoadModel:   engine.Load,
	placement.UnloadModel: engine.Unload,
	placement.LoadAdapter: engine.LoadAdapter,
}

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

// reap settles the claims of processes that ended.
func (p *planner) reap(ctx context.Context, lost []ledger.Owner) {
	for _, o := range lost {
		cmd := control.Command{Origin: p.node.origin("claims"), AbandonClaims: &control.AbandonClaims{Owner: o}}
		data, err := cmd.Encode()
		if err != nil {
			continue
		}
		if _, err := p.node.group.proposeHere(ctx, data); err == nil {
			p.node.log.WithFields(logrus.Fields{"node": o.Node, "boot": o.Boot}).Warn("claims of an ended process are unknown now")
		}
	}
}
