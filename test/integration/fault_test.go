package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/faultproxy"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/internal/standin"
	"github.com/agateslip/agateslip/internal/testutil"
)

// connectionFaults are faults of the connection between a node and an upstream. On a new
// connection, the silent ones cannot be told from a call that runs for long.
var connectionFaults = []struct {
	name   string
	rules  faultproxy.Rules
	silent bool
}{
	{"reset in the request's header", faultproxy.Rules{ToTarget: faultproxy.Rule{ResetAfter: 40}}, false},
	{"reset in the request's body", faultproxy.Rules{ToTarget: faultproxy.Rule{ResetAfter: 1500}}, false},
	{"request truncated in its body", faultproxy.Rules{ToTarget: faultproxy.Rule{TruncateAfter: 1500}}, false},
	{"reset before the answer", faultproxy.Rules{ToClient: faultproxy.Rule{ResetAfter: 1}}, false},
	{"reset in the answer's header", faultproxy.Rules{ToClient: faultproxy.Rule{ResetAfter: 60}}, false},
	{"reset in the answer's body", faultproxy.Rules{ToClient: faultproxy.Rule{ResetAfter: 200}}, false},
	{"answer truncated in its header", faultproxy.Rules{ToClient: faultproxy.Rule{TruncateAfter: 60}}, false},
	{"answer truncated in its body", faultproxy.Rules{ToClient: faultproxy.Rule{TruncateAfter: 200}}, false},
	{"silent to the upstream", faultproxy.Rules{ToTarget: faultproxy.Rule{Drop: true}}, true},
	{"silent from the upstream", faultproxy.Rules{ToClient: faultproxy.Rule{Drop: true}}, true},
	{"held both ways", faultproxy.Rules{ToTarget: faultproxy.Rule{Hold: true}, ToClient: faultproxy.Rule{Hold: true}}, true},
	{"slow", faultproxy.Rules{ToTarget: faultproxy.Rule{Delay: 100 * time.Millisecond}, ToClient: faultproxy.Rule{Delay: 100 * time.Millisecond}}, false},
}

// reserveProxiedAddr returns an address for a stand-in to listen on, and a proxy in front of
// that address.
func reserveProxiedAddr(t *testing.T) (listen string, proxy *faultproxy.Proxy) {
	t.Helper()
	listen = testutil.ReservePorts(t, host, 1)[0]
	proxy, err := faultproxy.New(listen)
	is.New(t).NoErr(err)
	t.Cleanup(proxy.Close)
	return listen, proxy
}

// TestRunOnceCallsOverFaultyConnections makes run-once calls over connections with each
// fault. What the caller is told must match the runs, and no call may run twice.
func TestRunOnceCallsOverFaultyConnections(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	listen, proxy := reserveProxiedAddr(t)
	s := c.startService(t, "s1", func(config *standin.ServiceConfig) {
		config.Listen = listen
		config.Advertise = proxy.Addr()
	})
	c.applyContract(t, c.nodes[0], contractText("1500ms"), 0)
	c.waitService(t)
	for i, fault := range connectionFaults {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			key := fmt.Sprintf("k%d", i)
			entry, another := c.nodes[i%3], c.nodes[(i+1)%3]
			proxy.SetLater(fault.rules)
			begin := time.Now()
			got := entry.send(t.Context(), transfer(key, ""), nil)
			is.NoErr(got.err)
			is.True(time.Since(begin) < 1500*time.Millisecond+deadlineSlack)
			ran := countRuns(s.Journal(), key)
			t.Logf("status %d, ran %s, reason %s, runs %d", got.status, got.ran, got.reason, ran)
			checkOutcome(t, got, ran)
			proxy.SetAll(faultproxy.Rules{})
			c.waitService(t)
			if fault.silent {
				// The first sender may still be waiting for its answer, so the call need
				// not settle yet.
				got = another.send(t.Context(), transfer(key, ""), nil)
			} else {
				got = sendUntilSettled(t, []*node{another}, transfer(key, ""))
			}
			checkOutcome(t, got, countRuns(s.Journal(), key))
			is.True(countRuns(s.Journal(), key) <= 1)
		})
	}
}

