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

// links are the proxies between nodes, by the node at each end.
type links map[[2]int]*faultproxy.Proxy

// startProxied starts three nodes with a proxy on each link.
func startProxied(t *testing.T) (*cluster, links) {
	t.Helper()
	between := links{}
	c := startLinked(t, func(from, to int, addr string) string {
		proxy, err := faultproxy.New(addr)
		is.New(t).NoErr(err)
		t.Cleanup(proxy.Close)
		between[[2]int{from, to}] = proxy
		return proxy.Addr()
	})
	return c, between
}

// of are the links of one node, in both directions of connecting.
func (l links) of(node int) []*faultproxy.Proxy {
	var own []*faultproxy.Proxy
	for ends, proxy := range l {
		if ends[0] == node || ends[1] == node {
			own = append(own, proxy)
		}
	}
	return own
}

// index is a node's place in its cluster.
func (c *cluster) index(n *node) int {
	for i, other := range c.nodes {
		if other == n {
			return i
		}
	}
	return -1
}

// read is a call that needs no claim, so that only the node's own proof of its
// contracts stands against it.
var read = call{method: http.MethodGet, path: "/services/ledger/balance"}

// revoked is the test contract with another key than the callers have.
func revoked() string {
	contract := contractText("3s")
	const field = "sha256: "
	at := strings.Index(contract, field) + len(field)
	return contract[:at] + strings.Repeat("f", 64) + contract[at+64:]
}

func TestSilentLinksBetweenNodesAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, between := startProxied(t)
	s := c.startService(t, "s1", nil)
	c.apply(t, c.nodes[0], contractText("3s"), 0)
	c.waitService(t)
	for _, proxy := range between {
		proxy.SetExisting(faultproxy.Silent())
	}
	silenced := time.Now()
	for i, n := range c.nodes {
		key := fmt.Sprintf("k%d", i)
		is.True(sendUntilSettled(t, []*node{n}, transfer(key, "")).answered())
		is.Equal(runs(s.Journal(), key), 1)
	}
	t.Logf("run-once calls through every node %s after all links fell silent", time.Since(silenced).Round(time.Millisecond))
}

func TestIsolatedLeaderServesNoOldContract(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, between := startProxied(t)
	s := c.startService(t, "s1", nil)
	c.apply(t, c.nodes[0], contractText("3s"), 0)
	c.waitService(t)
	isolated := c.leader(t)
	rest := c.other(isolated)
	for _, proxy := range between.of(c.index(isolated)) {
		proxy.SetAll(faultproxy.Silent())
	}
	majority := &cluster{nodes: rest}
	eventually(t, "a leader of the majority", func() bool {
		status, ok := rest[0].status()
		return ok && status.Leader != "" && status.Leader != isolated.name && status.Ready
	})
	majority.apply(t, rest[0], revoked(), 1)
	accepted := time.Now()
	eventually(t, "the isolated node refuses", func() bool {
		return !isolated.send(t.Context(), read, nil).answered()
	})
	t.Logf("the isolated leader refused %s after the change was accepted", time.Since(accepted).Round(time.Millisecond))
	before := len(s.Journal())
	for range 20 {
		is.Equal(isolated.send(t.Context(), read, nil).ran, gateway.NotRun)
	}
	is.Equal(len(s.Journal()), before)
	for _, proxy := range between.of(c.index(isolated)) {
		proxy.SetLater(faultproxy.Rules{})
		proxy.Reset()
	}
	eventually(t, "the healed node knows the change", func() bool {
		got := isolated.send(t.Context(), read, nil)
		is.True(!got.answered())
		return got.reason == string(gateway.ReasonUnauthorized)
	})
}

// TestIsolatedNodeListsNoOldContract asks for the models of the contract, which
// needs no share of capacity: only the node's proof of its contracts can refuse.
func TestIsolatedNodeListsNoOldContract(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, between := startProxied(t)
	c.apply(t, c.nodes[0], contractText("3s"), 0)
	isolated := c.nodes[2]
	rest := c.nodes[:2]
	models := call{method: http.MethodGet, path: "/v1/models"}
	is.True(isolated.send(t.Context(), models, nil).answered())
	for _, proxy := range between.of(2) {
		proxy.SetAll(faultproxy.Silent())
	}
	majority := &cluster{nodes: rest}
	eventually(t, "a leader of the majority", func() bool {
		status, ok := rest[0].status()
		return ok && status.Leader != "" && status.Leader != isolated.name && status.Ready
	})
	majority.apply(t, rest[0], revoked(), 1)
	eventually(t, "the isolated node refuses", func() bool {
		got := isolated.send(t.Context(), models, nil)
		return got.ran == gateway.NotRun && got.reason == string(gateway.ReasonNotCurrent)
	})
}

func TestFrozenLeaderServesNoOldContractWhenItGoesOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startOnce(t)
	frozen := c.leader(t)
	rest := c.other(frozen)
	frozen.signal(syscall.SIGSTOP)
	replies := make([]<-chan reply, 10)
	for i := range replies {
		// They wait in the kernel and are read in the first moment after.
		replies[i] = sendAside(t, frozen, read)
	}
	majority := &cluster{nodes: rest}
	eventually(t, "a leader of the majority", func() bool {
		status, ok := rest[0].status()
		return ok && status.Leader != "" && status.Leader != frozen.name && status.Ready
	})
	majority.apply(t, rest[0], revoked(), 1)
	time.Sleep(3 * time.Second)
	before := len(s.Journal())
	frozen.signal(syscall.SIGCONT)
	for _, got := range replies {
		is.True(!(<-got).answered())
	}
	is.Equal(len(s.Journal()), before)
}

func TestNodeRestartedAfterHundredsOfChangesServesTheNewest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startOnce(t)
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
	majority.apply(t, c.nodes[0], revoked(), 1)
	before := len(s.Journal())
	restarted.start(t)
	eventually(t, "the restarted node knows the change", func() bool {
		got := restarted.send(t.Context(), read, nil)
		is.True(!got.answered())
		return got.reason == string(gateway.ReasonUnauthorized)
	})
	is.Equal(len(s.Journal()), before)
}

func TestSilentConnectionToAServiceIsFoundBeforeTheCallRuns(t *testing.T) {
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
	c.apply(t, c.nodes[0], contractText("3s"), 0)
	c.waitService(t)
	proxy.SetExisting(faultproxy.Silent())
	for i, n := range c.nodes {
		key := fmt.Sprintf("k%d", i)
		got := n.send(t.Context(), transfer(key, ""), nil)
		is.True(got.answered()) // pooled connections are not used for it
		is.Equal(runs(s.Journal(), key), 1)
	}
}
