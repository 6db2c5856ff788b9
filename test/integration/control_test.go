package integration

import (
	"context"
	"fmt"
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

// direct links nodes without a proxy.
func direct(_, _ int, addr string) string { return addr }

// watcher looks at every node's revision all the time. A node that says that it
// is ready must never show an older revision than it showed before.
type watcher struct {
	stop chan struct{}
	done sync.WaitGroup
	// backward is the first fault found.
	backward atomic.Pointer[string]
}

func watchRevisions(t *testing.T, c *cluster) {
	t.Helper()
	w := &watcher{stop: make(chan struct{})}
	for _, n := range c.nodes {
		w.done.Add(1)
		go w.watch(n)
	}
	t.Cleanup(func() {
		close(w.stop)
		w.done.Wait()
		if fault := w.backward.Load(); fault != nil {
			t.Error(*fault)
		}
	})
}

func (w *watcher) watch(n *node) {
	defer w.done.Done()
	seen := uint64(0)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pollEvery):
		}
		s, ok := n.status()
		if !ok || !s.Ready {
			continue
		}
		if s.Revision < seen {
			fault := fmt.Sprintf("%s showed revision %d after %d", n.name, s.Revision, seen)
			w.backward.CompareAndSwap(nil, &fault)
		}
		seen = s.Revision
	}
}

// changes makes changes of the test contract through one node after another and
// keeps count of the accepted ones.
type changes struct {
	version uint64
}

// make has one change accepted, through any node of those given.
func (ch *changes) make(t *testing.T, through []*node) control.ChangeResult {
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
	is.New(t).Equal(res.Version, ch.version+1) // none lost, none counted twice
	ch.version = res.Version
	return res
}

// inForce waits until the nodes are ready with a revision.
func inForce(t *testing.T, nodes []*node, revision uint64) {
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

// checkHistory compares what every node holds: each accepted change once, in
// order, with an unbroken chain of digests.
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
			page, err := n.client.Audit(t.Context(), since, 1000)
			is.NoErr(err)
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

func TestChangesSurviveKilledAndFrozenLeaders(t *testing.T) {
	t.Parallel()
	c := startMixed(t, 5, direct)
	watchRevisions(t, c)
	var ch changes
	ch.make(t, c.nodes)
	for range 2 {
		killed := c.leader(t)
		killed.kill()
		res := ch.make(t, c.other(killed))
		inForce(t, c.other(killed), res.Revision)
		killed.start(t)
		inForce(t, []*node{killed}, res.Revision)

		frozen := c.leader(t)
		frozen.signal(syscall.SIGSTOP)
		res = ch.make(t, c.other(frozen))
		inForce(t, c.other(frozen), res.Revision)
		frozen.signal(syscall.SIGCONT)
		inForce(t, []*node{frozen}, res.Revision)
	}
	checkHistory(t, c.nodes, ch.version)
}

func TestFiveHundredChangesThenRestartOfEveryNode(t *testing.T) {
	t.Parallel()
	const count = 500
	c := startMixed(t, 4, direct)
	var ch changes
	var last control.ChangeResult
	late := c.nodes[3]
	late.kill()
	for range count {
		last = ch.make(t, c.nodes[:3])
	}
	for _, n := range c.nodes[:3] {
		n.kill()
	}
	for _, n := range c.nodes {
		n.start(t) // the last starts fresh, after compaction
	}
	inForce(t, c.nodes, last.Revision)
	checkHistory(t, c.nodes, count)
}

// rejoin starts a node whose disk was lost under a new member id.
func (n *node) rejoin(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	is.NoErr(os.RemoveAll(n.data))
	refused := exec.Command(programs.node, "serve", "--config", n.settings)
	out, err := refused.CombinedOutput()
	is.True(err != nil) // a wiped voter does not come back under its old id
	is.True(strings.Contains(string(out), "--rejoin"))
	out, err = exec.Command(programs.node, "init", "--rejoin", "--config", n.settings).CombinedOutput()
	is.NoErr(err)
	n.start(t)
	id, ok := strings.CutPrefix(strings.TrimSpace(string(out)), "member ")
	is.True(ok)
	return id
}

// member runs a member command through the command line until it is accepted.
func (c *cluster) member(t *testing.T, through *node, args ...string) {
	t.Helper()
	args = append(append([]string{"member"}, args...), "--node", through.operator, "--token", operatorToken)
	eventually(t, strings.Join(args, " "), func() bool {
		out, err := exec.Command(programs.node, args...).CombinedOutput()
		if err != nil {
			t.Logf("%s", out)
		}
		return err == nil
	})
}

func TestSecondVoterLostRightAfterARepair(t *testing.T) {
	t.Parallel()
	c := startMixed(t, 4, direct)
	watchRevisions(t, c)
	var ch changes
	for range 20 {
		ch.make(t, c.nodes)
	}
	wiped := c.nodes[0]
	wiped.kill()
	ch.make(t, c.other(wiped))
	id := wiped.rejoin(t)
	c.member(t, c.nodes[3], "replace", "1", id)
	second := c.nodes[1]
	second.kill() // right after the repair
	res := ch.make(t, c.other(second))
	inForce(t, c.other(second), res.Revision)
	checkHistory(t, c.other(second), ch.version)
	second.start(t)
	inForce(t, c.nodes, res.Revision)
	checkHistory(t, c.nodes, ch.version)
}

// exitCode is the exit status in a command's error; -1 if it has none.
func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return -1
}

func TestMemberChangesThatEndTheMajorityAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startMixed(t, 3, direct)
	var ch changes
	ch.make(t, c.nodes)
	leader := c.leader(t)
	gone := c.other(leader)[0]
	gone.kill()
	alive := c.other(leader)[1]
	out, err := exec.Command(programs.node, "member", "remove", fmt.Sprint(c.index(alive)+1), "--node", leader.operator, "--token", operatorToken).CombinedOutput()
	is.True(err != nil) // one of two would remain reachable
	is.Equal(exitCode(err), 3)
	t.Logf("%s", out)
	out, err = exec.Command(programs.node, "member", "add", "99", "--node", leader.operator, "--token", operatorToken).CombinedOutput()
	is.True(err != nil) // no node runs it
	is.Equal(exitCode(err), 3)
	t.Logf("%s", out)
	ch.make(t, []*node{leader, alive})
}
