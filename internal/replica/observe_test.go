package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/agateslip/agateslip/raft"
)

// TestLeaderlessMemberLogsItsState checks that lasting silence of leaders and slow flushes are logged with
// what tells their causes apart, at a bounded rate.
func TestLeaderlessMemberLogsItsState(t *testing.T) {
	is := is.New(t)
	log, lines := logtest.NewNullLogger()
	o := observer{log: log, slowFlush: 100 * time.Millisecond, slowFlushLogged: -slowFlushLogInterval}
	s := raft.Status{Term: 4, Durable: 7, Members: raft.Members{Voters: []raft.MemberID{1, 2, 3}}}
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		o.observe(s, time.Second, now)
	}
	is.Equal(len(lines.Entries), 4)
	is.Equal(lines.LastEntry().Data["durable"], uint64(7))
	is.Equal(lines.LastEntry().Data["flushingMillis"], int64(1000))
	s.Leader = 2
	o.observe(s, 0, time.Hour)
	s.Leader = 0
	o.observe(s, 0, time.Hour+time.Second)
	is.Equal(len(lines.Entries), 4) // a change of leader is no lasting silence
	lines.Reset()
	for now := time.Duration(0); now < 5*time.Second; now += 200 * time.Millisecond {
		o.flushed(50*time.Millisecond, now)
		o.flushed(now/10, now)
	}
	is.Equal(len(lines.Entries), 4)
	is.Equal(lines.LastEntry().Data["flushes"], 5)
}
