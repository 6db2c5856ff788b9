package admission_test

import (
	"fmt"
	"time"

	"github.com/agateslip/agateslip/admission"
)

// Example connects one node with the allocator of the leader. The first request of a
// customer waits for the lease that answers the report of the node.
func Example() {
	limits := admission.Limits{Customer: "acme", Concurrency: 2, Rate: 10, Burst: 5, Queue: 8}
	now := time.Minute

	allocator := admission.NewAllocator(admission.AllocatorConfig{Term: 1})
	allocator.SetLimits(limits, 0)

	node := admission.NewThrottler(admission.Config{Node: "muc-1"})
	node.SetTerm(1)
	node.SetLimits(limits)
	ready := admission.TargetState{Readiness: admission.Ready, Slots: 8}
	node.SetTarget("notes", ready, now)

	request := admission.Request{ID: 1, Customer: "acme", Target: "notes", Deadline: now + time.Second}
	fmt.Println(node.Arrive(request, now).Verdict)
	if node.ReportDue(now) {
		node.Accept(allocator.Report(node.Report(now), now), now)
	}
	for _, decision := range node.Poll(now) {
		fmt.Println(decision.ID, decision.Verdict)
	}
	node.Release(1, now+100*time.Millisecond)
	// Output:
	// queued
	// 1 run
}
