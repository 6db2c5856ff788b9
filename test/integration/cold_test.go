package integration

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/internal/standin"
)

const (
	// coldModels is the number of models in coldContract.
	coldModels = 6
	// coldWait is the wait of coldContract: the longest time until an answer starts or the
	// call is refused.
	coldWait = 10 * time.Second
	// burstCallsPerModel is the number of calls to each model in a burst.
	burstCallsPerModel = 9
	// deadlineSlack is how late an answer may be on a busy machine.
	deadlineSlack = 2 * time.Second
)

// coldContract returns a contract with coldModels models, each with at most one replica.
func coldContract() string {
	head, _, _ := strings.Cut(contractText(coldWait.String()), "models:")
	var models strings.Builder
	for i := range coldModels {
		fmt.Fprintf(&models, "  - {name: c%d, memory: 4GiB}\n", i)
	}
	return head + "models:\n" + models.String()
}

// startColdCluster starts three nodes with the cold contract, and engines that each have
// memory for two replicas and a copy of every model on disk.
func startColdCluster(t *testing.T, engines int, configure func(*standin.EngineConfig)) (*cluster, []*standin.Engine) {
	t.Helper()
	c := startCluster(t)
	var started []*standin.Engine
	for i := range engines {
		started = append(started, c.startEngine(t, fmt.Sprintf("e%d", i+1), func(config *standin.EngineConfig) {
			config.Domain = fmt.Sprintf("d%d", i+1)
			config.Memory = 9 << 30
			config.Copies = nil
			for m := range coldModels {
				config.Copies = append(config.Copies, directory.Copy{Model: fmt.Sprintf("c%d", m), Tier: directory.TierDisk})
			}
			config.Scale = 0.1 // a load takes 600 ms
			config.Token = 10 * time.Millisecond
			if configure != nil {
				configure(config)
			}
		}))
	}
	c.applyContract(t, c.nodes[0], coldContract(), 0)
	c.waitUpstreams(t, engines)
	return c, started
}

// sendBurst sends calls to every model through the nodes at the same time. It fails the
// test if a call ends more than deadlineSlack after coldWait.
func sendBurst(t *testing.T, nodes []*node) []reply {
	t.Helper()
	replies := make([]reply, coldModels*burstCallsPerModel)
	var group sync.WaitGroup
	for i := range replies {
		group.Go(func() {
			begin := time.Now()
			replies[i] = nodes[i%len(nodes)].send(t.Context(), chat(fmt.Sprintf("c%d", i%coldModels), true, 5), nil)
			if took := time.Since(begin); took > coldWait+deadlineSlack {
				t.Errorf("call %d ended after %s", i, took)
			}
		})
	}
	group.Wait()
	return replies
}

// checkBurst checks that each call has its complete answer or a refusal that states that it
// did not run, and returns the number of answers.
func checkBurst(t *testing.T, replies []reply) int {
	t.Helper()
	is := is.New(t)
	answered := 0
	for i, got := range replies {
		is.NoErr(got.err)
		if got.complete {
			is.Equal(got.body, chatAnswer(fmt.Sprintf("c%d", i%coldModels), 5))
			answered++
			continue
		}
		is.Equal(got.ran, gateway.NotRun)
	}
	return answered
}

// checkLoads checks that no engine was ordered to load more than fits its memory or a model
// that it already has, and returns the number of loads.
func checkLoads(t *testing.T, engines []*standin.Engine) int {
	t.Helper()
	is := is.New(t)
	loads := 0
	for _, e := range engines {
		stats := e.Stats()
		is.Equal(stats.OverCommits, 0)
		is.Equal(stats.DoubleLoads, 0)
		loads += stats.Loads
	}
	return loads
}

// waitShares waits until every node has its share of the contract's capacity.
func waitShares(t *testing.T, c *cluster) {
	t.Helper()
	for _, n := range c.nodes {
		eventually(t, n.name+" has a share", func() bool {
			got := n.send(t.Context(), chat("c0", true, 1), nil)
			return got.complete
		})
	}
}

// TestColdBurstLoadsEachModelOnce sends calls for every model to every node at the same
// time. A model that several nodes ask for must be loaded only once.
func TestColdBurstLoadsEachModelOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, engines := startColdCluster(t, 3, nil)
	waitShares(t, c)
	replies := sendBurst(t, c.nodes)
	is.Equal(checkBurst(t, replies), len(replies))
	is.Equal(checkLoads(t, engines), coldModels)
}

// TestLeaderKilledDuringLoads kills the leader while models load. The engines do not check
// fencing, so an order of the new leader that repeats a load would take effect.
func TestLeaderKilledDuringLoads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, engines := startColdCluster(t, 3, func(config *standin.EngineConfig) { config.ChecksFencing = false })
	waitShares(t, c)
	leader := c.waitLeader(t)
	replies := make(chan []reply)
	go func() { replies <- sendBurst(t, c.others(leader)) }()
	eventually(t, "loads run", func() bool { return countLoading(engines) > 2 })
	leader.kill()
	got := <-replies
	is.Equal(checkBurst(t, got), len(got))
	is.Equal(checkLoads(t, engines), coldModels)
}

