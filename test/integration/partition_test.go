package integration

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/faultproxy"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/internal/standin"
	"github.com/agateslip/agateslip/internal/testutil"
)

// linkProxies holds the proxies between nodes by the indices of the connecting node and of
// the node that it connects to.
type linkProxies map[[2]int]*faultproxy.Proxy

// startProxiedCluster starts three nodes with a proxy on each link.
func startProxiedCluster(t *testing.T) (*cluster, linkProxies) {
	t.Helper()
	proxies := linkProxies{}
	c := startClusterWithLinks(t, func(from, to int, addr string) string {
		proxy, err := faultproxy.New(addr)
		is.New(t).NoErr(err)
		t.Cleanup(proxy.Close)
		proxies[[2]int{from, to}] = proxy
		return proxy.Addr()
	})
	return c, proxies
}

// ofNode returns the proxies of all links to and from a node.
func (l linkProxies) ofNode(node int) []*faultproxy.Proxy {
	var own []*faultproxy.Proxy
	for ends, proxy := range l {
		if ends[0] == node || ends[1] == node {
			own = append(own, proxy)
		}
	}
	return own
}

// indexOf returns the index of a node in its cluster, or -1.
func (c *cluster) indexOf(n *node) int {
	for i, other := range c.nodes {
		if other == n {
			return i
		}
	}
	return -1
}

// readCall needs no claim, so a node can refuse it only because it cannot prove that its
// contracts are current.
var readCall = call{method: http.MethodGet, path: "/services/ledger/balance"}

// revokedContract returns the test contract with a key hash that no caller's key matches.
func revokedContract() string {
	contract := contractText("3s")
	const field = "sha256: "
	at := strings.Index(contract, field) + len(field)
	return contract[:at] + strings.Repeat("f", 64) + contract[at+64:]
}

// TestSilentPeerLinksAreReplaced silences the open connections between all nodes. Run-once
// calls must work again over new ones.
func TestSilentPeerLinksAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, proxies := startProxiedCluster(t)
	s := c.startService(t, "s1", nil)
	c.applyContract(t, c.nodes[0], contractText("3s"), 0)
	c.waitService(t)
	for _, proxy := range proxies {
		proxy.SetExisting(faultproxy.Silent())
	}
	silenced := time.Now()
	for i, n := range c.nodes {
		key := fmt.Sprintf("k%d", i)
		is.True(sendUntilSettled(t, []*node{n}, transfer(key, "")).answered())
		is.Equal(countRuns(s.Journal(), key), 1)
	}
	t.Logf("run-once calls through every node %s after all links fell silent", time.Since(silenced).Round(time.Millisecond))
}

// TestIsolatedLeaderServesNoOldContract cuts the leader off while the others revoke the
// callers' key. The old leader must start to refuse calls, and know the change once healed.
func TestIsolatedLeaderServesNoOldContract(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, proxies := startProxiedCluster(t)
	s := c.startService(t, "s1", nil)
	c.applyContract(t, c.nodes[0], contractText("3s"), 0)
	c.waitService(t)
	isolated := c.waitLeader(t)
	rest := c.others(isolated)
	for _, proxy := range proxies.ofNode(c.indexOf(isolated)) {
		proxy.SetAll(faultproxy.Silent())
	}
	majority := &cluster{nodes: rest}
	eventually(t, "a leader of the majority", func() bool {
		status, ok := rest[0].status()
		return ok && status.Leader != "" && status.Leader != isolated.name && status.Ready
	})
	majority.applyContract(t, rest[0], revokedContract(), 1)
	accepted := time.Now()
	eventually(t, "the isolated node refuses", func() bool {
		return !isolated.send(t.Context(), readCall, nil).answered()
	})
	t.Logf("the isolated leader refused %s after the change was accepted", time.Since(accepted).Round(time.Millisecond))
	before := len(s.Journal())
	for range 20 {
		is.Equal(isolated.send(t.Context(), readCall, nil).ran, gateway.NotRun)
	}
	is.Equal(len(s.Journal()), before)
	for _, proxy := range proxies.ofNode(c.indexOf(isolated)) {
		proxy.SetLater(faultproxy.Rules{})
		proxy.Reset()
	}
	eventually(t, "the healed node knows the change", func() bool {
		got := isolated.send(t.Context(), readCall, nil)
		is.True(!got.answered())
		return got.reason == string(gateway.ReasonUnauthorized)
	})
}

