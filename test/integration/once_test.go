package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/faultproxy"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/internal/standin"
)

// slowWork is the query of a call that runs long enough for a fault to interrupt it.
const slowWork = "?work=700ms"

// startLedgerCluster starts three nodes with the test contract and one ledger service, and
// waits until the service answers through every node.
func startLedgerCluster(t *testing.T) (*cluster, *standin.Service) {
	t.Helper()
	c := startCluster(t)
	s := c.startService(t, "s1", nil)
	c.applyContract(t, c.nodes[0], contractText("3s"), 0)
	c.waitUpstreams(t, 1)
	c.waitService(t)
	return c, s
}

// waitService waits until the service answers through every node.
func (c *cluster) waitService(t *testing.T) {
	t.Helper()
	for _, n := range c.nodes {
		probe := call{method: http.MethodGet, path: "/services/ledger/health"}
		eventually(t, "service answers through "+n.name, func() bool {
			return n.send(t.Context(), probe, nil).answered()
		})
	}
}

// sendAsync makes a call in the background and returns the channel of its reply.
func sendAsync(t *testing.T, n *node, c call) <-chan reply {
	t.Helper()
	replies := make(chan reply, 1)
	go func() { replies <- n.send(context.Background(), c, nil) }()
	return replies
}

// waitRunning waits until the call with the key k has started to run.
func waitRunning(t *testing.T, s *standin.Service) {
	t.Helper()
	eventually(t, "the call runs", func() bool { return countRuns(s.Journal(), "k") > 0 })
}

// TestEntryKilledBeforeClaim kills an entry node whose links to its peers drop everything,
// so that no peer ever receives its claim. The call must run once through another node.
func TestEntryKilledBeforeClaim(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, proxies := startProxiedCluster(t)
	s := c.startService(t, "s1", nil)
	c.applyContract(t, c.nodes[0], contractText("3s"), 0)
	c.waitUpstreams(t, 1)
	c.waitService(t)
	entry, others := c.nodes[0], c.nodes[1:]
	for _, link := range proxies.ofNode(0) {
		link.SetAll(faultproxy.Silent())
	}
	replies := sendAsync(t, entry, transfer("k", ""))
	time.Sleep(300 * time.Millisecond)
	is.Equal(countRuns(s.Journal(), "k"), 0)
	entry.kill()
	is.True((<-replies).err != nil)
	is.True(sendUntilSettled(t, others, transfer("k", "")).answered())
	is.Equal(countRuns(s.Journal(), "k"), 1)
}

// TestEntryKilledDuringCall kills the entry node while its call runs. The other nodes must
// report the outcome as unknown and not run the call again.
func TestEntryKilledDuringCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	entry := c.nodes[0]
	replies := sendAsync(t, entry, transfer("k", slowWork))
	waitRunning(t, s)
	entry.kill()
	is.True((<-replies).err != nil)
	got := sendUntilSettled(t, c.nodes[1:], transfer("k", slowWork))
	is.Equal(got.reason, string(gateway.ReasonOutcomeUnknown))
	is.Equal(got.ran, gateway.RanUnknown)
	is.Equal(countRuns(s.Journal(), "k"), 1)
}

// TestEntryKilledAfterAnswer kills the entry node after it has answered. The other nodes
// must replay the recorded answer.
func TestEntryKilledAfterAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	first := c.nodes[0].send(t.Context(), transfer("k", ""), nil)
	is.Equal(first.status, http.StatusOK)
	c.nodes[0].kill()
	for _, n := range c.nodes[1:] {
		again := sendUntilSettled(t, []*node{n}, transfer("k", ""))
		is.Equal(again.body, first.body)
	}
	is.Equal(countRuns(s.Journal(), "k"), 1)
}

