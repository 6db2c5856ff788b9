package placement

import (
	"math"
	"time"
)

// decayWeight returns the weight of an observation of the given age, which halves with every
// halfLife.
func decayWeight(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
