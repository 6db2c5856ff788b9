package residency_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/residency"
	"github.com/agateslip/agateslip/routes"
)

// TestOddReportDoesNotOutlastSoundOnes guards against one report with too many accepted orders, as of another engine
// or writer: all later ones were taken for older, and the engine got no order any more.
func TestOddReportDoesNotOutlastSoundOnes(t *testing.T) {
	is := is.New(t)
	p := residency.New(residency.DefaultLimits())
	p.SetServices([]routes.Service{{Name: "llm", Engine: &routes.Engine{
		Slots: 4, WeightsMB: 25, StoreLoadsPerSecond: 4, Models: []routes.Model{{Name: "m1", SizeMB: 10, StoreLoad: second}},
	}}})
	u := fleet.Upstream{ID: "u", Service: "llm", Addr: "192.0.2.1:80", Slots: 4}
	p.SetUpstream(u, 0)
	odd := true
	for now := time.Duration(0); now < 10*second; now += tick {
		p.SetDemand("n", residency.NodeReport{Waiting: []dispatch.Demand{{Service: "llm", Model: "m1", Waiting: 1, Slack: second, Patience: 5 * second}}}, now)
		for _, step := range p.Plan(now) {
			switch {
			case step.Report && odd:
				odd = false
				p.Reported("u", 0, &residency.Report{Accepted: math.MaxUint64}, now)
			case step.Report:
				p.Reported("u", 0, &residency.Report{Accepted: 3}, now)
			case step.Order.Accepted == 3:
				return
			default:
				p.Answered("u", 0, residency.Refused, now) // the precondition does not hold
			}
		}
	}
	is.Fail() // no order with the right number
}
