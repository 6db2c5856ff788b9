package controller

import (
	"time"

	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/raft"
)

// joinAttempts collects, for the log, what other nodes answered to requests for membership.
type joinAttempts struct {
	watch absenceWatch
	// answers holds the latest answer of each node that was asked since the last report.
	answers map[string]string
}

// record records the outcome of a request.
func (a *joinAttempts) record(asked string, err error) {
	answer := "joined"
	if err != nil {
		answer = err.Error()
	}
	a.answers[asked] = answer
}

// reportJoinAttempts logs, now and then, that this node is no member of the group, whom it asked and what each
// answered, and once that it is one.
func (c *Controller) reportJoinAttempts(a *joinAttempts, status raft.Status, now time.Duration) {
	member := c.isMember(status)
	missing, report := a.watch.observe(member, now)
	if !report {
		if member {
			clear(a.answers)
		}
		return
	}
	message := "not a member"
	if member {
		message = "member again"
	}
	c.log.Event(message, eventlog.Fields{
		"missingMillis": missing.Milliseconds(), "answers": a.answers, "leaderHint": c.addresses.hintedLeader(), "lastIndex": status.LastIndex,
	})
	a.answers = map[string]string{}
}
