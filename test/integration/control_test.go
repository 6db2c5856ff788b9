package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/operator"
)

// directLink connects nodes without a proxy.
func directLink(_, _ int, addr string) string { return addr }

// revisionWatcher polls the revision of every node. The revision of a node that reports
// that it is ready must never decrease.
type revisionWatcher struct {
	stop    chan struct{}
	pollers sync.WaitGroup
	// regression describes the first decrease that was seen.
	regression atomic.Pointer[string]
}

// watchRevisions watches the nodes until the end of the test and fails the test if a
// revision decreased.
func watchRevisions(t *testing.T, c *cluster) {
	t.Helper()
	w := &revisionWatcher{stop: make(chan struct{})}
	for _, n := range c.nodes {
		w.pollers.Add(1)
		go w.watch(n)
	}
	t.Cleanup(func() {
		close(w.stop)
		w.pollers.Wait()
		if fault := w.regression.Load(); fault != nil {
			t.Error(*fault)
		}
	})
}

// watch polls one node until the watcher stops.
func (w *revisionWatcher) watch(n *node) {
	defer w.pollers.Done()
	newest := uint64(0)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pollInterval):
		}
		s, ok := n.status()
		if !ok || !s.Ready {
			continue
		}
		if s.Revision < newest {
			fault := fmt.Sprintf("%s showed revision %d after %d", n.name, s.Revision, newest)
			w.regression.CompareAndSwap(nil, &fault)
		}
		newest = s.Revision
	}
}

// contractChanger applies changes of the test contract and counts the accepted ones.
type contractChanger struct {
	version uint64
}

// applyNext applies the next change and repeats it, through one node after another, until
// it is accepted.
func (ch *contractChanger) applyNext(t *testing.T, through []*node) control.ChangeResult {
	t.Helper()
	id := fmt.Sprintf("change-%d", ch.version+1)
	var res control.ChangeResult
	eventually(t, id+" accepted", func() bool {
		for _, n := range through {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			r, err := n.client.Apply(ctx, "studio", operator.Change{ChangeID: id, BaseVersion: ch.version}, []byte(contractText("20s")))
			cancel()
			if err == nil {
				res = r
				return true
			}
		}
		return false
	})
	is.New(t).Equal(res.Version, ch.version+1) // no change is lost or applied twice
	ch.version = res.Version
	return res
}

// waitInForce waits until the nodes are ready with at least the given revision.
func waitInForce(t *testing.T, nodes []*node, revision uint64) {
	t.Helper()
	start := time.Now()
	for _, n := range nodes {
		eventually(t, fmt.Sprintf("revision %d in force at %s", revision, n.name), func() bool {
			s, ok := n.status()
			return ok && s.Ready && s.Revision >= revision
		})
	}
	t.Logf("revision %d in force at %d nodes after %s", revision, len(nodes), time.Since(start).Round(time.Millisecond))
}

// readAudit reads a page of a node's audit log. A node that cannot prove that its state is
// current, as after the loss of the leader, answers 503; it is asked again.
func readAudit(t *testing.T, n *node, since uint64) (page []control.AuditEntry) {
	t.Helper()
	eventually(t, "audit read at "+n.name, func() bool {
		var err error
		page, err = n.client.Audit(t.Context(), since, 1000)
		var refused *operator.APIError
		if errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable {
			return false
		}
		is.New(t).NoErr(err)
		return true
	})
	return page
}

// checkHistory checks the audit log of every node: it has each accepted change once and in
// order, and its chain of digests is intact.
func checkHistory(t *testing.T, nodes []*node, versions uint64) {
	t.Helper()
	is := is.New(t)
	for _, n := range nodes {
		var entries []control.AuditEntry
		for {
			since := uint64(0)
			if len(entries) > 0 {
				since = entries[len(entries)-1].Seq
			}
			page := readAudit(t, n, since)
			entries = append(entries, page...)
			if len(page) == 0 {
				break
			}
		}
		is.Equal(control.VerifyAudit(entries), uint64(0))
		to := uint64(0)
		for _, e := range entries {
			if e.Action == "contract.apply" && e.Outcome == string(control.Accepted) {
				is.Equal(e.From, to)
				to = e.To
			}
		}
		is.Equal(to, versions)
	}
}

