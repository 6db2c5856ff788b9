package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/boottime"
)

// TestProofWithoutALeader checks what the ends of the voters' logs prove to a
// node that has applied 7 entries.
func TestProofWithoutALeader(t *testing.T) {
	const applied = 7
	cases := []struct {
		name   string
		tails  []tailReply
		proved bool
	}{
		{"majority at the applied entry", []tailReply{{Member: 1, Last: 7}, {Member: 2, Last: 6}, {}}, true},
		{"one voter holds a further entry", []tailReply{{Member: 1, Last: 8}, {Member: 2, Last: 7}, {Member: 3, Last: 7}}, true},
		{"minority", []tailReply{{Member: 1, Last: 7}, {}, {}}, false},
		// Entry 8 may change the members, and entry 9 be accepted by others than
		// those asked.
		{"entry beyond the known members", []tailReply{{Member: 1, Last: 8}, {Member: 2, Last: 7}, {}}, false},
	}
	for _, c := range cases {
		is.New(t).Equal(provedByTails(c.tails, applied), c.proved) // c.name
	}
}

// TestProofDoesNotOutliveASuspension has the VM suspended for longer than a proof
// counts: the steady clock of package time stands still then.
func TestProofDoesNotOutliveASuspension(t *testing.T) {
	is := is.New(t)
	n := newIdleNode()
	suspended := time.Duration(0)
	n.clock = func() time.Duration { return boottime.Now() + suspended }
	n.currency.offer(n.now(), 0)
	current := &contracts{node: n}
	is.NoErr(current.Current())
	suspended = freshFor + time.Second
	is.True(current.Current() != nil)
}
