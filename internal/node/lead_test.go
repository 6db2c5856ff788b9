package node

import (
	"testing"
	"time"

	"github.com/agateslip/agateslip/ledger"
	"github.com/matryer/is"
)

// TestLostOwnersAfterRestart checks that only the ended process counts as lost if a
// restarted node claims a call before the leader has received its first report.
func TestLostOwnersAfterRestart(t *testing.T) {
	is := is.New(t)
	ended, living := ledger.Owner{Node: "n", Boot: "1"}, ledger.Owner{Node: "n", Boot: "2"}
	owners := []ledger.Owner{ended, living}
	ld := newLeaderState(nil)
	ld.beginTerm(1, 0)
	hear := func(boot string, at time.Duration) {
		ld.acceptReport(syncRequest{Node: "n", Boot: boot}, at)
	}
	hear("1", time.Second)
	is.Equal(len(ld.lostOwners(owners, 2*time.Second)), 0)
	hear("2", 2*time.Second)
	is.Equal(len(ld.lostOwners(owners, 3*time.Second)), 0)
	hear("1", 3*time.Second) // a delayed report of the ended process
	is.Equal(len(ld.lostOwners(owners, 3*time.Second)), 0)
	hear("2", 4*time.Second)
	is.Equal(len(ld.lostOwners(owners, 4*time.Second)), 0)
	hear("2", 6*time.Second)
	is.Equal(ld.lostOwners(owners, 6*time.Second), []ledger.Owner{ended})
	// A process that ends before its first report counts as lost after nodeSilenceLimit.
	unheard := []ledger.Owner{{Node: "n", Boot: "3"}}
	is.Equal(len(ld.lostOwners(unheard, 7*time.Second)), 0)
	is.Equal(ld.lostOwners(unheard, 7*time.Second+nodeSilenceLimit+1), unheard)
}