// TestIsolatedNodeListsNoOldContract lists the models of the contract, which needs no share
// of capacity: a node can refuse only because it cannot prove that its contracts are
// current.
func TestIsolatedNodeListsNoOldContract(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, proxies := startProxiedCluster(t)
	c.applyContract(t, c.nodes[0], contractText("3s"), 0)
	isolated := c.nodes[2]
	rest := c.nodes[:2]
	models := call{method: http.MethodGet, path: "/v1/models"}
	is.True(isolated.send(t.Context(), models, nil).answered())
	for _, proxy := range proxies.ofNode(2) {
		proxy.SetAll(faultproxy.Silent())
	}
	majority := &cluster{nodes: rest}
	eventually(t, "a leader of the majority", func() bool {
		status, ok := rest[0].status()
		return ok && status.Leader != "" && status.Leader != isolated.name && status.Ready
	})
	majority.applyContract(t, rest[0], revokedContract(), 1)
	eventually(t, "the isolated node refuses", func() bool {
		got := isolated.send(t.Context(), models, nil)
		return got.ran == gateway.NotRun && got.reason == string(gateway.ReasonNotCurrent)
	})
}

// TestResumedLeaderServesNoOldContract suspends the leader while the others revoke the
// callers' key. Calls that arrived meanwhile must be refused when it resumes.
func TestResumedLeaderServesNoOldContract(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	suspended := c.waitLeader(t)
	rest := c.others(suspended)
	suspended.suspend(t)
	replies := make([]<-chan reply, 10)
	for i := range replies {
		// The calls wait in the kernel's buffers and are the first that the node reads when it
		// resumes.
		replies[i] = sendAsync(t, suspended, readCall)
	}
	majority := &cluster{nodes: rest}
	eventually(t, "a leader of the majority", func() bool {
		status, ok := rest[0].status()
		return ok && status.Leader != "" && status.Leader != suspended.name && status.Ready
	})
	majority.applyContract(t, rest[0], revokedContract(), 1)
	time.Sleep(3 * time.Second)
	before := len(s.Journal())
	suspended.signal(syscall.SIGCONT)
	for _, got := range replies {
		is.True(!(<-got).answered())
	}
	is.Equal(len(s.Journal()), before)
}

// TestRestartedNodeServesNewestContract restarts a node after 200 replicated calls and a
// revoked key. It must never accept that key while it catches up.
func TestRestartedNodeServesNewestContract(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	restarted := c.nodes[2]
	restarted.kill()
	majority := &cluster{nodes: c.nodes[:2]}
	eventually(t, "a leader of the majority", func() bool {
		status, ok := c.nodes[0].status()
		return ok && status.Leader != "" && status.Leader != restarted.name && status.Ready
	})
	const changes = 200
	for i := range changes {
		key := fmt.Sprintf("c%d", i)
		is.True(sendUntilSettled(t, c.nodes[:2], transfer(key, "")).answered())
	}
	majority.applyContract(t, c.nodes[0], revokedContract(), 1)
	before := len(s.Journal())
	restarted.start(t)
	eventually(t, "the restarted node knows the change", func() bool {
		got := restarted.send(t.Context(), readCall, nil)
		is.True(!got.answered())
		return got.reason == string(gateway.ReasonUnauthorized)
	})
	is.Equal(len(s.Journal()), before)
}

// TestSilentServiceConnectionIsNotUsed silences the pooled connections to a service. A
// run-once call through each node must be answered on another connection, after one run.
func TestSilentServiceConnectionIsNotUsed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	var proxy *faultproxy.Proxy
	s := c.startService(t, "s1", func(config *standin.ServiceConfig) {
		config.Listen = testutil.ReservePorts(t, host, 1)[0]
		var err error
		proxy, err = faultproxy.New(config.Listen)
		is.NoErr(err)
		t.Cleanup(proxy.Close)
		config.Advertise = proxy.Addr()
	})
	c.applyContract(t, c.nodes[0], contractText("3s"), 0)
	c.waitService(t)
	proxy.SetExisting(faultproxy.Silent())
	for i, n := range c.nodes {
		key := fmt.Sprintf("k%d", i)
		got := n.send(t.Context(), transfer(key, ""), nil)
		is.True(got.answered()) // the call uses no silent pooled connection
		is.Equal(countRuns(s.Journal(), key), 1)
	}
}
