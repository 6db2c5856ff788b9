package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/routes"
)

const (
	// recoverTime is how long after a restart of all nodes the group may need until it
	// answers reads, and catchUpTime is how long after the start of its successor a lost
	// node may still count as lost. Both are the shortest bounds of any deployment.
	recoverTime = 12 * time.Second
	catchUpTime = 4 * time.Second
)

// restartWithTwoDisksLost stops all running nodes, wipes two of them and starts the given
// nodes.
func (c *cluster) restartWithTwoDisksLost(wiped [2]int, started ...int) {
	c.t.Helper()
	for i := range c.nodes {
		c.kill(i)
	}
	c.wipe(wiped[0])
	c.wipe(wiped[1])
	c.start(started...)
}

// requireReads fails the test unless the nodes return the document within recoverTime.
func (c *cluster) requireReads(document string, indices ...int) {
	c.t.Helper()
	start := time.Now()
	for _, i := range indices {
		if got, _ := c.read(i); got != document {
			c.t.Fatalf("node %d returned %q, want %q", i, got, document)
		}
	}
	if took := time.Since(start); took > recoverTime {
		c.t.Fatalf("reads took %v", took)
	}
}

// TestLongLogIsAppliedInTimeAfterRestart restarts a group on slow VMs, where one
// configuration takes 85 ms to decode, after as many changes as may follow a snapshot.
func TestLongLogIsAppliedInTimeAfterRestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17730, 5)
	c.start(0, 1, 2, 3, 4)
	c.waitForVoters(0)
	const changes = 240
	for v := range changes {
		is.Equal(c.configure(0, uint64(v+1), fmt.Sprint("change ", v)), confstate.Accepted)
	}
	c.decode = func(document []byte) (*routes.Configuration, error) {
		time.Sleep(85 * time.Millisecond)
		return decode(document)
	}
	c.restartWithTwoDisksLost([2]int{2, 4}, 0, 1, 2, 3, 4)
	c.requireReads(fmt.Sprint("change ", changes-1), 0, 1, 3)
}

