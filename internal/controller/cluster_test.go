package controller_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/controller"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/testutil"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/residency"
	"github.com/agateslip/agateslip/routes"
)

// waitTimeout bounds each wait of a test. A healthy group needs about a second.
const waitTimeout = 30 * time.Second

// cluster is a group of control nodes on loopback addresses, each in its own failure
// domain. Each test uses a different port.
type cluster struct {
	t      *testing.T
	port   int
	nodes  []*testNode
	decode controller.Decoder
	// applyDelay is how much longer each log entry takes to apply on nodes started next.
	applyDelay time.Duration
	// membershipInterval, if not zero, is the interval of membership checks of nodes started next.
	membershipInterval time.Duration
}

type testNode struct {
	cfg  config.Managed
	node *controller.Controller
	stop func()
	log  *testutil.LogBuffer
	disk controlledDisk
}

// fakeOrders simulates engines that refuse every order.
type fakeOrders struct{}

func (fakeOrders) Order(context.Context, fleet.Upstream, residency.Order, string, uint64) (residency.Answer, upstreamconn.Provenance) {
	return residency.Refused, upstreamconn.Provenance{}
}

func (fakeOrders) Report(context.Context, fleet.Upstream) (*residency.Report, error) {
	return &residency.Report{}, nil
}

func decode(document []byte) (*routes.Configuration, error) {
	return &routes.Configuration{Version: uint64(len(document)), Services: []routes.Service{{Name: "s"}}}, nil
}

// newCluster prepares the settings of n nodes without starting them. The first three are
// the seeds.
func newCluster(t *testing.T, port, n int) *cluster {
	c := &cluster{t: t, port: port, decode: decode}
	dir := t.TempDir()
	for i := range n {
		c.nodes = append(c.nodes, &testNode{cfg: c.settings(i, filepath.Join(dir, fmt.Sprint(i))), log: &testutil.LogBuffer{}})
	}
	t.Cleanup(func() {
		for i := range c.nodes {
			c.kill(i)
			if t.Failed() {
				t.Logf("node %d:\n%s", i, c.nodes[i].log.Tail(3000))
				c.nodes[i].log.KeepIfFailed(t, c.nodes[i].cfg.Node)
			}
		}
	})
	return c
}

func (c *cluster) settings(i int, data string) config.Managed {
	host := func(i int) string { return testutil.Host(i + 1) }
	return config.Managed{
		Node: fmt.Sprint("core-", i), Domain: fmt.Sprint("d", i), FirstStart: true, Data: data, Losses: 2, CatchUp: contract.Duration(catchUpTime),
		Secret: "0123456789abcdef", Heartbeat: contract.Duration(time.Second), Stop: contract.Duration(5 * time.Second),
		Seeds: []string{fmt.Sprintf("%s:%d", host(0), c.port), fmt.Sprintf("%s:%d", host(1), c.port), fmt.Sprintf("%s:%d", host(2), c.port)},
		Listen: config.ManagedListen{
			Operators: fmt.Sprintf("%s:%d", host(i), c.port), Links: fmt.Sprintf("%s:%d", host(i), c.port+1),
		},
		Store: config.Store{Width: 4, AdapterWidth: 30}, MemoryMB: 200,
	}
}

// start starts nodes from the contents of their data folders.
func (c *cluster) start(indices ...int) {
	c.t.Helper()
	for _, i := range indices {
		n := c.nodes[i]
		log := eventlog.New(n.log, eventlog.Fields{"node": n.cfg.Node})
		node, err := controller.New(context.Background(), n.cfg, log, c.decode, fakeOrders{}, controller.WithFiles(&n.disk))
		if err != nil {
			c.t.Fatal(err)
		}
		node.SlowApplication(c.applyDelay)
		if c.membershipInterval > 0 {
			node.SetMembershipInterval(c.membershipInterval)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := node.Run(ctx); err != nil {
				c.t.Logf("node %d: %v", i, err)
			}
		}()
		n.node = node
		n.stop = func() {
			cancel()
			<-done
			log.Close(time.Second)
		}
		n.cfg.FirstStart = false
	}
}

// kill stops nodes. The changes that they acknowledged are on their disks.
func (c *cluster) kill(indices ...int) {
	for _, i := range indices {
		if n := c.nodes[i]; n.stop != nil {
			n.stop()
			n.stop, n.node = nil, nil
		}
	}
}

// wipe deletes the data folder of a node.
func (c *cluster) wipe(i int) {
	c.t.Helper()
	if err := os.RemoveAll(c.nodes[i].cfg.Data); err != nil {
		c.t.Fatal(err)
	}
}

