package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/quarantine"
)

func engine(i int) fleet.Incarnation {
	return fleet.Incarnation{ID: fmt.Sprint("e", i), Born: int64(i)}
}

func loss(i int, parts ...string) quarantine.Loss {
	return quarantine.Loss{Engine: engine(i), Service: "s", Traits: parts}
}

func served(d *quarantine.Detector, now time.Duration, ids ...string) {
	for _, id := range ids {
		d.Served([]quarantine.Trait{{Service: "s", ID: id}}, now)
	}
}

func signature(parts ...string) []quarantine.Signature {
	return []quarantine.Signature{{Service: "s", Traits: parts}}
}

// TestCommonPartOfCrashesIsQuarantined replays engines that crash one after the other, each with
// a call that has the bad part and with calls that only happened to be there. The first part
// is common to all calls.
func TestCommonPartOfCrashesIsQuarantined(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		d := quarantine.New(nil, 0)
		now := time.Duration(0)
		var inForce []quarantine.Signature
		crashes := 0
		for ; inForce == nil && crashes < 20; crashes++ {
			now += time.Duration(300+random.IntN(1200)) * time.Millisecond
			d.Lost(loss(crashes, "first", fmt.Sprint("x", random.IntN(5)), "bad"), inForce, now)
			for range random.IntN(4) {
				d.Lost(loss(crashes, "first", fmt.Sprint("x", random.IntN(5)), fmt.Sprint("y", random.IntN(200))), inForce, now)
			}
			served(d, now+50*time.Millisecond, "first", "x0", "x1", "x2", "x3", "x4")
			inForce = d.Decide(inForce, now+280*time.Millisecond)
		}
		is.Equal(inForce, signature("bad"))
		is.Equal(crashes, 3)
	}
}

// TestServedPartIsNotQuarantined has engines crash while a part that calls are served with is on
// them each time.
func TestServedPartIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	for i := range 20 {
		now := time.Duration(i) * time.Second
		d.Lost(loss(i, "common"), nil, now)
		served(d, now+100*time.Millisecond, "common")
		is.Equal(len(d.Decide(nil, now+900*time.Millisecond)), 0)
	}
}

// TestOutageQuarantinesNothing loses all calls on all engines, as when they lose power or are
// restarted in turn.
func TestOutageQuarantinesNothing(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	served(d, 0, "first", "x")
	for i := range 60 {
		now := 6*time.Second + time.Duration(i)*100*time.Millisecond
		d.Lost(loss(i, "first", "x"), nil, now)
		is.Equal(len(d.Decide(nil, now)), 0)
	}
}

// TestRepeatsOnOneEngineAreOneCrash loses several calls with the same part on one engine.
func TestRepeatsOnOneEngineAreOneCrash(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	served(d, 0, "other")
	for i := range 10 {
		d.Lost(loss(7, "first", "x"), nil, time.Duration(i)*100*time.Millisecond)
	}
	is.Equal(len(d.Decide(nil, 2*time.Second)), 0)
}

// TestPartsThatOccurTogetherAreQuarantinedTogether cannot tell two parts apart until calls
// with one of them are served. A call with only one of them is not refused.
func TestPartsThatOccurTogetherAreQuarantinedTogether(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	for i := range 3 {
		d.Lost(loss(i, "first", "bad", "rare"), nil, time.Duration(i)*time.Second)
		served(d, time.Duration(i)*time.Second, "first")
	}
	inForce := d.Decide(nil, 3*time.Second)
	is.Equal(inForce, signature("bad", "rare"))
	is.True(inForce[0].Matches("s", []string{"rare", "first", "bad"}))
	is.True(!inForce[0].Matches("s", []string{"first", "rare"}))
	is.True(!inForce[0].Matches("other service", []string{"bad", "rare"}))
	is.True(slices.Contains(d.Suspects(inForce), quarantine.Trait{Service: "s", ID: "rare"})) // nodes are asked to clear it
	inForce = d.Decide(inForce, 4*time.Second)
	served(d, 5*time.Second, "rare")
	inForce = d.Decide(inForce, 5*time.Second)
	is.Equal(inForce, signature("bad"))
	// A call with the part that was under way ends well: the part is sound.
	served(d, 6*time.Second, "bad")
	is.Equal(len(d.Decide(inForce, 6*time.Second)), 0)
}

// TestCrashOfQuarantinedPartImplicatesNoOther loses calls beside those with the bad part that were
// sent before it was quarantined.
func TestCrashOfQuarantinedPartImplicatesNoOther(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	served(d, 0, "other")
	inForce := signature("bad")
	for i := range 5 {
		d.Lost(loss(i, "victim"), inForce, time.Duration(i)*100*time.Millisecond)
		d.Lost(loss(i, "bad"), inForce, time.Duration(i)*100*time.Millisecond)
		d.Lost(loss(i, "victim"), inForce, time.Duration(i)*100*time.Millisecond)
	}
	is.Equal(d.Decide(inForce, time.Second), inForce)
	is.Equal(len(d.Suspects(nil)), 0)
}

// TestQuarantineEnds releases a part after the time of a quarantine, counted from when the
// detector first saw it.
func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	inForce := signature("bad")
	is.Equal(d.Decide(inForce, time.Hour), inForce)
	last := d.Decide(inForce, time.Hour+quarantine.Duration)
	is.Equal(len(last), 1)
	is.Equal(last[0].Key(), inForce[0].Key())
	is.Equal(len(d.Decide(inForce, time.Hour+quarantine.Duration+time.Second)), 0)
}

// TestSuspectsAreBounded collects evidence against more parts than are tracked, each twice.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	for i := range 4000 {
		d.Lost(loss(i, fmt.Sprint("p", i/2)), nil, time.Duration(i)*time.Millisecond)
	}
	is.Equal(len(d.Suspects(nil)), 128)
	is.True(slices.Contains(d.Suspects(nil), quarantine.Trait{Service: "s", ID: "p1999"}))
}

// TestLostAnswersOfLivingEnginesQuarantineNothing loses answers on engines that go on with other
// calls, as when their answers are lost on the way.
func TestLostAnswersOfLivingEnginesQuarantineNothing(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	for i := range 12 {
		now := time.Duration(i) * 300 * time.Millisecond
		served(d, now, "first")
		d.Lost(loss(i%6, "first", "rare"), nil, now)
		d.Alive(d.Doubted())
		is.Equal(len(d.Decide(nil, now+290*time.Millisecond)), 0)
	}
	is.Equal(len(d.Suspects(nil)), 0)
}

// TestCrashedEnginesAreDoubted lists the engines whose crashes are about to put a part in quarantine.
func TestCrashedEnginesAreDoubted(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	d.Lost(loss(2, "bad"), nil, 0)
	d.Lost(loss(3, "once"), nil, 0)
	is.Equal(len(d.Doubted()), 0) // one lost call is no suspicion
	d.Lost(loss(1, "bad"), nil, time.Second)
	is.Equal(d.Doubted(), []fleet.Incarnation{engine(1), engine(2)})
}
