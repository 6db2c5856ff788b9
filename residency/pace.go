package residency

import "math"

const (
	// priorSlowdown is the share of streams that pause too long at one call a
	// second, before any stream was seen: a tenth at three calls a second.
	priorSlowdown = 0.011
	// priorStreams is how many streams at three calls a second the guess counts
	// for.
	priorStreams = 60
	// slowdownWindow is the number of streams after which older ones count for
	// half.
	slowdownWindow = 1500
)

// slowdownModel predicts how calls at one engine slow each other down: the share of
// streams that pause too long grows with the square of the calls a second, because
// each prompt that is read holds up all streams, and there are as many to hold up.
type slowdownModel struct {
	// paused is the streams that paused, squaredRates the squares of the calls a second
	// of all streams.
	paused, squaredRates float64
}

func newSlowdownModel() slowdownModel {
	const atThree = 9
	return slowdownModel{paused: priorSlowdown * atThree * priorStreams, squaredRates: atThree * priorStreams}
}

// observe takes streams that finished at an engine with a rate of calls.
func (p *slowdownModel) observe(rate, streams, paused float64) {
	if streams == 0 {
		return
	}
	decay := 1 - streams/(streams+slowdownWindow)
	p.paused = p.paused*decay + paused
	p.squaredRates = p.squaredRates*decay + streams*rate*rate
}

// lossRate is how many calls a second are late at an engine with a rate of calls. An
// engine never has more of them on time than at its best rate, however many come.
func (p *slowdownModel) lossRate(rate float64) float64 {
	if p.squaredRates <= 0 || p.paused <= 0 || rate <= 0 {
		return 0
	}
	slowdown := p.paused / p.squaredRates
	bestRate := math.Sqrt(1 / (3 * slowdown)) // where rate - slowdown*rate^3 is greatest
	effectiveRate := min(rate, bestRate)
	return (slowdown*effectiveRate*effectiveRate*effectiveRate + rate - effectiveRate) * (1 - lateCallValue)
}
