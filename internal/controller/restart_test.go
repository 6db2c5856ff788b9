package controller_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/quarantine"
	"github.com/agateslip/agateslip/routes"
)

const (
	// recoverTime is how long after a restart of all nodes the group may need until it
	// answers reads, and catchUpTime is how long after the start of its successor a lost
	// node may still count as lost. Both are the shortest bounds of any deployment.
	recoverTime = 12 * time.Second
	catchUpTime = 4 * time.Second
)

// restartWithTwoDisksLost stops all running nodes, wipes two of them and starts the given
// nodes.
func (c *cluster) restartWithTwoDisksLost(wiped [2]int, started ...int) {
	c.t.Helper()
	for i := range c.nodes {
		c.kill(i)
	}
	c.wipe(wiped[0])
	c.wipe(wiped[1])
	c.start(started...)
}

// requireReads fails the test unless the nodes return the document within recoverTime.
func (c *cluster) requireReads(document string, indices ...int) {
	c.t.Helper()
	start := time.Now()
	for _, i := range indices {
		if got, _ := c.read(i); got != document {
			c.t.Fatalf("node %d returned %q, want %q", i, got, document)
		}
	}
	if took := time.Since(start); took > recoverTime {
		c.t.Fatalf("reads took %v", took)
	}
}

// leader returns the node that leads. No node may have lost the lead before.
func (c *cluster) leader() int {
	leader := -1
	c.waitFor("a leader", func() bool {
		leader = slices.IndexFunc(c.nodes, func(n *testNode) bool {
			return strings.Contains(n.log.Tail(1<<20), `"msg":"leading"`)
		})
		return leader >= 0
	})
	return leader
}

// TestLongLogIsAppliedInTimeAfterRestart restarts a group on slow VMs, where one
// configuration takes 85 ms to decode, after as many changes as may follow a snapshot.
func TestLongLogIsAppliedInTimeAfterRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 17730, 5)
	c.start(0, 1, 2, 3, 4)
	c.waitForVoters(0)
	const changes = 240
	for v := range changes {
		c.accept(0, uint64(v+1), fmt.Sprint("change ", v))
	}
	c.decode = func(document []byte) (*routes.Configuration, error) {
		time.Sleep(85 * time.Millisecond)
		return decode(document)
	}
	c.restartWithTwoDisksLost([2]int{2, 4}, 0, 1, 2, 3, 4)
	c.requireReads(fmt.Sprint("change ", changes-1), 0, 1, 3)
}

// TestGoneVoterIsReplacedBeforeTwoDisksAreLost replaces a node that is gone for good by one
// at another address. Once that has had its time to catch up, two more disks may be lost.
func TestGoneVoterIsReplacedBeforeTwoDisksAreLost(t *testing.T) {
	t.Parallel()
	for k, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 17740+10*k, 6)
			c.start(0, 1, 2, 3, 4)
			for i := range 5 {
				c.waitForVoters(i)
			}
			c.accept(0, 1, "one")
			leader := c.leader()
			gone := leader
			if role == "follower" {
				gone = (leader + 1) % 5
			}
			c.kill(gone)
			c.nodes[5].cfg.FirstStart = false
			c.start(5)
			time.Sleep(catchUpTime)
			c.accept(5, 2, "two")
			wiped := [2]int{(gone + 1) % 5, (gone + 2) % 5}
			intact := []int{(gone + 3) % 5, (gone + 4) % 5, 5}
			c.restartWithTwoDisksLost(wiped, append(wiped[:], intact...)...)
			c.requireReads("two", intact...)
		})
	}
}

// TestRetiredMemberHasNoVote replaces a silent voter. A member that is told of its retirement
// deletes its log, so that it must not be told while the group still counts its vote.
func TestRetiredMemberHasNoVote(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 17760, 6)
	for _, n := range c.nodes {
		n.cfg.CatchUp = contract.Duration(400 * time.Millisecond) // retired after 12 s
	}
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	leader := c.leader()
	silent := (leader + 1) % 5
	id, err := storage.ReadIdentity(storage.OS{}, c.nodes[silent].cfg.Data)
	is.NoErr(err)
	c.kill(silent)
	c.nodes[5].cfg.FirstStart = false
	c.start(5)
	retiredBy := c.joinRequester(confstate.Member{
		ID: uint64(id.Member), Node: c.nodes[silent].cfg.Node,
		Link: c.nodes[silent].cfg.Listen.Links, Operators: c.nodes[silent].cfg.Listen.Operators,
	})
	c.waitFor("the retirement", func() bool {
		for i, n := range c.nodes { // another node may lead by now
			if n.node == nil || !retiredBy(i) {
				continue
			}
			voters, _ := n.node.Members()
			is.Equal(voters, wantVoters) // the successor, and no longer the silent member
			return true
		}
		return false
	})
}

// joinRequester returns a function that asks a node to add a member with a log, and reports
// whether the node answers that the member is retired.
func (c *cluster) joinRequester(member confstate.Member) func(asked int) bool {
	c.t.Helper()
	mesh := c.connect()
	return func(asked int) bool {
		var answer nodelink.JoinAnswer
		link := c.nodes[asked].cfg.Listen.Links
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := mesh.Call(ctx, link, nodelink.Join, nodelink.JoinRequest{Member: member}, &answer)
		return err == nil && answer.Retired
	}
}

// connect returns connections to all nodes, as another node has them.
func (c *cluster) connect() *peer.Mesh {
	c.t.Helper()
	return c.connectAs("requester", "127.0.0.1:0")
}

