package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/boottime"
)

// TestTailsProveCurrent checks which ends of the voters' logs prove that a node with 7
// applied entries is current.
func TestTailsProveCurrent(t *testing.T) {
	const applied = 7
	cases := []struct {
		name   string
		tails  []tailReply
		proved bool
	}{
		{"majority at the applied entry", []tailReply{{Member: 1, Last: 7}, {Member: 2, Last: 6}, {}}, true},
		{"one voter holds a further entry", []tailReply{{Member: 1, Last: 8}, {Member: 2, Last: 7}, {Member: 3, Last: 7}}, true},
		{"minority", []tailReply{{Member: 1, Last: 7}, {}, {}}, false},
		// Entry 8 may change the members, so that voters who were not asked could
		// accept entry 9.
		{"entry beyond the known members", []tailReply{{Member: 1, Last: 8}, {Member: 2, Last: 7}, {}}, false},
	}
	for _, c := range cases {
		is.New(t).Equal(tailsProveCurrent(c.tails, applied), c.proved) // c.name
	}
}

// TestProofExpiresDuringSuspension checks that a proof expires while the VM is
// suspended. The monotonic clock of package time stops during a suspension, so it would
// keep the proof valid.
func TestProofExpiresDuringSuspension(t *testing.T) {
	is := is.New(t)
	n := newIdleNode()
	suspended := time.Duration(0)
	n.clock = func() time.Duration { return boottime.Now() + suspended }
	n.proofs.Add(n.now(), 0)
	current := &contracts{node: n}
	is.NoErr(current.CheckCurrent())
	suspended = proofLifetime + time.Second
	is.True(current.CheckCurrent() != nil)
}
