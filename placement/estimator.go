package placement

import (
	"math/bits"
	"slices"
	"time"

	"github.com/agateslip/agateslip/directory"
)

const (
	// levelWindow is the number of last loads whose median is the present
	// level. The level follows a lasting change after three loads and ignores
	// two outliers.
	levelWindow = 5
	// spreadWindow is the number of loads that the tail is read from.
	spreadWindow = 128
	// priorSpread is the assumed ratio of tail to level before any load.
	priorSpread = 1.5
	// sizeClasses is the number of power-of-two classes of checkpoint size.
	sizeClasses = 64
	// shapeWeight is the weight of one load in the slow average of its size
	// class.
	shapeWeight = 0.05
)

// Estimator predicts load times by tier and checkpoint size. A prediction is
// the product of three parts: the slow average of the size class, the present
// level common to all sizes of the tier, and the spread of single loads about
// the level. A store that slows down moves the level within three loads.
type Estimator struct {
	tiers [3]tierEstimate
}

type tierEstimate struct {
	// pace holds seconds per byte by size class; zero where nothing was seen.
	pace  [sizeClasses]float64
	prior float64
	// ratios are the last loads over their class average, oldest first.
	ratios []float64
	level  float64
	// floor is the least level that loads in progress are compatible with.
	floor float64
	// spread holds ratios over the level around them, as a ring.
	spread []float64
	next   int
	tail   float64
	mean   float64
}

// NewEstimator returns an estimator that, until loads are observed, expects
// the given time for a remote load of the given size.
func NewEstimator(typical time.Duration, size int64) *Estimator {
	e := &Estimator{}
	pace := typical.Seconds() / float64(max(size, 1))
	for i := range e.tiers {
		e.tiers[i] = tierEstimate{prior: pace, level: 1, tail: priorSpread, mean: 1}
	}
	return e
}

// Observe records one finished load.
func (e *Estimator) Observe(tier directory.Tier, size int64, took time.Duration) {
	if took <= 0 || size <= 0 {
		return
	}
	t := &e.tiers[tierIndex(tier)]
	class := sizeClass(size)
	pace := took.Seconds() / float64(size)
	t.observeRatio(pace / t.paceOf(class))
	t.learnPace(class, pace)
}

// Typical returns the expected time of a load at the present level.
func (e *Estimator) Typical(tier directory.Tier, size int64) time.Duration {
	t := &e.tiers[tierIndex(tier)]
	return seconds(t.paceOf(sizeClass(size)) * float64(size) * t.present())
}

// Mean returns the average time of a load at the present level.
func (e *Estimator) Mean(tier directory.Tier, size int64) time.Duration {
	t := &e.tiers[tierIndex(tier)]
	return seconds(t.paceOf(sizeClass(size)) * float64(size) * t.present() * t.mean)
}

// Tail returns the time that hardly any load at the present level exceeds.
func (e *Estimator) Tail(tier directory.Tier, size int64) time.Duration {
	t := &e.tiers[tierIndex(tier)]
	return seconds(t.paceOf(sizeClass(size)) * float64(size) * t.present() * t.tail)
}

// Running tells the estimator the second longest of the tier's loads in
// progress, as a Ratio, or zero if fewer than two run. Unfinished loads beyond
// the tail raise the level at once; a single straggler does not.
func (e *Estimator) Running(tier directory.Tier, second float64) {
	t := &e.tiers[tierIndex(tier)]
	t.floor = 0
	if second > t.level*t.tail {
		t.floor = second
	}
}

// Ratio returns how long a load of the given age took so far, relative to the
// slow average of its size.
func (e *Estimator) Ratio(tier directory.Tier, size int64, age time.Duration) float64 {
	t := &e.tiers[tierIndex(tier)]
	return age.Seconds() / (t.paceOf(sizeClass(size)) * float64(max(size, 1)))
}

func (t *tierEstimate) present() float64 {
	return max(t.level, t.floor)
}

func (t *tierEstimate) paceOf(class int) float64 {
	for distance := range sizeClasses {
		if low := class - distance; low >= 0 && t.pace[low] > 0 {
			return t.pace[low]
		}
		if high := class + distance; high < sizeClasses && t.pace[high] > 0 {
			return t.pace[high]
		}
	}
	return t.prior
}

func (t *tierEstimate) learnPace(class int, pace float64) {
	if t.pace[class] == 0 {
		t.pace[class] = t.paceOf(class)
	}
	t.pace[class] += shapeWeight * (pace - t.pace[class])
}

func (t *tierEstimate) observeRatio(ratio float64) {
	if len(t.ratios) == levelWindow {
		t.ratios = slices.Delete(t.ratios, 0, 1)
	}
	t.ratios = append(t.ratios, ratio)
	sorted := slices.Clone(t.ratios)
	slices.Sort(sorted)
	t.level = sorted[len(sorted)/2]
	if len(t.ratios) == levelWindow {
		t.observeSpread(t.ratios[levelWindow/2] / t.level)
	}
}

func (t *tierEstimate) observeSpread(ratio float64) {
	if len(t.spread) < spreadWindow {
		t.spread = append(t.spread, ratio)
	} else {
		t.spread[t.next] = ratio
		t.next = (t.next + 1) % spreadWindow
	}
	t.tail = max(slices.Max(t.spread), 1)
	sum := 0.0
	for _, s := range t.spread {
		sum += s
	}
	t.mean = sum / float64(len(t.spread))
	if len(t.spread) < levelWindow {
		t.tail = max(t.tail, priorSpread)
	}
}

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

func sizeClass(size int64) int {
	return bits.Len64(uint64(max(size, 1))) - 1
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