// TestLeaderKilledDuringCall kills the leader while a call runs through another node. The
// outcome must reach the caller and be recorded.
func TestLeaderKilledDuringCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	leader := c.waitLeader(t)
	rest := c.others(leader)
	replies := sendAsync(t, rest[0], transfer("k", slowWork))
	waitRunning(t, s)
	leader.kill()
	got := <-replies
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(sendUntilSettled(t, rest[1:], transfer("k", slowWork)).body, got.body)
	is.Equal(countRuns(s.Journal(), "k"), 1)
}

// TestUpstreamKilledDuringCall kills the upstream while a call runs. The outcome is unknown,
// and the call must not run again on another upstream.
func TestUpstreamKilledDuringCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	replies := sendAsync(t, c.nodes[0], transfer("k", slowWork))
	waitRunning(t, s)
	other := c.startService(t, "s2", nil)
	s.Kill()
	got := <-replies
	is.NoErr(got.err)
	is.True(got.status >= http.StatusInternalServerError)
	is.Equal(got.ran, gateway.RanUnknown)
	c.waitService(t)
	for _, n := range c.nodes {
		again := n.send(t.Context(), transfer("k", slowWork), nil)
		is.Equal(again.reason, string(gateway.ReasonOutcomeUnknown))
	}
	is.Equal(countRuns(s.Journal(), "k"), 1)
	is.Equal(countRuns(other.Journal(), "k"), 0)
}

// TestRefusedCallRunsOnAnotherUpstream has one upstream that refuses every call. Each call
// must run once on the other one.
func TestRefusedCallRunsOnAnotherUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, refusing := startLedgerCluster(t)
	refusing.SetFaults(standin.Faults{Refuse: true})
	accepting := c.startService(t, "s2", nil)
	c.waitUpstreams(t, 2)
	for i := range 10 {
		key := fmt.Sprintf("k%d", i)
		got := c.nodes[i%3].sendUntilRun(t.Context(), transfer(key, ""))
		is.Equal(got.status, http.StatusOK)
		is.Equal(countRuns(accepting.Journal(), key), 1)
		is.Equal(countRuns(refusing.Journal(), key), 0)
	}
}

// TestConcurrentCallsWithSameKeyRunOnce sends the same call through every node at the same
// time. It must run once, and every caller must get its answer. The same key with another
// body is refused.
func TestConcurrentCallsWithSameKeyRunOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	const copies = 12
	replies := make([]reply, copies)
	var group sync.WaitGroup
	for i := range copies {
		group.Go(func() { replies[i] = c.nodes[i%3].send(t.Context(), transfer("k", slowWork), nil) })
	}
	group.Wait()
	for _, got := range replies {
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, replies[0].body)
	}
	is.Equal(countRuns(s.Journal(), "k"), 1)

	other := transfer("k", slowWork)
	other.body = `{"amount":2}`
	got := c.nodes[1].send(t.Context(), other, nil)
	is.Equal(got.reason, string(gateway.ReasonKeyReused))
	is.Equal(got.ran, gateway.NotRun)
	is.Equal(countRuns(s.Journal(), "k"), 1)
}

// TestLeaderKilledUnderLoad kills the leader while clients make calls through every node.
// Each call runs at most once, and an answered call exactly once.
func TestLeaderKilledUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	leader := c.waitLeader(t)
	const calls, callers = 80, 8
	settled := make([]reply, calls)
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := caller; i < calls; i += callers {
				nodes := []*node{c.nodes[i%3], c.nodes[(i+1)%3], c.nodes[(i+2)%3]}
				settled[i] = sendUntilSettled(t, nodes, transfer(fmt.Sprintf("k%d", i), "?work=20ms"))
			}
		})
	}
	eventually(t, "some calls run", func() bool { return len(s.Journal()) > calls/4 })
	leader.kill()
	group.Wait()
	journal := s.Journal()
	answered := 0
	for i, got := range settled {
		ran := countRuns(journal, fmt.Sprintf("k%d", i))
		is.True(ran <= 1)
		if got.answered() {
			is.Equal(ran, 1)
			answered++
		}
	}
	is.True(answered >= calls-callers) // only calls in progress at the dead node are lost
}
