package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewLeaderSaysWhatIsCurrentOnceItHasAppliedIt restarts a group whose state takes long to apply. A new leader holds its
// lease before it has applied the last change that its predecessor acknowledged, and says nothing until then.
func TestNewLeaderSaysWhatIsCurrentOnceItHasAppliedIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 22340, 3)
	c.start(0, 1, 2)
	const last = 8
	for v := uint64(1); v <= last; v++ {
		c.accept(0, v, fmt.Sprint("version ", v))
	}
	c.kill(0, 1, 2)
	c.applyDelay = 50 * time.Millisecond
	c.start(0, 1, 2)
	silent, told := 0, false
	c.waitFor("word on the current version", func() bool {
		for _, n := range c.nodes {
			for began := time.Now(); time.Since(began) < 5*time.Millisecond; {
				version, err := n.node.CurrentVersion()
				if err != nil {
					continue
				}
				if version == 0 {
					silent++
					continue
				}
				is.Equal(version, uint64(last))
				told = true
			}
		}
		return told
	})
	t.Logf("a leader said nothing %d times", silent)
}
