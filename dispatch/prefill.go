package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// usualReadRate is the number of prompt tokens that an engine usually reads in a second.
	usualReadRate = 25_000
	// usualStartTime is the usual time to the first event of a call without a prompt: the network, and the tokens of
	// the event.
	usualStartTime = 60 * time.Millisecond
	// maxPromptTokens bounds the tokens for which a prompt counts, so that a caller that states absurd ones does not
	// repel the calls of others from an engine.
	maxPromptTokens = 1 << 15
	// minSlowness and maxSlowness bound a sample of an engine's slowness.
	minSlowness, maxSlowness = 0.25, 4
	// slownessSamples is the number of samples over which the slowness of an engine is averaged, and
	// serviceSlownessSamples that over which a service's is.
	slownessSamples, serviceSlownessSamples = 16, 256
	// slownessPrior is the number of samples of an engine that weigh as much as the average of its service.
	slownessPrior = 2
	// readDecayTime is the time constant with which the planner's count of unread tokens fades: prompts are read
	// within tenths of a second.
	readDecayTime = 500 * time.Millisecond
	// minSlack is the least time to a target by which predicted times are weighed.
	minSlack = 100 * time.Millisecond
)

// slowness is a moving average of how long an engine takes to the first event, as a multiple of the usual.
type slowness struct {
	mean    float64
	samples float64
}

// observe adds a sample to an average over about the given number of them.
func (s *slowness) observe(sample, window float64) {
	s.samples = min(s.samples+1, window)
	s.mean += (sample - s.mean) / s.samples
}

// shrunk returns the average, drawn to that of the service as far as there are few samples.
func (s *slowness) shrunk(service *slowness) float64 {
	prior := 1.0
	if service != nil {
		prior = service.mean
	}
	return (s.mean*s.samples + prior*slownessPrior) / (s.samples + slownessPrior)
}

// unread returns the length of the prompt as it counts for the time that an engine reads it; zero if it is unknown.
func (c *Call) unread() int {
	if c.Model == "" {
		return 0
	}
	return min(max(0, c.PromptTokens), maxPromptTokens)
}

// unreadAhead returns the estimated number of prompt tokens at an upstream that are not read yet: those of this node's
// calls, and those of others by the planner's latest count.
func (d *Dispatcher) unreadAhead(u *upstream, now time.Duration) float64 {
	age := max(0, now-d.plannerCountAt)
	return float64(u.ownTokens.Unread) + float64(u.othersTokens.Unread)*math.Exp(-float64(age)/float64(readDecayTime))
}

// usualFirstEvent returns the time from sending a call to an upstream to the first event of its answer if the upstream
// were of usual slowness and its neighbours kept their pace; zero if the length of the prompt is unknown.
func (d *Dispatcher) usualFirstEvent(u *upstream, c *Call, now time.Duration) time.Duration {
	if c.unread() == 0 {
		return 0
	}
	reading := (d.unreadAhead(u, now) + float64(c.unread())) / usualReadRate
	return time.Duration(float64(usualStartTime+time.Duration(reading*float64(time.Second))) * u.recentPace(now))
}

// expectedFirstEvent predicts the time from sending a call to an upstream to the first event of its answer; zero if the
// length of the prompt is unknown.
//
// It answers this load pattern: engines read prompts one after the other between the tokens that they generate, so that
// a long prompt holds up the short ones behind it, and some engines read them more than twice as fast as others. Calls
// that are due soon go rather to engines that are expected to read them by then.
func (d *Dispatcher) expectedFirstEvent(u *upstream, c *Call, now time.Duration) time.Duration {
	return time.Duration(float64(d.usualFirstEvent(u, c, now)) * u.slowness.shrunk(d.slowness[u.desc.Service]))
}

// firstEventCost returns the part of the cost of running a call at an upstream that is due to the wait for its first
// event: 0 to 1, half if the call uses up the time that it has. For patient calls this is a part of the time to the
// target; the rest is for what the prediction does not know.
func (d *Dispatcher) firstEventCost(u *upstream, c *Call, now time.Duration) float64 {
	slack := max(minSlack, c.Target-now)
	if d.isPatientPrompt(c) {
		slack = max(minSlack, slack/patientFactor)
	}
	expected := float64(d.expectedFirstEvent(u, c, now))
	return expected / (expected + float64(slack))
}

// expectFirstEvent notes at the start of a call what its first event will be compared with. Nothing is learned from a call
// that may wait for a slot or goes on with a stream.
func (d *Dispatcher) expectFirstEvent(r *runningCall, now time.Duration) {
	u := r.upstream
	if r.call.Pinned || d.rankingLoad(u, u.estimatedLoad(&d.limits, now), now) >= float64(u.slotCount()) {
		return
	}
	r.usualFirstEvent = d.usualFirstEvent(u, &r.call, now)
}

