package integration

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestGracefulStopFinishesStreams stops two of three nodes, the leader included, with
// SIGTERM. Their readiness must fail before they exit, and no stream may be cut off.
func TestGracefulStopFinishesStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, _ := startEnginePair(t, nil)
	leader := c.waitLeader(t)
	stopping := []*node{leader, c.others(leader)[0]}
	const streams = 6
	var started, ended sync.WaitGroup
	replies := make([]reply, 2*streams)
	for i := range replies {
		begun, got := streamAsync(stopping[i%2], 150)
		started.Go(func() { <-begun })
		ended.Go(func() { replies[i] = <-got })
	}
	started.Wait()
	for _, n := range stopping {
		n.signal(syscall.SIGTERM)
	}
	for _, n := range stopping {
		eventually(t, "readiness fails first", func() bool { return !n.isReady(t) })
		is.Equal(len(n.exitedEarly()), 0)
	}
	ended.Wait()
	for _, got := range replies {
		is.NoErr(got.err)
		is.True(got.complete)
		is.Equal(got.body, chatAnswer("two", 150))
	}
	for _, n := range stopping {
		is.Equal(n.waitExit(t), 0)
	}
}

// isReady reports whether the readiness endpoint of the node answers 200.
func (n *node) isReady(t *testing.T) bool {
	t.Helper()
	response, err := http.Get("http://" + n.callerAddr + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// exitedEarly returns the name of the node if its process has ended, else "".
func (n *node) exitedEarly() string {
	select {
	case <-n.exited:
		return n.name
	default:
		return ""
	}
}

// TestStoppingLeaderServesLateCalls stops the leader with SIGTERM. It must serve calls that
// still arrive and finish those that run, and the other nodes must know their outcomes.
func TestStoppingLeaderServesLateCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	leader := c.waitLeader(t)
	replies := sendAsync(t, leader, transfer("k", slowWork))
	waitRunning(t, s)
	leader.signal(syscall.SIGTERM)
	eventually(t, "readiness fails", func() bool { return !leader.isReady(t) })
	late := leader.send(t.Context(), transfer("late", ""), nil)
	is.NoErr(late.err)
	is.Equal(late.status, http.StatusOK)
	got := <-replies
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(leader.waitExit(t), 0)
	for _, key := range []string{"k", "late"} {
		is.Equal(countRuns(s.Journal(), key), 1)
	}
	again := sendUntilSettled(t, c.others(leader), transfer("k", slowWork))
	is.Equal(again.body, got.body)
	is.Equal(countRuns(s.Journal(), "k"), 1)
}

// TestLeavingUpstreamGetsNoLateWork keeps calls running while one of two upstreams leaves.
// No work may reach it two seconds after it announced that, and no call may fail.
func TestLeavingUpstreamGetsNoLateWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, leaving := startLedgerCluster(t)
	staying := c.startService(t, "s2", nil)
	c.waitUpstreams(t, 2)
	var stop atomic.Bool
	var load sync.WaitGroup
	failed := make([]int, len(c.nodes))
	for i, n := range c.nodes {
		load.Go(func() {
			for k := 0; !stop.Load(); k++ {
				got := n.send(t.Context(), transfer(fmt.Sprintf("%s-%d", n.name, k), ""), nil)
				if !got.answered() {
					failed[i]++
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	eventually(t, "both are used", func() bool { return len(leaving.Journal()) > 20 && len(staying.Journal()) > 20 })
	leaving.Leave()
	time.Sleep(4 * time.Second)
	stop.Store(true)
	load.Wait()
	latestMillis := int64(0)
	for _, entry := range leaving.Journal() {
		latestMillis = max(latestMillis, entry.LeavingFor)
	}
	t.Logf("last work reached the leaving upstream %d ms after it announced leaving", latestMillis)
	is.True(latestMillis < 2000)
	is.Equal(failed, make([]int, len(c.nodes)))
}
