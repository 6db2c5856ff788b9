package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/raft"
)

// TestMissingLeaderIsLoggedAtBoundedRate checks that an election is not logged as a missing leader,
// and that a leader that is missing for long is logged at intervals, with its end.
func TestMissingLeaderIsLoggedAtBoundedRate(t *testing.T) {
	is := is.New(t)
	var w absenceWatch
	reports := func(known bool, from, to time.Duration) (count int) {
		for now := from; now < to; now += 200 * time.Millisecond {
			if _, report := w.observe(known, now); report {
				count++
			}
		}
		return count
	}
	is.Equal(reports(true, 10*time.Second, 11*time.Second), 0)
	is.Equal(reports(false, 11*time.Second, 11*time.Second+800*time.Millisecond), 0) // an election
	is.Equal(reports(true, 12*time.Second, 13*time.Second), 0)
	is.Equal(reports(false, 13*time.Second, 23*time.Second), 5) // after 1 s, then every 2 s
	missing, report := w.observe(true, 23*time.Second)
	is.True(report)
	is.Equal(missing.Round(time.Second), 10*time.Second)
	is.Equal(reports(true, 23*time.Second, 25*time.Second), 0)
}

// TestSpareVoters checks how many more voters a group may lose.
func TestSpareVoters(t *testing.T) {
	is := is.New(t)
	status := raft.Status{Role: raft.Leader, Members: raft.Members{Voters: []raft.MemberID{1, 2, 3, 4, 5}}}
	is.Equal(spareVoters(status), 2)
	status.Unresponsive = []raft.MemberID{4, 5}
	is.Equal(spareVoters(status), 0)
	status.Members.Voters, status.Unresponsive = []raft.MemberID{1, 2, 3}, nil // both were removed
	is.Equal(spareVoters(status), 1)
	status.Role = raft.Follower
	is.Equal(spareVoters(status), 0)
}