// TestChangesSurviveKilledAndFrozenLeaders kills and suspends leaders between changes. No
// accepted change may be lost, applied twice or out of order.
func TestChangesSurviveKilledAndFrozenLeaders(t *testing.T) {
	t.Parallel()
	c := startClusterOfSize(t, 5, directLink)
	watchRevisions(t, c)
	var ch contractChanger
	ch.applyNext(t, c.nodes)
	for range 2 {
		killed := c.waitLeader(t)
		killed.kill()
		res := ch.applyNext(t, c.others(killed))
		waitInForce(t, c.others(killed), res.Revision)
		killed.start(t)
		waitInForce(t, []*node{killed}, res.Revision)

		suspended := c.waitLeader(t)
		suspended.suspend(t)
		res = ch.applyNext(t, c.others(suspended))
		waitInForce(t, c.others(suspended), res.Revision)
		suspended.signal(syscall.SIGCONT)
		waitInForce(t, []*node{suspended}, res.Revision)
	}
	checkHistory(t, c.nodes, ch.version)
}

// TestRestartAfterManyChanges restarts the voters after 500 changes, together with a node
// that was down all the time.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	const count = 500
	c := startClusterOfSize(t, 4, directLink)
	var ch contractChanger
	var last control.ChangeResult
	late := c.nodes[3]
	late.kill()
	for range count {
		last = ch.applyNext(t, c.nodes[:3])
	}
	for _, n := range c.nodes[:3] {
		n.kill()
	}
	for _, n := range c.nodes {
		n.start(t) // the last node starts without state, after compaction
	}
	waitInForce(t, c.nodes, last.Revision)
	checkHistory(t, c.nodes, count)
}

// rejoin deletes the data folder of a node, checks that the node does not start under its
// old member id, and starts it under a new one, which it returns.
func (n *node) rejoin(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	is.NoErr(os.RemoveAll(n.dataDir))
	refused := exec.Command(binaries.node, "serve", "--config", n.configFile)
	out, err := refused.CombinedOutput()
	is.True(err != nil) // a voter that lost its data must not start under its old id
	is.True(strings.Contains(string(out), "--rejoin"))
	out, err = exec.Command(binaries.node, "init", "--rejoin", "--config", n.configFile).CombinedOutput()
	is.NoErr(err)
	n.start(t)
	id, ok := strings.CutPrefix(strings.TrimSpace(string(out)), "member ")
	is.True(ok)
	return id
}

// runMemberCommand repeats a member command of the command line until it is accepted.
func (c *cluster) runMemberCommand(t *testing.T, through *node, args ...string) {
	t.Helper()
	args = append(append([]string{"member"}, args...), "--node", through.operatorAddr, "--token", operatorToken)
	eventually(t, strings.Join(args, " "), func() bool {
		out, err := exec.Command(binaries.node, args...).CombinedOutput()
		if err != nil {
			t.Logf("%s", out)
		}
		return err == nil
	})
}

// TestSecondVoterLostAfterRepair kills a second voter right after a voter that lost its data
// was replaced. The replaced voter must count for the majority by then.
func TestSecondVoterLostAfterRepair(t *testing.T) {
	t.Parallel()
	c := startClusterOfSize(t, 4, directLink)
	watchRevisions(t, c)
	var ch contractChanger
	for range 20 {
		ch.applyNext(t, c.nodes)
	}
	wiped := c.nodes[0]
	wiped.kill()
	ch.applyNext(t, c.others(wiped))
	id := wiped.rejoin(t)
	c.runMemberCommand(t, c.nodes[3], "replace", "1", id)
	second := c.nodes[1]
	second.kill() // right after the repair
	res := ch.applyNext(t, c.others(second))
	waitInForce(t, c.others(second), res.Revision)
	checkHistory(t, c.others(second), ch.version)
	second.start(t)
	waitInForce(t, c.nodes, res.Revision)
	checkHistory(t, c.nodes, ch.version)
}

// exitCode returns the exit status in the error of a command, or -1 if it has none.
func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return -1
}

// TestMemberChangesThatLoseMajorityAreRefused requests member changes with one voter down.
// Changes after which a majority could not be reached must be refused.
func TestMemberChangesThatLoseMajorityAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startClusterOfSize(t, 3, directLink)
	var ch contractChanger
	ch.applyNext(t, c.nodes)
	leader := c.waitLeader(t)
	gone := c.others(leader)[0]
	gone.kill()
	alive := c.others(leader)[1]
	out, err := exec.Command(binaries.node, "member", "remove", fmt.Sprint(c.indexOf(alive)+1), "--node", leader.operatorAddr, "--token", operatorToken).CombinedOutput()
	is.True(err != nil) // only one of the two remaining voters would be reachable
	is.Equal(exitCode(err), 3)
	t.Logf("%s", out)
	out, err = exec.Command(binaries.node, "member", "add", "99", "--node", leader.operatorAddr, "--token", operatorToken).CombinedOutput()
	is.True(err != nil) // no node runs member 99
	is.Equal(exitCode(err), 3)
	t.Logf("%s", out)
	ch.applyNext(t, []*node{leader, alive})
}
