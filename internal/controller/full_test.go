package controller_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/internal/controller"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/storage"
)

var (
	fullRounds = flag.Int("full.rounds", 1, "how often each disk is full in tests of full disks")
	fullSeed   = flag.Uint64("full.seed", 1, "seed of tests of full disks")
)

// processRestartDelay is the pause before a process that ended is started again.
const processRestartDelay = 200 * time.Millisecond

// limitedDisk is the file system of the operating system with a switch that leaves it
// little room.
type limitedDisk struct {
	storage.OS
	mu sync.Mutex
	// cause, if not nil, is the error of what does not fit into room bytes.
	cause error
	room  int
}

// fill leaves room for that many more bytes. What does not fit fails with cause.
func (d *limitedDisk) fill(cause error, room int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cause, d.room = cause, room
}

func (d *limitedDisk) free() { d.fill(nil, 0) }

// take returns how many of the given bytes fit, and the error for the others.
func (d *limitedDisk) take(bytes int) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cause == nil {
		return bytes, nil
	}
	fits := min(bytes, d.room)
	d.room -= fits
	if fits < bytes {
		return fits, &os.PathError{Op: "write", Err: d.cause}
	}
	return fits, nil
}

// Create implements storage.FS.
func (d *limitedDisk) Create(name string) (storage.File, error) {
	if _, err := d.take(1); err != nil {
		return nil, err
	}
	f, err := d.OS.Create(name)
	return limitedFile{f, d}, err
}

// Append implements storage.FS.
func (d *limitedDisk) Append(name string) (storage.File, error) {
	f, err := d.OS.Append(name)
	return limitedFile{f, d}, err
}

// limitedFile is a file on a limitedDisk.
type limitedFile struct {
	storage.File
	disk *limitedDisk
}

func (f limitedFile) Write(p []byte) (int, error) {
	fits, cause := f.disk.take(len(p))
	n, err := f.File.Write(p[:fits])
	if err == nil {
		err = cause
	}
	return n, err
}

// supervised is a node whose process is started again whenever it ends, as on a machine.
type supervised struct {
	*testNode
	limited limitedDisk
	// running is the running node; nil while its process waits for room or is down.
	running atomic.Pointer[controller.Controller]
	// kill ends the current process.
	kill atomic.Pointer[context.CancelFunc]
}

// supervise starts nodes and starts them again until the test ends. The disks of the nodes listed in full
// have no room.
func (c *cluster) supervise(count int, full ...int) []*supervised {
	c.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	nodes := make([]*supervised, count)
	done := make(chan struct{})
	for i := range nodes {
		nodes[i] = &supervised{testNode: c.nodes[i]}
		if slices.Contains(full, i) {
			nodes[i].limited.fill(syscall.ENOSPC, 0)
		}
		go func() {
			defer func() { done <- struct{}{} }()
			for ctx.Err() == nil {
				c.runProcess(ctx, nodes[i])
				time.Sleep(processRestartDelay)
			}
		}()
	}
	c.t.Cleanup(func() {
		stop()
		for range nodes {
			<-done
		}
	})
	return nodes
}

// runProcess runs a node until it ends by itself or is killed.
func (c *cluster) runProcess(ctx context.Context, n *supervised) {
	ctx, kill := context.WithCancel(ctx)
	defer kill()
	n.kill.Store(&kill)
	log := eventlog.New(n.log, eventlog.Fields{"node": n.cfg.Node})
	defer log.Close(time.Second)
	node, err := controller.New(ctx, n.cfg, log, c.decode, fakeOrders{}, controller.WithFiles(&n.limited))
	n.cfg.FirstStart = false
	if err != nil {
		log.Event("process ended at its start", eventlog.Fields{"error": err.Error()})
		return
	}
	n.running.Store(node)
	err = node.Run(ctx)
	n.running.Store(nil)
	if err != nil {
		log.Event("process ended", eventlog.Fields{"error": err.Error()})
	}
}

// streamOutcome is what changeStream has seen.
type streamOutcome struct {
	// acknowledged is the last acknowledged version.
	acknowledged uint64
	// slowest is the longest time until a change was acknowledged.
	slowest time.Duration
}

// changeStream sends configurations one after another to the running nodes in turn, each until it is
// acknowledged, as an operator does, until ctx ends.
func changeStream(ctx context.Context, nodes []*supervised) (seen streamOutcome) {
	turn := 0
	for version := uint64(1); ctx.Err() == nil; version++ {
		start := time.Now()
		for ctx.Err() == nil && seen.acknowledged < version {
			time.Sleep(10 * time.Millisecond)
			turn++
			node := nodes[turn%len(nodes)].running.Load()
			if node == nil {
				continue
			}
			result, err := node.Configure(ctx, version, fmt.Appendf(nil, "change %d", version))
			if err == nil && (result == confstate.Accepted || result == confstate.Repeated) {
				seen.acknowledged = version
				seen.slowest = max(seen.slowest, time.Since(start))
			}
		}
	}
	return seen
}

// leadingNode returns the node that leads, or a random one if none does.
func leadingNode(nodes []*supervised, random *rand.Rand) int {
	for i, n := range nodes {
		if node := n.running.Load(); node != nil && node.Leads() {
			return i
		}
	}
	return random.IntN(len(nodes))
}

