package integration

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/internal/standin"
)

// TestCallThatCrashesUpstreamsIsRefused repeats a call that crashes every upstream of its service, at all
// nodes and beside sound calls, while the leader is killed. Once the nodes had the time to know it, it
// reaches an upstream on trial only, is refused as not run, and sound calls are served.
func TestCallThatCrashesUpstreamsIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	c.applyContract(t, c.nodes[0], contractText("1500ms"), 0)
	var mu sync.Mutex
	var crashes []time.Time
	var start func(slot int)
	start = func(slot int) {
		c.startService(t, fmt.Sprint("s", slot), func(config *standin.ServiceConfig) {
			config.CrashOn = func(r *http.Request) bool {
				if !strings.HasSuffix(r.URL.Path, "/deadly") {
					return false
				}
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, time.Now())
				if t.Context().Err() == nil {
					time.AfterFunc(400*time.Millisecond, func() { start(slot) })
				}
				return true
			}
		})
	}
	for slot := range 3 {
		start(slot)
	}
	c.waitService(t)
	get := func(n *node, path string) reply {
		return n.send(t.Context(), call{method: "GET", path: "/services/ledger/" + path}, nil)
	}
	const span, noticeTime = 12 * time.Second, 3 * time.Second
	end := time.Now().Add(span)
	killAt := time.Now().Add(4 * time.Second)
	leader := c.waitLeader(t)
	var calls sync.WaitGroup
	for _, n := range c.others(leader) {
		calls.Go(func() {
			for time.Now().Before(end) {
				get(n, "deadly")
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(killAt))
	leader.kill()
	calls.Wait()
	mu.Lock()
	is.True(len(crashes) >= 3)
	known := killAt.Add(noticeTime)
	first, _ := slices.BinarySearchFunc(crashes, known, time.Time.Compare)
	t.Logf("%d crashes, %d of them late", len(crashes), len(crashes)-first)
	is.True(len(crashes)-first <= 3)
	mu.Unlock()
	for _, n := range c.others(leader) {
		eventually(t, "sound call at "+n.name, func() bool { return get(n, "sound").status == http.StatusOK })
		got := get(n, "deadly")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.reason, string(gateway.ReasonCrashesUpstreams))
		is.Equal(got.ran, gateway.NotRun)
	}
}
