package integration

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/engine"
	"github.com/agateslip/agateslip/internal/faultproxy"
	"github.com/agateslip/agateslip/internal/standin"
	"github.com/agateslip/agateslip/internal/testutil"
)

// startEnginePair starts three nodes and two engines that each have one replica of the
// model two, which the contract keeps loaded.
func startEnginePair(t *testing.T, configure func(*standin.EngineConfig)) (*cluster, []*standin.Engine) {
	t.Helper()
	c := startCluster(t)
	engines := []*standin.Engine{c.startEngine(t, "e1", configure), c.startEngine(t, "e2", configure)}
	c.applyContract(t, c.nodes[0], contractText("10s"), 0)
	c.waitUpstreams(t, 2)
	for _, e := range engines {
		eventually(t, "replica ready", func() bool { return hasReadyReplica(e) })
	}
	c.waitModel(t)
	return c, engines
}

// hasReadyReplica reports whether an engine has a ready replica.
func hasReadyReplica(e *standin.Engine) bool {
	for _, r := range e.Replicas() {
		if r.State == "ready" {
			return true
		}
	}
	return false
}

// waitServing waits until an engine runs a stream. It returns that engine and the other.
func waitServing(t *testing.T, engines []*standin.Engine) (*standin.Engine, *standin.Engine) {
	t.Helper()
	var found int
	eventually(t, "an engine runs the stream", func() bool {
		for i, e := range engines {
			for _, entry := range e.Journal() {
				if entry.End == standin.Running {
					found = i
					return true
				}
			}
		}
		return false
	})
	return engines[found], engines[1-found]
}

// streamAsync streams from the model two in the background. The first channel is closed
// after five tokens; the second receives the reply.
func streamAsync(n *node, tokens int) (<-chan struct{}, <-chan reply) {
	begun := make(chan struct{})
	replies := make(chan reply, 1)
	go func() {
		replies <- n.send(context.Background(), chat("two", true, tokens), func(done int) {
			if done == 5 {
				close(begun)
			}
		})
	}()
	return begun, replies
}

// TestStreamResumesAfterEngineDeath kills the engine that runs a stream. The other engine
// must resume the stream after the tokens that the caller has.
func TestStreamResumesAfterEngineDeath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, engines := startEnginePair(t, nil)
	begun, replies := streamAsync(c.nodes[0], 60)
	<-begun
	first, second := waitServing(t, engines)
	first.Kill()
	got := <-replies
	is.NoErr(got.err)
	is.True(got.complete)
	is.Equal(got.body, chatAnswer("two", 60))
	journal := second.Journal()
	is.True(journal[len(journal)-1].ResumeFrom >= 5)
}

// TestCutStreamResumesAtNextToken has both engines cut streams off after a few tokens. The
// answer must have no token twice and miss none.
func TestCutStreamResumesAtNextToken(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, engines := startEnginePair(t, nil)
	engines[0].SetFaults(standin.Faults{CutAfter: 7})
	engines[1].SetFaults(standin.Faults{CutAfter: 11})
	// Each attempt yields some of the tokens; the answer must have each token once.
	got := c.nodes[1].send(t.Context(), chat("two", true, 18), nil)
	is.NoErr(got.err)
	is.True(got.complete)
	is.Equal(got.body, chatAnswer("two", 18))
}

// TestStreamResumesAfterSilentConnection silences the connections to both engines during a
// stream, which must be resumed on a new connection.
func TestStreamResumesAfterSilentConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var proxies []*faultproxy.Proxy
	c, engines := startEnginePair(t, func(config *standin.EngineConfig) {
		config.Listen = testutil.ReservePorts(t, host, 1)[0]
		proxy, err := faultproxy.New(config.Listen)
		is.NoErr(err)
		t.Cleanup(proxy.Close)
		proxies = append(proxies, proxy)
		config.Advertise = proxy.Addr()
	})
	begun, replies := streamAsync(c.nodes[2], 100)
	<-begun
	waitServing(t, engines)
	silenced := time.Now()
	for _, p := range proxies {
		p.SetExisting(faultproxy.Silent())
	}
	got := <-replies
	t.Logf("answer ended %s after the connections fell silent", time.Since(silenced).Round(time.Millisecond))
	is.NoErr(got.err)
	is.True(got.complete)
	is.Equal(got.body, chatAnswer("two", 100))
}

// TestQuietGenerationIsNotRetried has the engines pause for long during a generation. Nodes
// must not take the pause for a silent connection and start a second run.
func TestQuietGenerationIsNotRetried(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	// quiet is longer than the silence limit of every link and than the contract's wait.
	const quiet = 12 * time.Second
	c, engines := startEnginePair(t, nil)
	for _, e := range engines {
		e.SetFaults(standin.Faults{Pause: engine.Millis(quiet)})
	}
	before := len(engines[0].Journal()) + len(engines[1].Journal())
	got := c.nodes[0].send(t.Context(), chat("two", true, 5), nil)
	is.NoErr(got.err)
	is.True(got.complete)
	is.Equal(got.body, chatAnswer("two", 5))
	is.Equal(len(engines[0].Journal())+len(engines[1].Journal()), before+1)
}

