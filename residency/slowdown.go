package residency

import "math"

const (
	// priorSlowdown is the share of streams assumed to pause too long at one call per
	// second, before any stream was seen. It makes a tenth at three calls per second.
	priorSlowdown = 0.011
	// priorStreams is the weight of priorSlowdown, in streams at three calls per
	// second.
	priorStreams = 60
	// slowdownWindow sets how fast older streams lose weight: a report of that many
	// streams halves the weight of all earlier ones.
	slowdownWindow = 1500
)

// slowdownModel predicts how calls at one engine slow each other down. The share of
// streams that pause too long grows with the square of the calls per second, because
// each prompt that is processed stalls all running streams, and both the prompts and
// the streams grow with the rate.
type slowdownModel struct {
	// paused is the weighted number of streams that paused too long. squaredRates is
	// the weighted sum, over all streams, of the square of the engine's calls per
	// second. The slowdown coefficient is their ratio.
	paused, squaredRates float64
}

func newSlowdownModel() slowdownModel {
	const priorSquaredRate = 9
	return slowdownModel{paused: priorSlowdown * priorSquaredRate * priorStreams, squaredRates: priorSquaredRate * priorStreams}
}

// observe updates the model with the streams that finished at an engine, and how many
// of them paused too long, at the given rate in calls per second.
func (m *slowdownModel) observe(rate, streams, paused float64) {
	if streams == 0 {
		return
	}
	decay := 1 - streams/(streams+slowdownWindow)
	m.paused = m.paused*decay + paused
	m.squaredRates = m.squaredRates*decay + streams*rate*rate
}

// lossRate returns the value lost to late calls at an engine, in calls per second, at
// the given rate of calls. Calls on time never exceed their number at bestRate or the
// rate that the engine's slots allow, however many arrive.
func (m *slowdownModel) lossRate(rate, slotRate float64) float64 {
	if m.squaredRates <= 0 || rate <= 0 {
		return 0
	}
	slowdown := m.paused / m.squaredRates
	effectiveRate := min(rate, m.bestRate(), slotRate)
	return (slowdown*effectiveRate*effectiveRate*effectiveRate + rate - effectiveRate) * (1 - lateCallValue)
}

// bestRate returns the rate at one engine, in calls per second, at which most calls are on
// time: where rate - slowdown*rate^3 is greatest. It is infinite while no stream has paused.
func (m *slowdownModel) bestRate() float64 {
	return math.Sqrt(m.squaredRates / (3 * m.paused))
}

// lossRate returns the value lost to late calls at an engine, in calls per second, if it
// gets the given rate of calls.
func (p *Planner) lossRate(e *engine, rate float64) float64 {
	return p.slowdown.lossRate(rate, p.slotRate(e.desc.Slots))
}

// maxSlotUse is the share of an engine's slots up to which calls hardly wait for one
// another: with a dozen slots, beyond it more than one call in five does (Erlang C).
const maxSlotUse = 0.7

// slotRate returns how many calls per second so many slots can run without making most of
// them wait.
func (p *Planner) slotRate(slots int) float64 {
	return maxSlotUse * float64(max(1, slots)) / p.limits.CallTime.Seconds()
}
