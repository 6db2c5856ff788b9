package node

import (
	"testing"

	"github.com/matryer/is"
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
