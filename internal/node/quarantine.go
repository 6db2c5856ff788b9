package node

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/quarantine"
)

const (
	// trialTTL is how long a node may use a trial that it was granted.
	trialTTL = 5 * time.Second
	// adoptTime is how long a new leader adopts what the nodes still have in quarantine. Each
	// of them reports several times within it.
	adoptTime = 3 * time.Second
)

// crashReport is the part of a node's report on calls that crash upstreams.
type crashReport struct {
	// Losses are the calls that were lost with their upstreams since the last report; Served
	// are the suspects that calls were served with.
	Losses []quarantine.Loss  `json:"losses,omitempty"`
	Served []quarantine.Trait `json:"served,omitempty"`
	// InForce are the calls that the node refuses.
	InForce []quarantine.Signature `json:"inForce,omitempty"`
	// Trials are those of which the node has a call to send on trial.
	Trials []quarantine.Signature `json:"trials,omitempty"`
}

// crashReply is the leader's answer to a crashReport.
type crashReply struct {
	// InForce are the calls to refuse; Open are those of which a node may ask for a trial,
	// and Granted those of which this node may send one call.
	InForce []quarantine.Signature `json:"inForce,omitempty"`
	Open    []quarantine.Signature `json:"open,omitempty"`
	Granted []quarantine.Signature `json:"granted,omitempty"`
	// Suspects are the traits that the leader wants to know of whether calls are served with
	// them.
	Suspects []quarantine.Trait `json:"suspects,omitempty"`
}

// crashWatch is a node's knowledge of calls that crash upstreams. It is accessed on the control
// goroutine only.
type crashWatch struct {
	reporter quarantine.Reporter
	inForce  []quarantine.Signature
	open     []quarantine.Signature
	// wanted are the trials to ask for with the next report, and granted those that the node
	// may use, by key, with the time until which it may.
	wanted  map[string]quarantine.Signature
	granted map[string]time.Duration
	// servedAt holds when the suspects in the report under way were served, and lossesUntil
	// the number of its last loss.
	servedAt    map[quarantine.Trait]time.Duration
	lossesUntil uint64
}

func newCrashWatch() crashWatch {
	return crashWatch{
		reporter: quarantine.NewReporter(), wanted: map[string]quarantine.Signature{}, granted: map[string]time.Duration{},
	}
}

// crashScope is what a call's traits belong to: no customer's calls speak for those of another.
func crashScope(c *gateway.Call) string { return c.Customer() + "/" + c.Target() }

func crashTraits(c *gateway.Call) []string { return []string{quarantine.RequestID(c.Fingerprint())} }

// match returns the signature because of which a call is refused; nil if it is not, or may be
// sent on trial.
func (w *crashWatch) match(c *gateway.Call, now time.Duration) *quarantine.Signature {
	if len(w.inForce) == 0 {
		return nil
	}
	scope, traits := crashScope(c), crashTraits(c)
	i := slices.IndexFunc(w.inForce, func(s quarantine.Signature) bool { return s.Matches(scope, traits) })
	if i < 0 {
		return nil
	}
	s := &w.inForce[i]
	if until, ok := w.granted[s.Key()]; ok && now < until {
		return nil
	}
	if slices.ContainsFunc(w.open, func(o quarantine.Signature) bool { return o.Key() == s.Key() }) {
		w.wanted[s.Key()] = *s
	}
	return s
}

// useTrial takes note that a call is sent. If it is one on trial, it was the only one.
func (w *crashWatch) useTrial(c *gateway.Call) (used bool) {
	scope, traits := crashScope(c), crashTraits(c)
	for i := range w.inForce {
		if s := &w.inForce[i]; s.Matches(scope, traits) {
			delete(w.granted, s.Key())
			used = true
		}
	}
	return used
}

// report returns the node's report.
func (w *crashWatch) report(now time.Duration) *crashReport {
	w.servedAt = w.reporter.ServedSuspects(now)
	r := &crashReport{InForce: w.inForce}
	r.Losses, w.lossesUntil = w.reporter.Losses()
	for trait := range w.servedAt {
		r.Served = append(r.Served, trait)
	}
	for _, s := range w.wanted {
		r.Trials = append(r.Trials, s)
	}
	clear(w.wanted)
	return r
}

