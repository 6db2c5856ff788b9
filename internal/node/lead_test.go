package node

import (
	"testing"
	"time"

	"github.com/agateslip/agateslip/ledger"
	"github.com/matryer/is"
)

// TestClaimsOfARestartedNode has a node's new process claim a call before the
// leader has heard its first report.
func TestClaimsOfARestartedNode(t *testing.T) {
	is := is.New(t)
	ended, living := ledger.Owner{Node: "n", Boot: "1"}, ledger.Owner{Node: "n", Boot: "2"}
	owners := []ledger.Owner{ended, living}
	ld := newLeadership(nil)
	ld.begin(1, 0)
	hear := func(boot string, at time.Duration) {
		ld.sync(syncRequest{Node: "n", Boot: boot}, at)
	}
	hear("1", time.Second)
	is.Equal(len(ld.lost(owners, 2*time.Second)), 0)
	hear("2", 2*time.Second)
	is.Equal(len(ld.lost(owners, 3*time.Second)), 0)
	hear("1", 3*time.Second) // a report that was on its way for long
	is.Equal(len(ld.lost(owners, 3*time.Second)), 0)
	hear("2", 4*time.Second)
	is.Equal(len(ld.lost(owners, 4*time.Second)), 0)
	hear("2", 6*time.Second)
	is.Equal(ld.lost(owners, 6*time.Second), []ledger.Owner{ended})
	// A process that ends before its first report is found by its silence.
	unheard := []ledger.Owner{{Node: "n", Boot: "3"}}
	is.Equal(len(ld.lost(unheard, 7*time.Second)), 0)
	is.Equal(ld.lost(unheard, 7*time.Second+nodeSilence+1), unheard)
}