// configure sends a configuration to a node, retrying until it is decided.
func (c *cluster) configure(i int, version uint64, document string) confstate.Result {
	c.t.Helper()
	result, _ := c.decide(i, version, document)
	return result
}

// accept sends a configuration to a node, retrying until it is decided, and fails the test unless it was accepted. One that an
// undecided try put in force counts as accepted.
func (c *cluster) accept(i int, version uint64, document string) {
	c.t.Helper()
	result, undecided := c.decide(i, version, document)
	if result != confstate.Accepted && (!undecided || result != confstate.Repeated) {
		c.t.Fatalf("version %d was %v", version, result)
	}
}

// decide is configure that also reports whether a try was undecided.
func (c *cluster) decide(i int, version uint64, document string) (result confstate.Result, undecided bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		result, err := c.nodes[i].node.Configure(context.Background(), version, []byte(document))
		if err == nil {
			return result, undecided
		}
		undecided = true
	}
	c.t.Fatalf("version %d was not decided", version)
	return 0, true
}

// read reads the configuration through a node, retrying until the read is confirmed.
func (c *cluster) read(i int) (document string, version uint64) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		document, version, err := c.nodes[i].node.Configuration(context.Background())
		if err == nil {
			return string(document), version
		}
	}
	c.t.Fatalf("node %d: configuration read not confirmed", i)
	return "", 0
}

// wantVoters is the number of voters in a group that tolerates two lost nodes.
const wantVoters = 5

// waitFor polls a condition until it holds.
func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for %s", what)
}

// waitForVoters waits until a node knows of all voters and no learner.
func (c *cluster) waitForVoters(i int) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("%d voters at node %d", wantVoters, i), func() bool {
		voters, learners := c.nodes[i].node.Members()
		return voters == wantVoters && learners == 0
	})
}

func TestSeedsFormGroupAndOthersJoin(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17310, 5)
	c.start(4, 1, 0, 3, 2)
	c.accept(4, 7, "seven")
	is.Equal(c.configure(1, 7, "seven"), confstate.Repeated)
	is.Equal(c.configure(2, 7, "other"), confstate.Conflict)
	is.Equal(c.configure(3, 5, "five"), confstate.Overtaken)
	for i := range 5 {
		document, version := c.read(i)
		is.Equal(document, "seven")
		is.Equal(version, uint64(7))
		c.waitForVoters(i)
	}
}

// TestGroupSurvivesTwoWipedDisksAndPowerLoss checks that a group of five keeps
// acknowledged changes when all nodes stop and two disks are wiped, which is the worst
// loss that it has to tolerate. A disk is lost before that, so that the members differ
// from the founders.
func TestGroupSurvivesTwoWipedDisksAndPowerLoss(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17320, 5)
	c.start(0, 1, 2, 3, 4)
	c.waitForVoters(0)
	c.kill(4)
	c.wipe(4)
	c.start(4)
	c.accept(4, 1, "one")
	c.waitForVoters(4)
	// Two members restart after the membership change and have to find a leader that they
	// know only from their own logs.
	c.kill(0, 3)
	c.accept(1, 2, "two")
	c.start(0, 3)
	c.waitForVoters(0)
	c.accept(0, 3, "three")
	c.kill(0, 1, 2, 3, 4)
	c.wipe(2)
	c.wipe(4)
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		document, _ := c.read(i)
		is.Equal(document, "three")
	}
}

// TestReplacementMemberTakesVacantSeat checks that a new node at another address becomes
// a voter in place of a member that is gone for good.
func TestReplacementMemberTakesVacantSeat(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17330, 6)
	c.start(0, 1, 2, 3, 4)
	c.accept(0, 1, "one")
	c.waitForVoters(0)
	c.kill(1)
	c.nodes[5].cfg.FirstStart = false
	c.start(5)
	document, _ := c.read(5)
	is.Equal(document, "one")
	c.waitForVoters(5)
	// The group has five voters again and tolerates two more losses.
	c.kill(0, 2)
	c.accept(5, 2, "two")
}

// TestConfigureNeedsThreeDisks guards against acknowledging a change that is on two disks
// only. Those are a majority of a group of three, but both may be lost at once.
func TestConfigureNeedsThreeDisks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17340, 3)
	c.start(0, 1)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); {
		_, err := c.nodes[0].node.Configure(context.Background(), 1, []byte("one"))
		is.True(err != nil)
	}
	c.start(2)
	result := c.configure(1, 1, "one")
	is.True(result == confstate.Accepted || result == confstate.Repeated)
}

