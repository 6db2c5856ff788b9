package controller

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/raft"
)

const (
	// absenceReportAfter is how long something is missing before that is logged, which is
	// longer than an election takes.
	absenceReportAfter = 2 * raftElectionTimeout
	// absenceReportInterval is the interval of log lines while it is missing.
	absenceReportInterval = 2 * time.Second
)

// absenceWatch decides when it is logged that a leader, a membership or voters are missing. The
// zero value is a node that starts.
type absenceWatch struct {
	// since is when the absence began, and reportedAt when it was last logged; zero if there is
	// none or nothing was logged.
	since, reportedAt time.Duration
}

// observe records whether what is watched is there. It returns for how long it has been missing,
// and whether to log that, or its end.
func (w *absenceWatch) observe(present bool, now time.Duration) (missing time.Duration, report bool) {
	if w.since == 0 {
		w.since = now
	}
	missing = now - w.since
	if present {
		report = w.reportedAt != 0
		*w = absenceWatch{since: now}
		return missing, report
	}
	if missing < absenceReportAfter || w.reportedAt != 0 && now-w.reportedAt < absenceReportInterval {
		return missing, false
	}
	w.reportedAt = now
	return missing, true
}

// reportMissingLeader logs, now and then, that no leader can be named, with the voters that
// this node cannot reach, and once that one is known again.
func (c *Controller) reportMissingLeader(status raft.Status, reachable map[raft.MemberID]bool, now time.Duration) {
	link, named := c.addresses.NodeOf(status.Leader)
	missing, report := c.leaderless.observe(named, now)
	if !report {
		return
	}
	if named {
		c.log.Event("leader known", eventlog.Fields{"leaderLink": link, "term": status.Term, "missingMillis": missing.Milliseconds()})
		return
	}
	unreachable := slices.DeleteFunc(slices.Clone(status.Members.Voters), func(id raft.MemberID) bool { return reachable[id] })
	c.log.Event("leader not known", eventlog.Fields{
		"leader": status.Leader, "term": status.Term, "voters": status.Members.Voters, "unreachableVoters": unreachable,
		"missingMillis": missing.Milliseconds(),
	})
}
