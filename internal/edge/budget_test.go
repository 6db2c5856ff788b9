package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/config"
)

// TestAllNodesTogetherStayWithinTheBudget replays an upstream that loses every call
// while callers repeat: second sends of all nodes stay within the deployment's
// bound in every window.
func TestAllNodesTogetherStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	c := config.RetryBudget{Ratio: 0.2, Extra: 58, Window: contract.Duration(10 * time.Second)}
	const (
		nodes = 9
		// perNode is the calls of each node a second.
		perNode = 20
		seconds = 60
	)
	budgets := make([]retryBudget, nodes)
	var sends []time.Duration
	step := time.Second / perNode
	for now := time.Duration(0); now < seconds*time.Second; now += step {
		for i := range budgets {
			budgets[i].earn(&c, now)
			if budgets[i].spend(&c, nodes, now) {
				sends = append(sends, now)
			}
		}
	}
	window := time.Duration(c.Window)
	allowed := c.Ratio*nodes*perNode*window.Seconds() + c.Extra
	for i, first := range sends {
		count := 0
		for _, at := range sends[i:] {
			if at-first < window {
				count++
			}
		}
		is.True(float64(count) <= allowed)
	}
	// What the calls earn is used: no less than half of the ratio.
	is.True(float64(len(sends)) > c.Ratio/2*nodes*perNode*seconds)
}

func TestAnIdleNodeMaySendAgainALittle(t *testing.T) {
	is := is.New(t)
	c := config.RetryBudget{Ratio: 0.2, Extra: 58, Window: contract.Duration(10 * time.Second)}
	var b retryBudget
	spent := 0
	for range 100 {
		if b.spend(&c, 9, time.Minute) {
			spent++
		}
	}
	is.True(spent >= 1 && float64(spent) <= c.Extra/9)
}

// TestRejectionsThatComeTogetherMayBeSentAgain replays an upstream that turns away
// several calls of one node at once, after calls that came evenly: what these have
// earned is there for them, on a node that sees a small part of the traffic.
func TestRejectionsThatComeTogetherMayBeSentAgain(t *testing.T) {
	is := is.New(t)
	c := config.RetryBudget{Ratio: 0.2, Extra: 182, Window: contract.Duration(10 * time.Second)}
	const nodes, perSecond = 71, 5
	var b retryBudget
	now := time.Duration(0)
	for range perSecond * 30 {
		b.earn(&c, now)
		now += time.Second / perSecond
	}
	together := 0
	for b.spend(&c, nodes, now) {
		together++
	}
	is.True(together >= 6)
	is.True(float64(together) <= c.Ratio*perSecond*10+c.Extra/nodes)
	is.True(!b.spend(&c, nodes, now+9*time.Second))
	is.True(b.spend(&c, nodes, now+30*time.Second)) // of the part that no calls must earn
}

// TestASecondSendCountsForTheWholeWindow spends the budget late in one part of the
// window and asks again just before the window is over.
func TestASecondSendCountsForTheWholeWindow(t *testing.T) {
	is := is.New(t)
	c := config.RetryBudget{Ratio: 0.2, Extra: 58, Window: contract.Duration(10 * time.Second)}
	const nodes = 9
	var b retryBudget
	start := 30*time.Second + 900*time.Millisecond
	for b.spend(&c, nodes, start) {
	}
	is.True(!b.spend(&c, nodes, start+9900*time.Millisecond))
	is.True(b.spend(&c, nodes, start+11*time.Second))
}
