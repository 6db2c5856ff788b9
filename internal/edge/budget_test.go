package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/config"
)

// TestRetryBudgetHoldsAcrossNodes simulates an upstream that loses every call, so that
// each call asks for a retry. The retries of all nodes must stay within the deployment's
// budget in every window.
func TestRetryBudgetHoldsAcrossNodes(t *testing.T) {
	is := is.New(t)
	c := config.RetryBudget{Ratio: 0.2, Extra: 58, Window: contract.Duration(10 * time.Second)}
	const (
		nodes = 9
		// perNode is the number of calls per second at each node.
		perNode = 20
		seconds = 60
	)
	budgets := make([]retryBudget, nodes)
	var sends []time.Duration
	step := time.Second / perNode
	for now := time.Duration(0); now < seconds*time.Second; now += step {
		for i := range budgets {
			budgets[i].recordCall(&c, now)
			if budgets[i].trySpend(&c, nodes, now) {
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
	// At least half of the ratio is used.
	is.True(float64(len(sends)) > c.Ratio/2*nodes*perNode*seconds)
}

// TestRetryBudgetOfIdleNode checks that a node without calls may spend its share of the
// extra retries.
func TestRetryBudgetOfIdleNode(t *testing.T) {
	is := is.New(t)
	c := config.RetryBudget{Ratio: 0.2, Extra: 58, Window: contract.Duration(10 * time.Second)}
	var b retryBudget
	spent := 0
	for range 100 {
		if b.trySpend(&c, 9, time.Minute) {
			spent++
		}
	}
	is.True(spent >= 1 && float64(spent) <= c.Extra/9)
}

// TestRetryBudgetAllowsBurst simulates an upstream that rejects several calls of one node
// at once, after a steady flow of calls. The node sees a small part of the traffic, and
// must still have the retries that its own calls allow.
func TestRetryBudgetAllowsBurst(t *testing.T) {
	is := is.New(t)
	c := config.RetryBudget{Ratio: 0.2, Extra: 182, Window: contract.Duration(10 * time.Second)}
	const nodes, perSecond = 71, 5
	var b retryBudget
	now := time.Duration(0)
	for range perSecond * 30 {
		b.recordCall(&c, now)
		now += time.Second / perSecond
	}
	burst := 0
	for b.trySpend(&c, nodes, now) {
		burst++
	}
	is.True(burst >= 6)
	is.True(float64(burst) <= c.Ratio*perSecond*10+c.Extra/nodes)
	is.True(!b.trySpend(&c, nodes, now+9*time.Second))
	is.True(b.trySpend(&c, nodes, now+30*time.Second)) // from the extra retries, which need no calls
}

// TestRetryCountsForWholeWindow spends the budget late in a slot and asks again just
// before the window ends. If the whole slot were dropped too early, another retry
// would be allowed.
func TestRetryCountsForWholeWindow(t *testing.T) {
	is := is.New(t)
	c := config.RetryBudget{Ratio: 0.2, Extra: 58, Window: contract.Duration(10 * time.Second)}
	const nodes = 9
	var b retryBudget
	start := 30*time.Second + 900*time.Millisecond
	for b.trySpend(&c, nodes, start) {
	}
	is.True(!b.trySpend(&c, nodes, start+9900*time.Millisecond))
	is.True(b.trySpend(&c, nodes, start+11*time.Second))
}