// TestGroupOutlastsDisksFullInTurn fills one disk after another for a few seconds, never two at once, while
// changes are sent. Some processes are killed while their disk is full. A spare member takes the place of a voter
// whose disk is full. The test is not parallel to others: it syncs the real disk often.
func TestGroupOutlastsDisksFullInTurn(t *testing.T) {
	for k, group := range []struct {
		name  string
		size  int
		cause error
	}{
		{"full", wantVoters, syscall.ENOSPC},
		{"failing", wantVoters, syscall.EIO},
		{"full with spare", wantVoters + 1, syscall.ENOSPC},
	} {
		t.Run(group.name, func(t *testing.T) {
			t.Parallel()
			newCluster(t, 22400+10*k, group.size).outlastFullDisks(group.cause)
		})
	}
}

// outlastFullDisks runs the nodes of a cluster and fills their disks in turn. It fails the test unless all
// keep their logs and a change is accepted and read back at each node afterwards.
func (c *cluster) outlastFullDisks(cause error) {
	c.t.Helper()
	nodes := c.supervise(len(c.nodes))
	c.waitFor("a group", func() bool { return votersOf(nodes) == len(nodes)*wantVoters })
	ctx, stop := context.WithCancel(context.Background())
	sent := make(chan streamOutcome, 1)
	go func() { sent <- changeStream(ctx, nodes) }()
	random := rand.New(rand.NewPCG(*fullSeed, 1))
	for round := range *fullRounds {
		for i := range nodes {
			if round%2 == 1 {
				i = leadingNode(nodes, random)
			}
			c.fillDisk(nodes[i], cause, random)
		}
	}
	time.Sleep(time.Second)
	stop()
	last := <-sent
	c.t.Logf("%d changes acknowledged, the slowest after %v", last.acknowledged, last.slowest)
	c.requireChange(nodes, last.acknowledged+2)
	for i, n := range nodes {
		log := n.log.Tail(1 << 26)
		if strings.Contains(log, `"log damaged"`) || strings.Count(log, `"log created"`) != 1 {
			c.t.Errorf("node %d lost its log", i)
		}
	}
}

// votersOf returns how many voters all nodes together know of.
func votersOf(nodes []*supervised) (sum int) {
	for _, n := range nodes {
		if node := n.running.Load(); node != nil {
			voters, _ := node.Members()
			sum += voters
		}
	}
	return sum
}

// fillDisk fills a disk for one to three seconds. In one of three cases the process is killed meanwhile.
func (c *cluster) fillDisk(n *supervised, cause error, random *rand.Rand) {
	n.limited.fill(cause, random.IntN(2000))
	time.Sleep(time.Second)
	if random.IntN(3) == 0 {
		(*n.kill.Load())()
	}
	time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
	n.limited.free()
}

// requireChange fails the test unless a change is accepted and read back at each node within
// recoverTime, with the wanted number of voters.
func (c *cluster) requireChange(nodes []*supervised, version uint64) {
	c.t.Helper()
	document := fmt.Sprint("change ", version)
	for end := time.Now().Add(recoverTime); ; time.Sleep(20 * time.Millisecond) {
		err := changedEverywhere(nodes, version, document)
		if err == nil {
			return
		}
		if time.Now().After(end) {
			c.t.Fatal(err)
		}
	}
}

func changedEverywhere(nodes []*supervised, version uint64, document string) error {
	for i, n := range nodes {
		node := n.running.Load()
		if node == nil {
			return errors.Newf("node %d does not run", i)
		}
		result, err := node.Configure(context.Background(), version, []byte(document))
		if err != nil || result != confstate.Accepted && result != confstate.Repeated {
			return errors.Newf("change at node %d: %v, %v", i, result, err)
		}
		got, _, err := node.Configuration(context.Background())
		if err != nil || string(got) != document {
			return errors.Newf("read at node %d: %q, %v", i, got, err)
		}
		if voters, learners := node.Members(); voters != wantVoters || voters+learners != len(nodes) {
			return errors.Newf("node %d knows %d voters and %d learners", i, voters, learners)
		}
	}
	return nil
}

// TestFounderWithoutRoomDoesNotStayMissing starts a group while the disk of one founder is full. Its process is
// killed before it can create its log, so that it starts again as a node which is not a founder.
func TestFounderWithoutRoomDoesNotStayMissing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 22490, wantVoters)
	nodes := c.supervise(wantVoters, 0)
	time.Sleep(time.Second)
	(*nodes[0].kill.Load())()
	time.Sleep(time.Second)
	nodes[0].limited.free()
	c.requireChange(nodes, 1)
}

// TestNodeWaitsForRoomWhateverItsDiskSays starts a node whose disk has no room, as the file system or a quota
// reports it. The process must wait rather than end.
func TestNodeWaitsForRoomWhateverItsDiskSays(t *testing.T) {
	t.Parallel()
	for k, cause := range []error{syscall.ENOSPC, syscall.EDQUOT} {
		t.Run(cause.Error(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 22440+10*k, 1)
			n := &supervised{testNode: c.nodes[0]}
			n.limited.fill(cause, 0)
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c.runProcess(ctx, n)
			}()
			select {
			case <-ended:
				t.Fatal("the process ended")
			case <-time.After(time.Second):
			}
			is.True(n.running.Load() == nil)
			n.limited.free()
			c.waitFor("the node", func() bool { return n.running.Load() != nil })
			stop()
			<-ended
		})
	}
}