// TestAllStreamsOfDeadEngineResume kills an engine that runs many streams at the same time.
// The other engine must complete them all.
func TestAllStreamsOfDeadEngineResume(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, engines := startEnginePair(t, func(config *standin.EngineConfig) { config.Slots = 32 })
	const streams = 24
	var started, ended sync.WaitGroup
	replies := make([]reply, streams)
	for i := range streams {
		begun, got := streamAsync(c.nodes[i%3], 100)
		started.Go(func() { <-begun })
		ended.Go(func() { replies[i] = <-got })
	}
	started.Wait()
	engines[0].Kill()
	ended.Wait()
	broken := 0
	for _, got := range replies {
		if !got.complete {
			broken++
			continue
		}
		is.Equal(got.body, chatAnswer("two", 100))
	}
	is.Equal(broken, 0)
}

// TestCutStreamResumesOnOnlyReplica cuts streams of a model that has a single replica.
func TestCutStreamResumesOnOnlyReplica(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	e := c.startEngine(t, "e1", nil)
	c.applyContract(t, c.nodes[0], contractText("10s"), 0)
	c.waitUpstreams(t, 1)
	c.waitModel(t)
	e.SetFaults(standin.Faults{CutAfter: 7})
	got := c.nodes[1].send(t.Context(), chat("two", true, 30), nil)
	is.NoErr(got.err)
	is.True(got.complete)
	is.Equal(got.body, chatAnswer("two", 30))
}

// TestCallerDisconnectCancelsRun disconnects a caller during a stream. The engine must end
// the run.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, engines := startEnginePair(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	got := c.nodes[0].send(ctx, chat("two", true, 5000), func(tokens int) {
		if tokens == 3 {
			cancel()
		}
	})
	cancel()
	is.True(got.err != nil)
	eventually(t, "the engine ends the run", func() bool {
		for _, e := range engines {
			for _, entry := range e.Journal() {
				if entry.End == standin.Canceled {
					return true
				}
			}
		}
		return false
	})
}

// TestCallerDisconnectsDoNotExcludeEngine guards against disconnects of callers being counted
// as failures of the engine, which would then get no calls.
func TestCallerDisconnectsDoNotExcludeEngine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	c.startEngine(t, "e1", nil)
	c.applyContract(t, c.nodes[0], contractText("10s"), 0)
	c.waitUpstreams(t, 1)
	c.waitModel(t)
	for range 12 {
		ctx, cancel := context.WithCancel(t.Context())
		c.nodes[0].send(ctx, chat("two", true, 5000), func(tokens int) {
			if tokens == 3 {
				cancel()
			}
		})
		cancel()
	}
	got := c.nodes[0].send(t.Context(), chat("two", true, 5), nil)
	is.Equal(got.status, http.StatusOK)
	is.True(got.complete)
}

// TestStreamBreaksWhenNodeIsKilled kills the entry node during a stream. The caller must see
// an error and no end marker.
func TestStreamBreaksWhenNodeIsKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, _ := startEnginePair(t, nil)
	begun, replies := streamAsync(c.nodes[0], 500)
	<-begun
	c.nodes[0].kill()
	got := <-replies
	is.True(got.err != nil)
	is.True(!got.complete)
	again := c.nodes[1].send(t.Context(), chat("two", true, 5), nil)
	is.True(again.complete)
}

// TestConcurrentCallsGetOwnAnswers makes calls of different lengths at the same time.
func TestConcurrentCallsGetOwnAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, _ := startEnginePair(t, nil)
	const calls = 24
	replies := make([]reply, calls)
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() { replies[i] = c.nodes[i%3].sendUntilRun(t.Context(), chat("two", i%2 == 0, i+1)) })
	}
	group.Wait()
	for i, got := range replies {
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		if i%2 == 0 {
			is.Equal(got.body, chatAnswer("two", i+1))
		}
	}
}

// TestStreamIsNotContinuedByOtherSoftware has engines of two versions cut streams off. A stream may be
// continued only by the version that began it, which here is the engine that cuts it off again.
func TestStreamIsNotContinuedByOtherSoftware(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	versions := []string{"v1", "v2"}
	c, engines := startEnginePair(t, func(config *standin.EngineConfig) {
		config.Software, versions = versions[0], versions[1:]
	})
	for _, e := range engines {
		e.SetFaults(standin.Faults{CutAfter: 7})
	}
	got := c.nodes[0].send(t.Context(), chat("two", true, 18), nil)
	is.NoErr(got.err)
	is.True(got.complete)
	is.Equal(got.body, chatAnswer("two", 18))
	first, second := engines[0].Journal(), engines[1].Journal()
	resumed := slices.ContainsFunc(first, func(entry standin.Entry) bool { return entry.ResumeFrom > 0 })
	if !resumed {
		first, second = second, first
	}
	is.True(slices.ContainsFunc(first, func(entry standin.Entry) bool { return entry.ResumeFrom == 14 }))
	for _, entry := range second {
		is.True(entry.Request != first[len(first)-1].Request)
	}
}
