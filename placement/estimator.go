package placement

import (
	"math/bits"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

const (
	// levelWindow is the number of most recent loads whose median ratio is the current
	// level. With 5, the level follows a lasting change after three loads and ignores two
	// outliers.
	levelWindow = 5
	// spreadWindow is the number of loads from which the tail and mean ratios are computed.
	spreadWindow = 128
	// priorSpread is the ratio of tail to level that is assumed before enough loads were
	// observed.
	priorSpread = 1.5
	// sizeClasses is the number of power-of-two classes of checkpoint size.
	sizeClasses = 64
	// classWeight is the weight of one load in the moving average of its size class.
	classWeight = 0.05
)

// Estimator predicts load times by tier and checkpoint size. A prediction is the product of
// three factors: the moving average of the size class, the current level, which all sizes of
// the tier share, and the spread of single loads around the level. When a store slows down,
// the level follows within three loads.
type Estimator struct {
	tiers [3]tierEstimate
}

// tierEstimate holds the estimates of one tier. Ratios are load times divided by the average
// of their size class.
type tierEstimate struct {
	// secondsPerByte is the moving average for each size class; zero if no load was
	// observed.
	secondsPerByte [sizeClasses]float64
	// priorSecondsPerByte is used until a load of any size class was observed.
	priorSecondsPerByte float64
	// recentRatios are the ratios of the last levelWindow loads, oldest first.
	recentRatios []float64
	// level is the median of recentRatios.
	level float64
	// minLevel is the lower bound of the level implied by unfinished loads; zero if none.
	minLevel float64
	// spreadRatios is a ring of the last spreadWindow ratios, each divided by the median of
	// the levelWindow loads around it. spreadNext is the index written next, and tailRatio
	// and meanRatio are the maximum (at least 1) and the mean of the ring.
	spreadRatios []float64
	spreadNext   int
	tailRatio    float64
	meanRatio    float64
}

// NewEstimator returns an estimator that expects a load of the given size in bytes to take
// the typical time, on every tier, until loads are observed.
func NewEstimator(typical time.Duration, size int64) *Estimator {
	e := &Estimator{}
	pace := typical.Seconds() / float64(max(size, 1))
	for i := range e.tiers {
		e.tiers[i] = tierEstimate{priorSecondsPerByte: pace, level: 1, tailRatio: priorSpread, meanRatio: 1}
	}
	return e
}

// Observe records the time that one finished load of the given size in bytes took.
func (e *Estimator) Observe(tier directory.Tier, size int64, took time.Duration) {
	if took <= 0 || size <= 0 {
		return
	}
	t := &e.tiers[tierIndex(tier)]
	class := sizeClass(size)
	pace := took.Seconds() / float64(size)
	t.observeRatio(pace / t.classSecondsPerByte(class))
	t.updateClass(class, pace)
}

// Typical returns the median load time at the current level, for a size in bytes.
func (e *Estimator) Typical(tier directory.Tier, size int64) time.Duration {
	t := &e.tiers[tierIndex(tier)]
	return seconds(t.classSecondsPerByte(sizeClass(size)) * float64(size) * t.currentLevel())
}

// Mean returns the mean load time at the current level, for a size in bytes.
func (e *Estimator) Mean(tier directory.Tier, size int64) time.Duration {
	t := &e.tiers[tierIndex(tier)]
	return seconds(t.classSecondsPerByte(sizeClass(size)) * float64(size) * t.currentLevel() * t.meanRatio)
}

// Tail returns the load time that few loads at the current level exceed, for a size in bytes.
func (e *Estimator) Tail(tier directory.Tier, size int64) time.Duration {
	t := &e.tiers[tierIndex(tier)]
	return seconds(t.classSecondsPerByte(sizeClass(size)) * float64(size) * t.currentLevel() * t.tailRatio)
}

// ObserveRunning records the second highest ElapsedRatio of the tier's loads in progress, or
// zero if fewer than two are in progress. Two unfinished loads beyond the tail raise the
// level at once; a single straggler does not.
func (e *Estimator) ObserveRunning(tier directory.Tier, secondHighest float64) {
	t := &e.tiers[tierIndex(tier)]
	t.minLevel = 0
	if secondHighest > t.level*t.tailRatio {
		t.minLevel = secondHighest
	}
}

// ElapsedRatio returns the age of a load in progress divided by the average load time of its
// size class.
func (e *Estimator) ElapsedRatio(tier directory.Tier, size int64, age time.Duration) float64 {
	t := &e.tiers[tierIndex(tier)]
	return age.Seconds() / (t.classSecondsPerByte(sizeClass(size)) * float64(max(size, 1)))
}

// currentLevel returns the level, raised to minLevel.
func (t *tierEstimate) currentLevel() float64 {
	return max(t.level, t.minLevel)
}

// classSecondsPerByte returns the average of the class, or of the nearest observed class, or
// the prior if no load was observed.
func (t *tierEstimate) classSecondsPerByte(class int) float64 {
	for distance := range sizeClasses {
		if low := class - distance; low >= 0 && t.secondsPerByte[low] > 0 {
			return t.secondsPerByte[low]
		}
		if high := class + distance; high < sizeClasses && t.secondsPerByte[high] > 0 {
			return t.secondsPerByte[high]
		}
	}
	return t.priorSecondsPerByte
}

// updateClass adds one load to the moving average of its size class.
func (t *tierEstimate) updateClass(class int, pace float64) {
	if t.secondsPerByte[class] == 0 {
		t.secondsPerByte[class] = t.classSecondsPerByte(class)
	}
	t.secondsPerByte[class] += classWeight * (pace - t.secondsPerByte[class])
}

// observeRatio updates the level, and passes the middle load of a full window on to the
// spread.
func (t *tierEstimate) observeRatio(ratio float64) {
	if len(t.recentRatios) == levelWindow {
		t.recentRatios = slices.Delete(t.recentRatios, 0, 1)
	}
	t.recentRatios = append(t.recentRatios, ratio)
	sorted := slices.Clone(t.recentRatios)
	slices.Sort(sorted)
	t.level = sorted[len(sorted)/2]
	if len(t.recentRatios) == levelWindow {
		t.observeSpread(t.recentRatios[levelWindow/2] / t.level)
	}
}

// observeSpread adds a ratio to the spread ring and recomputes the tail and mean ratios.
func (t *tierEstimate) observeSpread(ratio float64) {
	if len(t.spreadRatios) < spreadWindow {
		t.spreadRatios = append(t.spreadRatios, ratio)
	} else {
		t.spreadRatios[t.spreadNext] = ratio
		t.spreadNext = (t.spreadNext + 1) % spreadWindow
	}
	t.tailRatio = max(slices.Max(t.spreadRatios), 1)
	sum := 0.0
	for _, s := range t.spreadRatios {
		sum += s
	}
	t.meanRatio = sum / float64(len(t.spreadRatios))
	if len(t.spreadRatios) < levelWindow {
		t.tailRatio = max(t.tailRatio, priorSpread)
	}
}

// tierIndex returns 0 for main memory, 1 for disk and 2 for the remote store. A lower index
// is nearer.
func tierIndex(tier directory.Tier) int {
	switch tier {
	case directory.TierMemory:
		return 0
	case directory.TierDisk:
		return 1
	default:
		return 2
	}
}

// sizeClass returns the base-2 logarithm of a size in bytes, rounded down.
func sizeClass(size int64) int {
	return bits.Len64(uint64(max(size, 1))) - 1
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
