package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFirstRequestRunsAfterOneReport(t *testing.T) {
	is := is.New(t)
	limits := Limits{Customer: "a", Concurrency: 1, Rate: 1, Burst: 1, Queue: 1, Wait: time.Second}
	al := NewAllocator(AllocatorConfig{Term: 1})
	al.SetLimits(limits, 0)
	now := 10 * time.Second
	for _, node := range []string{"n1", "n2"} {
		th := NewThrottler(Config{Node: node})
		th.SetTerm(1)
		th.SetLimits(limits)
		th.SetTarget("m", TargetState{Readiness: Ready, Slots: 8}, now)
		d := th.Arrive(Request{ID: 1, Customer: "a", Target: "m", Deadline: now + time.Second}, now)
		is.Equal(d.Verdict, Queued)
		is.True(th.ReportDue(now))
		is.True(th.Accept(al.Report(th.Report(now), now), now))
		is.Equal(th.Poll(now), []Decision{{ID: 1, Verdict: Run}})
		is.True(th.Release(1, now))
		now += 10 * time.Second
	}
}
