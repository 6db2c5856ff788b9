package placement

import (
	"math"
	"time"
)

// halving returns the weight that is left of an observation of the given age.
func halving(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
