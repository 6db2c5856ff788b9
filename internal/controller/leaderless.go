package controller

import (
	"slices"
	"time"

	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/raft"
)

const (
	// leaderlessReportAfter is how long a leader is unknown before that is logged, which is
	// longer than an election takes.
	leaderlessReportAfter = 2 * raftElectionTimeout
	// leaderlessReportInterval is the interval of log lines while no leader is known.
	leaderlessReportInterval = 2 * time.Second
)

// leaderlessWatch decides when a missing leader is logged. The zero value is a node that
// starts.
type leaderlessWatch struct {
	// since is when the leader became unknown, and reportedAt when that was last logged; zero
	// if a leader is known or nothing was logged.
	since, reportedAt time.Duration
}

// observe records whether a leader is known. It returns for how long none has been, and
// whether to log that, or its end.
func (w *leaderlessWatch) observe(known bool, now time.Duration) (missing time.Duration, report bool) {
	if w.since == 0 {
		w.since = now
	}
	missing = now - w.since
	if known {
		report = w.reportedAt != 0
		*w = leaderlessWatch{since: now}
		return missing, report
	}
	if missing < leaderlessReportAfter || w.reportedAt != 0 && now-w.reportedAt < leaderlessReportInterval {
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
