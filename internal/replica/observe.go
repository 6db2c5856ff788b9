package replica

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/raft"
)

const (
	// slowFlushLogInterval is the shortest time between two log lines about slow flushes.
	slowFlushLogInterval = time.Second
	// leaderlessLogInterval is the time without a leader after which a member logs its
	// consensus state, and the interval at which it repeats that.
	leaderlessLogInterval = 2 * time.Second
)

// observer logs what delays or prevents decisions of the group, at a bounded rate. Only the owner
// goroutine uses it.
type observer struct {
	log logrus.FieldLogger
	// slowFlush is from when on a flush counts as slow.
	slowFlush time.Duration
	// slowFlushes counts the slow flushes that are not logged yet, and slowest is the longest of
	// them.
	slowFlushes     int
	slowest         time.Duration
	slowFlushLogged time.Duration
	// leaderlessSince is when the member last knew a leader, or last logged that it knew none.
	leaderlessSince time.Duration
}

// flushed records how long a write to the store took.
func (o *observer) flushed(took, now time.Duration) {
	if took < o.slowFlush {
		return
	}
	o.slowFlushes++
	o.slowest = max(o.slowest, took)
	if now-o.slowFlushLogged < slowFlushLogInterval {
		return
	}
	o.log.WithField("slowest", o.slowest.Milliseconds()).WithField("flushes", o.slowFlushes).Info("slow flushes")
	o.slowFlushes, o.slowest, o.slowFlushLogged = 0, 0, now
}

// observe records a member's status and how long its current flush has taken; zero if there is none.
func (o *observer) observe(s raft.Status, flushing, now time.Duration) {
	if s.Leader != 0 {
		o.leaderlessSince = now
		return
	}
	if now-o.leaderlessSince < leaderlessLogInterval {
		return
	}
	o.leaderlessSince = now
	o.log.WithFields(StatusFields(s)).WithField("flushingMillis", flushing.Milliseconds()).Info("no leader")
}

// StatusFields returns the log fields that show what a member believes of the group and holds of its
// log.
func StatusFields(s raft.Status) logrus.Fields {
	fields := logrus.Fields{
		"role": s.Role.String(), "term": s.Term, "leader": s.Leader, "voters": s.Members.Voters, "learners": s.Members.Learners,
		"commit": s.Commit, "applied": s.Applied, "last": s.LastIndex, "durable": s.Durable,
	}
	if r := s.Refused; r.Candidate != 0 {
		fields["refused"], fields["refusedTerm"], fields["refusedReason"] = r.Candidate, r.Term, string(r.Reason)
	}
	return fields
}