// TestResumedLeaderSendsNoStaleOrders suspends the leader during loads and resumes it after
// the others served a burst. The engines do not check fencing, so a stale order would take
// effect.
func TestResumedLeaderSendsNoStaleOrders(t *testing.T) {
	t.Parallel()
	c, engines := startColdCluster(t, 3, func(config *standin.EngineConfig) { config.ChecksFencing = false })
	waitShares(t, c)
	leader := c.waitLeader(t)
	rest := c.others(leader)
	replies := make(chan []reply)
	go func() { replies <- sendBurst(t, rest) }()
	eventually(t, "loads run", func() bool { return countLoading(engines) > 0 })
	leader.suspend(t)
	checkBurst(t, <-replies)
	leader.signal(syscall.SIGCONT)
	checkBurst(t, sendBurst(t, c.nodes))
	checkLoads(t, engines)
}

// countLoading returns the number of replicas that are being loaded.
func countLoading(engines []*standin.Engine) int {
	count := 0
	for _, e := range engines {
		for _, r := range e.Replicas() {
			if r.State == directory.Loading {
				count++
			}
		}
	}
	return count
}

// TestEngineServesAfterCrashDuringLoad restarts an engine that died while it loaded a model.
// Its new incarnation must be given the model again.
func TestEngineServesAfterCrashDuringLoad(t *testing.T) {
	t.Parallel()
	c, engines := startColdCluster(t, 1, nil)
	waitShares(t, c)
	engines[0].SetFaults(standin.Faults{DieInLoad: true})
	// checkBurst expects the reply at index 1 to be for c1, so a made-up reply for c0 precedes it.
	checkBurst(t, []reply{{complete: true, body: chatAnswer("c0", 5)}, c.nodes[0].send(t.Context(), chat("c1", true, 5), nil)})
	restarted := c.startEngine(t, "e1", func(config *standin.EngineConfig) {
		config.Memory = 9 << 30
		config.Copies = []directory.Copy{{Model: "c1", Tier: directory.TierDisk}}
	})
	eventually(t, "the model is served by the new incarnation", func() bool {
		return c.nodes[0].send(t.Context(), chat("c1", true, 5), nil).complete
	})
	checkLoads(t, append(engines, restarted))
}

// startWithLostEngine starts two engines, one of which dies while it loads the model c1.
// To the nodes, the model may still be loading there. That replica therefore still counts
// towards the one that the contract allows, and the other engine must not load the model
// although it has memory.
func startWithLostEngine(t *testing.T) (*cluster, []*standin.Engine) {
	t.Helper()
	c, engines := startColdCluster(t, 2, nil)
	waitShares(t, c)
	// Either engine may be ordered to load the model, so both get the fault.
	for _, e := range engines {
		e.SetFaults(standin.Faults{DieInLoad: true})
	}
	is.New(t).Equal(c.nodes[0].send(t.Context(), chat("c1", true, 5), nil).ran, gateway.NotRun)
	for _, e := range engines {
		e.SetFaults(standin.Faults{})
	}
	return c, engines
}

// TestModelOfLostEngineIsRefusedEarly calls a model whose only replica is on a lost engine.
// A node must refuse with Retry-After well before the contract's wait ends.
func TestModelOfLostEngineIsRefusedEarly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, engines := startWithLostEngine(t)
	time.Sleep(coldWait / 2)
	for _, n := range c.nodes {
		begin := time.Now()
		got := n.send(t.Context(), chat("c1", true, 5), nil)
		is.Equal(got.ran, gateway.NotRun)
		is.True(got.header.Get("Retry-After") != "")
		t.Logf("%s refused after %s: %s", n.name, time.Since(begin).Round(time.Millisecond), got.reason)
		is.True(time.Since(begin) < coldWait/2) // refused well before the deadline
	}
	checkLoads(t, engines)
}

// TestOperatorDeclaresEngineGone lets an operator declare that the engine that died during a
// load is gone. This must release the engine's grant, so that the other engine can load the
// model.
func TestOperatorDeclaresEngineGone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, engines := startWithLostEngine(t)
	declareGone := func(id string, incarnation uint64) int {
		cmd := exec.Command(binaries.node, "upstream", "gone", id, fmt.Sprint(incarnation), "--node", c.nodes[1].operatorAddr, "--token", operatorToken)
		out, _ := cmd.CombinedOutput()
		t.Logf("%s", out)
		return cmd.ProcessState.ExitCode()
	}
	eventually(t, "the lost engine is silent", func() bool {
		status, _ := c.nodes[1].status()
		lost := false
		for _, u := range status.Upstreams {
			lost = lost || u.State == "silent"
		}
		return lost
	})
	status, _ := c.nodes[1].status()
	for _, u := range status.Upstreams {
		if u.State == "silent" {
			is.Equal(declareGone(u.ID, u.Incarnation), 0)
		} else {
			is.Equal(declareGone(u.ID, u.Incarnation), 3) // refused: this engine is not lost
		}
	}
	eventually(t, "the model is served by the other engine", func() bool {
		return c.nodes[2].send(t.Context(), chat("c1", true, 5), nil).complete
	})
	checkLoads(t, engines)
}

// TestModelServedAfterFailedLoad fails the first load of an engine. The model must be loaded
// again and served.
func TestModelServedAfterFailedLoad(t *testing.T) {
	t.Parallel()
	c, engines := startColdCluster(t, 1, nil)
	waitShares(t, c)
	engines[0].SetFaults(standin.Faults{FailLoads: 1})
	eventually(t, "the model is served", func() bool {
		return c.nodes[1].send(t.Context(), chat("c1", true, 5), nil).complete
	})
	checkLoads(t, engines)
}