// learnSlowness records that the first event of a running call's answer arrived so long after the call was sent.
func (d *Dispatcher) learnSlowness(r *runningCall, took time.Duration) {
	if r.usualFirstEvent <= 0 || took <= 0 {
		return
	}
	sample := min(max(float64(took)/float64(r.usualFirstEvent), minSlowness), maxSlowness)
	r.usualFirstEvent = 0
	r.upstream.slowness.observe(sample, slownessSamples)
	service := d.slowness[r.call.Service]
	if service == nil {
		service = &slowness{}
		d.slowness[r.call.Service] = service
	}
	service.observe(sample, serviceSlownessSamples)
}

const (
	// mixDecayTime is the time constant with which the prompts of calls lose weight in the mix of a service. With hundreds
	// of nodes, one sees a few calls in that time.
	mixDecayTime = time.Minute
	// patientFactor is how many times as far off as the usual the target of a patient call is.
	patientFactor = 3
	// separateShare is the share of the engines that patient calls need by their tokens which they are given: they bear
	// longer queues than others.
	separateShare = 0.8
	// separationPenalty is the cost of an engine that reads prompts of the other sort. It equals that of a first event
	// which uses up the time that a call has.
	separationPenalty = 0.5
	// separateFrom and separateFully are the shares of the usual time to a target that engines take on
	// average to read what they have, from which on the two sorts are kept apart a little and fully. Below, prompts seldom
	// meet, and an even use of slots and memory is worth more.
	separateFrom, separateFully = 0.125, 0.25
)

// promptMix describes the prompts of the latest calls for a service at this node.
type promptMix struct {
	// calls and urgency are weighted sums over the calls of one and of the reciprocal of the time to the target in
	// seconds, as of at; patient and tokens those of the tokens of patient calls and of all calls.
	calls, urgency  float64
	patient, tokens float64
	at              time.Duration
}

// usualTarget returns the usual time to a target. It is the harmonic mean, which follows the urgent calls, and a few very
// urgent ones hardly move.
func (m *promptMix) usualTarget() time.Duration {
	return time.Duration(m.calls / m.urgency * float64(time.Second))
}

// notePrompt adds a call to the mix of its service.
func (d *Dispatcher) notePrompt(c *Call, now time.Duration) {
	if c.unread() == 0 {
		return
	}
	m := d.prompts[c.Service]
	if m == nil {
		m = &promptMix{}
		d.prompts[c.Service] = m
	}
	fade := math.Exp(-float64(now-m.at) / float64(mixDecayTime))
	m.calls, m.urgency, m.at = m.calls*fade+1, m.urgency*fade+1/max(minSlack, c.Target-c.Arrived).Seconds(), now
	m.patient, m.tokens = m.patient*fade, m.tokens*fade+float64(c.unread())
	if d.isPatientPrompt(c) {
		m.patient += float64(c.unread())
	}
}

// isPatientPrompt reports whether a call has a prompt and several times as long to its target as is usual for its
// service.
func (d *Dispatcher) isPatientPrompt(c *Call) bool {
	m := d.prompts[c.Service]
	return m != nil && c.unread() > 0 && c.Target-c.Arrived >= patientFactor*m.usualTarget()
}

// separate adds the cost of reading the prompts of patient and of urgent calls at the same engines.
//
// It answers this load pattern: what an engine reads changes faster than nodes hear of it, so that urgent calls cannot be
// steered around each long prompt. While engines have much to read, patient calls rather go to so many of the engines as their tokens need at most, and
// others to the rest. All nodes prefer the same engines, by a hash, without a word between them. Where one sort exceeds
// its engines, predicted times and free slots outweigh the penalty.
func (d *Dispatcher) separate(candidates []candidate, c *Call, now time.Duration) {
	m := d.prompts[c.Service]
	if c.unread() == 0 || m == nil || m.patient == 0 {
		return
	}
	penalty := separationPenalty * d.readingPressure(candidates, m, now)
	forPatient := int(separateShare * m.patient / m.tokens * float64(len(candidates)))
	if forPatient == 0 || penalty == 0 {
		return
	}
	scores := make([]float64, len(candidates))
	for i := range candidates {
		scores[i] = rendezvousScore(0, candidates[i].upstream.desc.ID)
	}
	limit := slices.Sorted(slices.Values(scores))[forPatient-1]
	patient := d.isPatientPrompt(c)
	for i := range candidates {
		if patient != (scores[i] <= limit) {
			candidates[i].cost += penalty
		}
	}
}

// readingPressure returns how far patient and urgent calls are to be kept apart: from 0 to 1, by how long the candidates
// take on average to read the prompts that they have.
func (d *Dispatcher) readingPressure(candidates []candidate, m *promptMix, now time.Duration) float64 {
	var reading float64
	for _, c := range candidates {
		slow := c.upstream.slowness.shrunk(d.slowness[c.upstream.desc.Service])
		reading += d.unreadAhead(c.upstream, now) / usualReadRate * slow
	}
	share := reading / float64(len(candidates)) / m.usualTarget().Seconds()
	return min(1, max(0, (share-separateFrom)/(separateFully-separateFrom)))
}
