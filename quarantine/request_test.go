package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/quarantine"
)

var deadly = quarantine.RequestID("deadly")

func request(i int) string { return quarantine.RequestID(fmt.Sprint(i)) }

// TestRequestThatCrashesAllUpstreamsIsQuarantined has a request crash all upstreams of a service, so that
// it serves nothing meanwhile, beside calls that are lost once each.
func TestRequestThatCrashesAllUpstreamsIsQuarantined(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	for i := range 3 {
		now := time.Duration(i) * 100 * time.Millisecond
		is.Equal(len(d.Decide(nil, now)), 0)
		for n := range 5 {
			d.Lost(loss(i, request(10*i+n)), nil, now)
		}
		d.Lost(loss(i, deadly), nil, now)
	}
	is.Equal(len(d.Decide(nil, 300*time.Millisecond)), 0) // the nodes may still clear it
	is.Equal(d.Decide(nil, time.Second), signature(deadly))
}

// TestServedRequestIsNotQuarantined has upstreams crash while a request that is served in between is on
// them each time.
func TestServedRequestIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	for i := range 20 {
		now := time.Duration(i) * 3 * time.Second
		d.Lost(loss(i, deadly), nil, now)
		if i%2 == 1 {
			served(d, now+time.Second, deadly)
		}
		is.Equal(len(d.Decide(nil, now+1500*time.Millisecond)), 0)
	}
}

// TestRequestLostBesideDeadlyOneDoesNotHideIt has a sound request run on each upstream that the deadly
// one crashes, and its losses become known first.
func TestRequestLostBesideDeadlyOneDoesNotHideIt(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	for i := range 3 {
		d.Lost(loss(i, request(1)), nil, 100*time.Millisecond)
	}
	for i := range 2 {
		d.Lost(loss(i, deadly), nil, 100*time.Millisecond)
	}
	inForce := d.Decide(nil, time.Second)
	is.Equal(inForce, signature(request(1)))
	d.Lost(loss(2, deadly), inForce, time.Second) // late: from a node that was busy
	inForce = d.Decide(inForce, 2*time.Second)
	is.Equal(len(inForce), 2)
	served(d, 2*time.Second, request(1))
	is.Equal(d.Decide(inForce, 2*time.Second), signature(deadly))
}

// TestRepeatsOfOneRequestDoNotImplicateItsPrompt repeats one request whose prompt has a rare part. Other
// calls with that part are not refused.
func TestRepeatsOfOneRequestDoNotImplicateItsPrompt(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	for i := range 4 {
		served(d, 100*time.Millisecond, "first")
		d.Lost(loss(i, deadly, "first", "rare"), nil, 100*time.Millisecond)
	}
	inForce := d.Decide(nil, time.Second)
	is.Equal(inForce, signature(deadly))
	served(d, 2*time.Second, "first")
	is.Equal(len(d.Decide(inForce, 2*time.Second)), 1)
	is.True(!inForce[0].Matches("s", []string{request(2), "first", "rare"}))
}

// TestTrialEndsFalseQuarantine lets one call of a quarantined request be sent, by one node only. Its
// answer ends the quarantine.
func TestTrialEndsFalseQuarantine(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	inForce := d.Decide(signature(deadly), 0)
	is.Equal(len(d.OpenTrials(inForce)), 0)
	is.True(!d.TakeTrial(inForce[0], inForce, time.Second)) // too early
	wanted := d.Decide(inForce, 2*time.Second)
	is.Equal(wanted[0].Trials, 1)
	is.Equal(len(d.OpenTrials(inForce)), 0) // not before it is in force
	is.Equal(len(d.OpenTrials(wanted)), 1)
	is.True(d.TakeTrial(inForce[0], wanted, 3*time.Second))
	is.True(!d.TakeTrial(inForce[0], wanted, 3*time.Second))
	is.Equal(len(d.OpenTrials(wanted)), 0)
	served(d, 4*time.Second, deadly)
	is.Equal(len(d.Decide(wanted, 4*time.Second)), 0)
}

// TestDeadlyRequestGetsThreeTrialsAtMost goes through all trials of a request while leaders are replaced,
// each of which goes on with what is in force.
func TestDeadlyRequestGetsThreeTrialsAtMost(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		d := quarantine.New(nil, 0)
		inForce := signature(deadly)
		sent := 0
		for now := time.Duration(0); now < 50*time.Minute; now += 500 * time.Millisecond {
			if random.IntN(500) == 0 {
				d = quarantine.New(nil, now)
			}
			inForce = d.Decide(inForce, now)
			is.Equal(len(inForce), 1)
			if d.TakeTrial(inForce[0], inForce, now) {
				sent++
				d.Lost(loss(100+sent, deadly), inForce, now)
			}
		}
		is.True(sent <= 3)
	}
}

// TestEvidenceOutlastsLeader replaces the leader after each crash. Of what only the leader before has
// seen, a single crash is lost.
func TestEvidenceOutlastsLeader(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	d.Lost(loss(0, deadly, "p"), nil, 0)
	d.Lost(loss(1, deadly, "p", "q"), nil, 0)
	evidence := d.Evidence()
	is.Equal(evidence, []quarantine.Evidence{
		{Trait: quarantine.Trait{Service: "s", ID: "p"}, Crashes: []fleet.Incarnation{engine(0), engine(1)}, Companions: []string{"p"}},
		{Trait: quarantine.Trait{Service: "s", ID: deadly}, Crashes: []fleet.Incarnation{engine(0), engine(1)}, Companions: []string{"p"}},
	})
	next := quarantine.New(evidence, time.Second)
	is.True(quarantine.EqualEvidence(next.Evidence(), evidence))
	next.Lost(loss(2, deadly), nil, time.Second)
	is.Equal(next.Decide(nil, 2*time.Second), signature(deadly))
}

// TestFloodOfRequestsKeepsEvidence loses ever other requests, as a caller without end of them could
// provoke, between the crashes of a deadly one. What is kept stays bounded.
func TestFloodOfRequestsKeepsEvidence(t *testing.T) {
	is := is.New(t)
	d := quarantine.New(nil, 0)
	flood := 0
	for i := range 3 {
		now := time.Duration(i) * time.Second
		d.Lost(loss(i, deadly), nil, now)
		if i == 0 {
			d.Lost(loss(1000, deadly), nil, now)
		}
		for range 5000 {
			flood++
			d.Lost(loss(10_000+flood, request(flood)), nil, now)
		}
	}
	is.Equal(d.Decide(nil, 4*time.Second), signature(deadly))
	inForce := signature(deadly)
	inForce[0].Trials = 1 // confirmed by a trial
	for i := range 600 {
		d.Lost(loss(20_000+i, request(1_000_000+i/3)), inForce, 5*time.Second)
	}
	inForce = d.Decide(inForce, 6*time.Second)
	is.Equal(len(inForce), 128)
	is.Equal(inForce[0].Traits, []string{deadly})
	is.True(len(d.Suspects(inForce)) <= 256 && len(d.Doubted()) <= 128 && len(d.Evidence()) <= 128)
}
