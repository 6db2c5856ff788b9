package residency

import "math"

const (
	// slowdownGuess is the share of streams that pause too long at one call a
	// second, before any stream was seen: a tenth at three calls a second.
	slowdownGuess = 0.011
	// slowdownWeight is how many streams at three calls a second the guess counts
	// for.
	slowdownWeight = 60
	// slowdownMemory is the number of streams after which older ones count for
	// half.
	slowdownMemory = 1500
)

// pace predicts how calls at one engine slow each other down: the share of
// streams that pause too long grows with the square of the calls a second, because
// each prompt that is read holds up all streams, and there are as many to hold up.
type pace struct {
	// paused is the streams that paused, expected the squares of the calls a second
	// of all streams.
	paused, expected float64
}

func newPace() pace {
	const atThree = 9
	return pace{paused: slowdownGuess * atThree * slowdownWeight, expected: atThree * slowdownWeight}
}

// learn takes streams that finished at an engine with a rate of calls.
func (p *pace) learn(rate, streams, paused float64) {
	if streams == 0 {
		return
	}
	fade := 1 - streams/(streams+slowdownMemory)
	p.paused = p.paused*fade + paused
	p.expected = p.expected*fade + streams*rate*rate
}

// lost is how many calls a second are late at an engine with a rate of calls. An
// engine never has more of them on time than at its best rate, however many come.
func (p *pace) lost(rate float64) float64 {
	if p.expected <= 0 || p.paused <= 0 || rate <= 0 {
		return 0
	}
	slowdown := p.paused / p.expected
	best := math.Sqrt(1 / (3 * slowdown)) // where rate - slowdown*rate^3 is greatest
	up := min(rate, best)
	return (slowdown*up*up*up + rate - up) * (1 - lateWorth)
}