// apply applies the answer of the leader of a term to a report. It reports whether the calls to
// refuse changed.
func (w *crashWatch) apply(term uint64, reply *crashReply, now time.Duration) (changed bool) {
	w.reporter.Confirm(term, w.lossesUntil, w.servedAt, now) // losses to repeat go with the next report
	w.reporter.SetAsked(reply.Suspects, nil, now)
	changed = !quarantine.Equal(w.inForce, reply.InForce)
	w.inForce, w.open = reply.InForce, reply.Open
	for key, until := range w.granted {
		if now >= until {
			delete(w.granted, key)
		}
	}
	for _, s := range reply.Granted {
		w.granted[s.Key()] = now + trialTTL
	}
	return changed
}

// crashRefusal returns the refusal of a call that crashes upstreams; nil if it is none.
func (l *controlLoop) crashRefusal(c *gateway.Call) *gateway.Refusal {
	s := l.crashes.match(c, l.now())
	if s == nil {
		return nil
	}
	if len(l.crashes.wanted) > 0 {
		l.requestReport()
	}
	return gateway.NewRefusal(gateway.ReasonCrashesUpstreams, s.RetryAfter(), "the call has crashed every upstream that ran it lately")
}

// recordLoss records that a call was lost with its upstream.
func (l *controlLoop) recordLoss(c *gateway.Call, upstream string) {
	v, ok := l.dir.Get(upstream, l.now())
	if !ok {
		return
	}
	engine := fleet.Incarnation{ID: upstream, Born: int64(v.Announcement.Incarnation)}
	l.log.WithFields(logrus.Fields{"upstream": upstream, "scope": crashScope(c), "request": c.Fingerprint()}).Info("call lost with its upstream")
	l.crashes.reporter.RecordLoss(quarantine.Loss{Engine: engine, Service: crashScope(c), Traits: crashTraits(c)})
	l.requestReport()
}

// recordServed records that a call was answered.
func (l *controlLoop) recordServed(c *gateway.Call) {
	if l.crashes.reporter.RecordServed(crashScope(c), crashTraits(c), l.now()) {
		l.requestReport()
	}
}

// applyCrashReply applies the leader's answer to a report.
func (l *controlLoop) applyCrashReply(term uint64, reply *crashReply) {
	if reply == nil { // from a leader of an earlier build
		return
	}
	if l.crashes.apply(term, reply, l.now()) {
		l.log.WithField("signatures", l.crashes.inForce).Info("calls in quarantine")
	}
}

// crashJudge is the leader's part: what the nodes' reports say together. It begins anew in each
// term and adopts what the nodes have in quarantine.
type crashJudge struct {
	detector   *quarantine.Detector
	inForce    []quarantine.Signature
	adoptUntil time.Duration
}

func newCrashJudge(now time.Duration) crashJudge {
	return crashJudge{detector: quarantine.New(nil, now), adoptUntil: now + adoptTime}
}

// accept applies a node's report and returns the answer.
func (j *crashJudge) accept(r *crashReport, now time.Duration) *crashReply {
	if r == nil { // from a node of an earlier build
		return nil
	}
	if now < j.adoptUntil {
		j.adopt(r.InForce)
	}
	for _, l := range r.Losses {
		j.detector.Lost(l, j.inForce, now)
	}
	j.detector.Served(r.Served, now)
	j.inForce = j.detector.Decide(j.inForce, now)
	reply := &crashReply{InForce: j.inForce, Suspects: j.detector.Suspects(j.inForce)}
	for _, s := range r.Trials {
		if j.detector.TakeTrial(s, j.inForce, now) {
			reply.Granted = append(reply.Granted, s)
		}
	}
	reply.Open = j.detector.OpenTrials(j.inForce)
	return reply
}

// adopt takes over the signatures that are not in force here.
func (j *crashJudge) adopt(signatures []quarantine.Signature) {
	for _, s := range signatures {
		i := slices.IndexFunc(j.inForce, func(o quarantine.Signature) bool { return o.Key() == s.Key() })
		switch {
		case i < 0:
			j.inForce = append(slices.Clone(j.inForce), s)
		case j.inForce[i].Trials < s.Trials:
			j.inForce = slices.Clone(j.inForce)
			j.inForce[i].Trials = s.Trials
		}
	}
}