// TestOrderLeaseIsShortenedOnlyIfAllMembersAnswer kills the orderer. The next one waits for
// the order lease of a member that does not answer, and no longer once it has restarted:
// a process that has sent no order has none in flight. Where engines do not check fences,
// the lease is never shortened.
func TestOrderLeaseIsShortenedOnlyIfAllMembersAnswer(t *testing.T) {
	for _, fencesChecked := range []bool{true, false} {
		t.Run(fmt.Sprint("fences checked ", fencesChecked), func(t *testing.T) {
			is := is.New(t)
			port := 17450
			if fencesChecked {
				port = 17460
			}
			c := newCluster(t, port, 5)
			for _, n := range c.nodes {
				n.cfg.FencesChecked, n.cfg.OrderLease = fencesChecked, contract.Duration(time.Minute)
			}
			c.start(0, 1, 2, 3, 4)
			c.waitForVoters(0)
			orderer := -1
			c.waitFor("an orderer", func() bool {
				for i, n := range c.nodes {
					if strings.Contains(n.log.Tail(1<<20), `"msg":"sending orders"`) {
						orderer = i
					}
				}
				return orderer >= 0
			})
			c.kill(orderer)
			shortened := func() bool {
				for _, n := range c.nodes {
					if strings.Contains(n.log.Tail(1<<20), `"msg":"order lease passed"`) {
						return true
					}
				}
				return false
			}
			c.waitFor("another orderer", func() bool {
				for i, n := range c.nodes {
					if i != orderer && strings.Contains(n.log.Tail(1<<20), `"msg":"sending orders"`) {
						return true
					}
				}
				return false
			})
			time.Sleep(500 * time.Millisecond)
			is.True(!shortened()) // the killed member does not answer
			c.start(orderer)
			if fencesChecked {
				c.waitFor("the end of the lease", shortened)
				return
			}
			time.Sleep(1500 * time.Millisecond)
			is.True(!shortened())
		})
	}
}

// TestNewLeaderAppliesLogBeforeItDecides restarts a group whose state takes long to apply. A
// new leader holds its lease before it has applied the entries that added the members which
// ask to join, and that name the last orderer.
func TestNewLeaderAppliesLogBeforeItDecides(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17470, 5)
	c.start(0, 1, 2)
	c.accept(0, 1, "one")
	c.start(3, 4)
	for i := range 5 {
		c.waitForVoters(i)
	}
	logged := func(text string) (count int) {
		for _, n := range c.nodes {
			count += strings.Count(n.log.Tail(1<<20), text)
		}
		return count
	}
	c.waitFor("an orderer", func() bool { return logged(`"msg":"sending orders"`) > 0 })
	c.kill(0, 1, 2, 3, 4)
	c.applyDelay = 150 * time.Millisecond // over a second for the whole log
	c.start(0, 1, 2, 3, 4)
	for i := range 5 {
		document, _ := c.read(i)
		is.Equal(document, "one")
		c.waitForVoters(i)
	}
	for _, message := range []string{"retired member asked to join", "member was replaced", "member removed"} {
		is.Equal(logged(fmt.Sprintf("%q", message)), 0) // all five are members
	}
	is.Equal(logged(`"before":"","fence"`), 1) // only the first orderer has none before it
}

// TestOrderLeaseOutlastsRestarts kills the orderer and restarts the others, so that one that
// had claimed the role leads again. It still waits for the order lease of the killed one.
func TestOrderLeaseOutlastsRestarts(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17480, 3)
	for _, n := range c.nodes {
		n.cfg.Losses, n.cfg.OrderLease = 1, contract.Duration(time.Minute)
	}
	claims := regexp.MustCompile(`"msg":"sending orders","node":"core-(\d)".*"waitMillis":(\d+)`)
	claimed := func() (all [][]string) {
		for _, n := range c.nodes {
			all = append(all, claims.FindAllStringSubmatch(n.log.Tail(1<<20), -1)...)
		}
		return all
	}
	c.start(0, 1, 2)
	c.waitFor("an orderer", func() bool { return len(claimed()) > 0 })
	first := int(claimed()[0][1][0] - '0')
	others := []int{(first + 1) % 3, (first + 2) % 3}
	c.kill(first)
	for round := range 6 {
		c.waitFor("another orderer", func() bool { return len(claimed()) > round+1 })
		c.kill(others...)
		c.start(others...)
	}
	waits := 0
	for _, claim := range claimed() {
		if claim[2] != "0" {
			waits++
		}
	}
	is.Equal(waits, len(claimed())-1) // all but the first wait
}