// checkOutcome compares what the caller was told with the runs in the journal.
func checkOutcome(t *testing.T, got reply, ran int) {
	t.Helper()
	is := is.New(t)
	switch {
	case got.answered():
		is.Equal(ran, 1)
		var answer standin.ServiceAnswer
		is.NoErr(json.Unmarshal([]byte(got.body), &answer)) // the answer is complete
	case got.ran == gateway.NotRun:
		is.Equal(ran, 0)
	default:
		is.Equal(got.ran, gateway.RanUnknown)
		is.True(ran <= 1)
	}
}

// TestRepeatableCallsOverFaultyConnections makes model calls while the connections to one of
// two engines have each fault. Unless the fault is silent, every call must succeed.
func TestRepeatableCallsOverFaultyConnections(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	listen, proxy := reserveProxiedAddr(t)
	faulty := c.startEngine(t, "e1", func(config *standin.EngineConfig) {
		config.Listen = listen
		config.Advertise = proxy.Addr()
	})
	healthy := c.startEngine(t, "e2", nil)
	c.applyContract(t, c.nodes[0], contractText("3s"), 0)
	c.waitUpstreams(t, 2)
	for _, e := range []*standin.Engine{faulty, healthy} {
		eventually(t, "replica ready", func() bool { return hasReadyReplica(e) })
	}
	c.waitModel(t)
	for i, fault := range connectionFaults {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			proxy.SetLater(fault.rules)
			proxy.Reset() // closes the pooled connections
			for k := range 4 {
				got := c.nodes[(i+k)%3].send(t.Context(), chat("two", k%2 == 0, 8), nil)
				is.NoErr(got.err)
				if fault.silent && got.status != http.StatusOK {
					is.Equal(got.ran, gateway.RanUnknown)
					continue
				}
				is.Equal(got.status, http.StatusOK)
				if k%2 == 0 {
					is.True(got.complete)
					is.Equal(got.body, chatAnswer("two", 8))
				}
			}
			proxy.SetAll(faultproxy.Rules{})
			// So many faults in a row would exhaust any retry budget.
			time.Sleep(time.Second)
		})
	}
}

// TestSilentPooledConnectionsAreReplaced silences the open connections to an engine. The
// next call through each node must still be answered within five seconds.
func TestSilentPooledConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	listen, proxy := reserveProxiedAddr(t)
	c.startEngine(t, "e1", func(config *standin.EngineConfig) {
		config.Listen = listen
		config.Advertise = proxy.Addr()
	})
	c.applyContract(t, c.nodes[0], contractText("10s"), 0)
	c.waitModel(t)
	for _, n := range c.nodes {
		proxy.SetExisting(faultproxy.Silent())
		begin := time.Now()
		got := n.send(t.Context(), chat("two", false, 8), nil)
		is.Equal(got.status, http.StatusOK)
		t.Logf("%s answered after %s", n.name, time.Since(begin).Round(time.Millisecond))
		is.True(time.Since(begin) < 5*time.Second)
	}
}

// TestUnansweredOrdersLoadOnce drops what the engine answers to its load orders. Each model
// must still be loaded only once.
func TestUnansweredOrdersLoadOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var proxy *faultproxy.Proxy
	c, engines := startColdCluster(t, 1, func(config *standin.EngineConfig) {
		config.Listen, proxy = reserveProxiedAddr(t)
		config.Advertise = proxy.Addr()
		config.Memory = 100 << 30
		config.ChecksFencing = false
	})
	waitShares(t, c)
	// Orders and calls reach the engine, but its answers are lost.
	proxy.SetLater(faultproxy.Rules{ToClient: faultproxy.Rule{Drop: true}})
	replies := make(chan []reply)
	go func() { replies <- sendBurst(t, c.nodes) }()
	eventually(t, "loads run", func() bool { return engines[0].Stats().Loads > 1 })
	proxy.SetAll(faultproxy.Rules{})
	proxy.Reset()
	for _, got := range <-replies {
		is.True(got.err != nil || got.complete || got.ran != gateway.DidRun)
	}
	is.Equal(checkLoads(t, engines), coldModels)
}