// connectAs is connect for a node of the given name that listens at addr. It answers heartbeats and no
// messages.
func (c *cluster) connectAs(self, addr string) *peer.Mesh {
	c.t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	options := peer.Options{Self: self, Addr: addr, Secret: c.nodes[0].cfg.Secret, Mux: peer.NewMux(), Log: logger}
	for _, n := range c.nodes {
		options.Peers = append(options.Peers, peer.Peer{Name: n.cfg.Listen.Links, Addr: n.cfg.Listen.Links})
	}
	mesh, err := peer.New(options)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := mesh.Run(ctx); err != nil {
			c.t.Log(err)
		}
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
	return mesh
}

// TestReplacedVoterKeepsItsLog checks that a voter which returns soon after another member
// took its place is a member again, with its log.
func TestReplacedVoterKeepsItsLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 17770, 6)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	leader := c.leader()
	silent := (leader + 1) % 5
	c.kill(silent)
	c.nodes[5].cfg.FirstStart = false
	c.start(5)
	c.waitFor("the replacement", func() bool {
		// Another node may lead by now.
		return slices.ContainsFunc(c.nodes, func(n *testNode) bool {
			return strings.Contains(n.log.Tail(1<<20), `"msg":"lost voter removed"`)
		})
	})
	c.waitForVoters(leader)
	c.start(silent)
	c.waitFor("the return", func() bool {
		voters, learners := c.nodes[leader].node.Members()
		return voters == wantVoters && learners == 1
	})
	c.accept(silent, 1, "one")
	is.Equal(strings.Count(c.nodes[silent].log.Tail(1<<20), `"log created"`), 1) // only at the first start
}

// TestQuarantineSurvivesRestart reports crashes of engines that have a part of a prompt in
// common, and restarts all nodes. The next leader tells entry nodes of the part.
func TestQuarantineSurvivesRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 17790, 5)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	report := nodelink.DemandRequest{Served: []quarantine.Trait{{Service: "s", ID: "first"}}}
	for i := range 3 {
		report.Losses = append(report.Losses, quarantine.Loss{
			Engine: fleet.Incarnation{ID: fmt.Sprint("e", i)}, Service: "s", Traits: []string{"bad", "first"},
		})
	}
	mesh := c.connect()
	call := func(method string, request, answer any) bool {
		return slices.ContainsFunc(c.nodes, func(n *testNode) bool {
			return mesh.Call(context.Background(), n.cfg.Listen.Links, method, request, answer) == nil
		})
	}
	quarantined := func() bool {
		var answer nodelink.WatchAnswer
		return call(nodelink.Watch, nodelink.WatchRequest{Entry: true}, &answer) && answer.Quarantine != nil &&
			quarantine.Equal(answer.Quarantine.InForce, []quarantine.Signature{{Service: "s", Traits: []string{"bad"}}})
	}
	c.waitFor("the report", func() bool { return call(nodelink.Demand, report, &nodelink.DemandAnswer{}) })
	c.waitFor("the quarantine", quarantined)
	c.kill(0, 1, 2, 3, 4)
	c.start(0, 1, 2, 3, 4)
	c.waitFor("the quarantine after the restart", quarantined)
}

// TestEvidenceSurvivesRestart reports two crashes of upstreams that ran the same request, restarts all nodes
// and reports the third to the next leader, which quarantines the request. Its trial and the end of its
// quarantine, the only one, survive likewise.
func TestEvidenceSurvivesRestart(t *testing.T) {
	t.Parallel()
	requireEvidenceSurvives(t, 17990, 0)
}

// TestEvidenceIsNotLostBeforeItIsApplied does the same where the next leader leads before it has applied the evidence.
func TestEvidenceIsNotLostBeforeItIsApplied(t *testing.T) {
	t.Parallel()
	requireEvidenceSurvives(t, 18260, 50*time.Millisecond)
}

// requireEvidenceSurvives fails the test unless evidence survives a restart of all nodes, which then take applyDelay longer to
// apply each entry of the log.
func requireEvidenceSurvives(t *testing.T, port int, applyDelay time.Duration) {
	t.Helper()
	c := newCluster(t, port, 5)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	request := quarantine.RequestID("deadly")
	loss := func(i int) quarantine.Loss {
		return quarantine.Loss{Engine: fleet.Incarnation{ID: fmt.Sprint("e", i)}, Service: "s", Traits: []string{request}}
	}
	mesh := c.connect()
	call := func(method string, request, answer any) bool {
		return slices.ContainsFunc(c.nodes, func(n *testNode) bool {
			return mesh.Call(context.Background(), n.cfg.Listen.Links, method, request, answer) == nil
		})
	}
	report := func(r nodelink.DemandRequest) {
		c.waitFor("the report", func() bool { return call(nodelink.Demand, r, &nodelink.DemandAnswer{}) })
	}
	state := func() *nodelink.QuarantineState {
		var answer nodelink.WatchAnswer
		if !call(nodelink.Watch, nodelink.WatchRequest{Entry: true}, &answer) {
			return nil
		}
		return answer.Quarantine
	}
	restart := func() {
		time.Sleep(500 * time.Millisecond) // until the evidence has been replicated
		c.kill(0, 1, 2, 3, 4)
		c.applyDelay = applyDelay
		c.start(0, 1, 2, 3, 4)
	}
	report(nodelink.DemandRequest{Losses: []quarantine.Loss{loss(0), loss(1)}})
	restart()
	report(nodelink.DemandRequest{Losses: []quarantine.Loss{loss(2)}})
	c.waitFor("a trial", func() bool { s := state(); return s != nil && len(s.Trials) == 1 })
	report(nodelink.DemandRequest{Served: []quarantine.Trait{{Service: "s", ID: request}}})
	c.waitFor("the end of the quarantine", func() bool { s := state(); return s != nil && len(s.InForce) == 0 })
	restart()
	c.waitFor("an empty quarantine after the restart", func() bool { s := state(); return s != nil && len(s.InForce) == 0 })
}
