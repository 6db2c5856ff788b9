package integration

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/gateway"
)

// TestColdStreamedRequestThroughThreeNodes runs the whole path with processes only: a cold
// model is loaded and streamed, run-once calls run, and all programs stop cleanly.
func TestColdStreamedRequestThroughThreeNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	_, store := startStandin(t, "store", "--scale", "0.05")
	common := func(id, domain string) []string {
		args := []string{"--id", id, "--domain", domain, "--scale", "0.05", "--leave-grace", "100ms"}
		for _, entry := range c.announceAddrs() {
			args = append(args, "--entry", entry)
		}
		return args
	}
	engineArgs := append([]string{"engine", "--store", store, "--copy", "m=disk"}, common("e1", "d1")...)
	engine, engineAddr := startStandin(t, engineArgs...)
	service, serviceAddr := startStandin(t, append([]string{"service", "--service", "ledger"}, common("s1", "d2")...)...)
	c.applyContract(t, c.nodes[0], contractText("20s"), 0)
	c.waitUpstreams(t, 2)

	got := c.nodes[1].sendUntilRun(t.Context(), chat("m", true, 40))
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.True(got.complete)
	is.Equal(got.body, chatAnswer("m", 40))
	is.Equal(got.ran, gateway.DidRun)
	is.Equal(len(readJournal(t, engineAddr)), 1)

	for i, n := range c.nodes {
		key := fmt.Sprintf("k%d", i)
		got = n.sendUntilRun(t.Context(), transfer(key, ""))
		is.Equal(got.status, http.StatusOK)
		is.Equal(countRuns(readJournal(t, serviceAddr), key), 1)
	}

	for _, n := range c.nodes {
		n.signal(syscall.SIGTERM)
	}
	for _, n := range c.nodes {
		is.Equal(n.waitExit(t), 0)
	}
	engine.signal(syscall.SIGTERM)
	service.signal(syscall.SIGTERM)
	is.Equal(engine.waitExit(t), 0)
	is.Equal(service.waitExit(t), 0)
}
