package integration

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/internal/config"
	entry "github.com/agateslip/agateslip/internal/node"
	"github.com/agateslip/agateslip/internal/standin"
	"github.com/agateslip/agateslip/internal/testutil"
)

// startCuttable starts a node in the test process, on paths to the upstreams that can be cut.
func (n *node) startCuttable(t *testing.T, paths *testutil.UpstreamPaths) {
	t.Helper()
	is := is.New(t)
	cfg, err := config.Load(n.configFile)
	is.NoErr(err)
	if cfg.Data != "" {
		_, err = entry.InitVoter(cfg)
		is.NoErr(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	running, err := entry.New(cfg, log, entry.WithDial(paths.Dial))
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- running.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		paths.Close()
	})
}

// TestCallersOfNodeCutOffFromUpstreamsAreServed cuts two of three nodes off from all upstreams, while
// callers and the other nodes reach them. From three seconds later on, callers' first tries there must be
// served at least two thirds as often as at the other node.
func TestCallersOfNodeCutOffFromUpstreamsAreServed(t *testing.T) {
	t.Parallel()
	for _, kind := range []testutil.CutKind{testutil.CutReset, testutil.CutSilent, testutil.CutLasting} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, clusterVoters, func(_, _ int, addr string) string { return addr })
			paths := make([]*testutil.UpstreamPaths, len(c.nodes))
			for i, n := range c.nodes {
				paths[i] = &testutil.UpstreamPaths{}
				n.startCuttable(t, paths[i])
			}
			for _, n := range c.nodes {
				c.waitReady(t, n)
			}
			c.startService(t, "s1", nil)
			c.startService(t, "s2", nil)
			for _, id := range []string{"e1", "e2", "e3", "e4"} {
				c.startEngine(t, id, func(e *standin.EngineConfig) { e.Token = time.Millisecond })
			}
			c.applyContract(t, c.nodes[0], contractText("10s"), 0)
			c.waitUpstreams(t, 6)
			served := func(n *node, id string) int {
				total := 0
				for _, got := range []reply{
					n.send(t.Context(), call{method: "GET", path: "/services/ledger/health"}, nil),
					n.send(t.Context(), transfer(id, ""), nil),
					n.send(t.Context(), chat("m", true, 5), nil),
				} {
					if got.answered() {
						total++
					}
				}
				return total
			}
			for i, n := range c.nodes {
				eventually(t, n.name+" serves", func() bool { return served(n, fmt.Sprint("before", i, time.Now().UnixNano())) == 3 })
			}
			paths[0].Cut(kind)
			paths[1].Cut(kind)
			time.Sleep(3 * time.Second)
			count := make([]int, len(c.nodes))
			const rounds = 10
			for round := range rounds {
				for i, n := range c.nodes {
					count[i] += served(n, fmt.Sprint("t", round, "-", i))
				}
			}
			t.Logf("served of %d first tries: %d and %d at the nodes that are cut off, %d at the other", 3*rounds, count[0], count[1], count[2])
			is.True(count[2] >= 3*rounds*9/10)
			is.True(3*(count[0]+count[1]) >= 2*2*count[2])
		})
	}
}
