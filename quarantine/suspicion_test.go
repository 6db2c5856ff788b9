package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/quarantine"
)

// TestSuspicions replays what can become of a call whose attempt a node ended while its upstream was silent: the
// upstream goes on after a second, it ends, or nothing is known of it.
func TestSuspicions(t *testing.T) {
	const sent = 10 * time.Second
	for name, c := range map[string]struct {
		heardAt, endedAt time.Duration
		wantProbe        bool
		wantLost         int
	}{
		"ends":                       {0, sent + 4*time.Second, true, 1},
		"goes on at once":            {sent + 300*time.Millisecond, sent + 4*time.Second, false, 0},
		"goes on after a second":     {sent + 1300*time.Millisecond, sent + 4*time.Second, true, 0},
		"ends much later":            {0, sent + 20*time.Second, true, 0},
		"was heard before the call":  {sent - time.Millisecond, sent + 4*time.Second, true, 1},
		"does not end":               {0, 0, true, 0},
		"ends right after the call":  {0, sent + time.Millisecond, false, 1},
		"ends right after it speaks": {sent + time.Second, sent + 1001*time.Millisecond, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s quarantine.Suspicions
			s.Add(loss(1, "a"), "addr-1", sent)
			s.Add(loss(2, "a"), "addr-2", sent)
			probed, lost := 0, 0
			for now := sent; now < sent+25*time.Second; now += 250 * time.Millisecond {
				lastRead := func(string) time.Duration {
					if c.heardAt <= now {
						return c.heardAt
					}
					return 0
				}
				for _, u := range s.Review(lastRead, now) {
					if u.Incarnation == engine(1) {
						probed++
					}
				}
				if c.endedAt > 0 && c.endedAt <= now && now < c.endedAt+250*time.Millisecond {
					losses := s.Ended(engine(1), lastRead, now)
					lost += len(losses)
					for _, l := range losses {
						is.True(l.Late && l.Engine == engine(1))
					}
				}
			}
			is.Equal(lost, c.wantLost)
			if c.endedAt == 0 || c.endedAt > sent+1500*time.Millisecond {
				is.Equal(probed == 1, c.wantProbe)
			}
		})
	}
}

// TestSuspicionsAreBounded has a node without a word from its upstreams end ever more attempts.
func TestSuspicionsAreBounded(t *testing.T) {
	is := is.New(t)
	var s quarantine.Suspicions
	never := func(string) time.Duration { return 0 }
	for i := range 10_000 {
		s.Add(loss(i, "a"), "addr", time.Second)
	}
	is.True(len(s.Review(never, 3*time.Second)) <= 256)
	is.Equal(len(s.Review(never, 20*time.Second)), 0)
	is.Equal(len(s.Ended(engine(9999), never, 20*time.Second)), 0)
}

// TestLateEvidenceTakesPlaceOfFirstTrial guards against more than three calls after the crashes are to be known: some
// were sent before they were, where nodes noticed the ends of the upstreams late.
func TestLateEvidenceTakesPlaceOfFirstTrial(t *testing.T) {
	is := is.New(t)
	for _, late := range []bool{false, true} {
		d := quarantine.New(nil, 0)
		for i := range 3 {
			l := loss(i, deadly)
			l.Late = late && i == 1
			d.Lost(l, nil, time.Second)
		}
		inForce := d.Decide(nil, 2*time.Second)
		is.Equal(len(inForce), 1)
		trials := 0
		for now := 2 * time.Second; now < 400*time.Second; now += 100 * time.Millisecond {
			inForce = d.Decide(inForce, now)
			for _, s := range d.OpenTrials(inForce) {
				is.True(d.TakeTrial(s, inForce, now))
				trials++
			}
		}
		is.Equal(trials, map[bool]int{false: 3, true: 2}[late])
	}
}
