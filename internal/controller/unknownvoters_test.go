package controller_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestVoterElectsMembersThatRejoinedMeanwhile starts a voter that was down while the only two others with a log
// rejoined under new IDs. These three are a majority, but its log does not name the other two.
func TestVoterElectsMembersThatRejoinedMeanwhile(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 18220, 5)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	c.kill(2)
	for _, i := range []int{3, 4} {
		c.kill(i)
		c.wipe(i)
		c.start(i)
		c.waitForVoters(i)
	}
	c.accept(0, 1, "one")
	c.kill(0, 1)
	c.start(2)
	document, _ := c.read(2)
	is.New(t).Equal(document, "one")
}
