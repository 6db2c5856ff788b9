// Package integration tests the guarantees of the system with real node processes,
// stand-in upstreams and fault-injecting proxies on loopback ports.
package integration

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/operator"
	"github.com/agateslip/agateslip/internal/standin"
	"github.com/agateslip/agateslip/internal/testutil"
)

const (
	// waitTimeout limits every wait for an expected condition.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of an expected condition.
	pollInterval = 20 * time.Millisecond
	// clusterVoters is the number of voters in a test cluster.
	clusterVoters = 3
	// operatorToken is the operator token of every test cluster.
	operatorToken = "integration-operator-token"
	// callerKey is the bearer token of the test customer.
	callerKey = "integration-caller-key"
)

// binaries holds the paths of the programs that TestMain built.
var binaries struct {
	node, standin string
}

// maxParallelClusters limits the tests, and so the clusters, that run at the same time.
const maxParallelClusters = "4"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", maxParallelClusters); err != nil {
		panic(err)
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs into a temporary folder, runs the tests and returns the
// exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "agateslip-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"github.com/agateslip/agateslip/cmd/agateslip", "github.com/agateslip/agateslip/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaries.node = filepath.Join(dir, "agateslip")
	binaries.standin = filepath.Join(dir, "standin")
	return m.Run()
}

// eventually waits until condition holds and fails the test after waitTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met after %s: %s", waitTimeout, what)
}

// host is the loopback address on which all programs of the tests listen.
const host = "127.0.0.1"

// process is a process that a test started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	log    *lockedBuffer
}

// lockedBuffer collects the output of a process. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// startProcess starts a program, which is killed at the end of the test. The end of its
// output is logged if the test fails.
func startProcess(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program, args...), exited: make(chan struct{}), log: &lockedBuffer{}}
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	is.New(t).NoErr(p.cmd.Start())
	go func() {
		defer close(p.exited)
		// The exit status is read from ProcessState.
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if t.Failed() {
			t.Logf("%s %s:\n%s", filepath.Base(program), strings.Join(args, " "), logTail(p.log.String()))
		}
	})
	return p
}

// logTail returns the end of a log, at most maxBytes of it.
func logTail(log string) string {
	const maxBytes = 6000
	if len(log) > maxBytes {
		return "..." + log[len(log)-maxBytes:]
	}
	return log
}

// signal sends a signal unless the process has exited.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// suspend stops the process with SIGSTOP and waits until all its threads have stopped. Until
// then, it may still read and answer what it is sent.
func (p *process) suspend(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(t, "all threads have stopped", func() bool {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		if err != nil || len(threads) == 0 {
			return false
		}
		for _, name := range threads {
			stat, err := os.ReadFile(name)
			// The state follows the name of the command, which is in parentheses.
			_, state, found := strings.Cut(string(stat), ") ")
			if err != nil || !found || !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return true
	})
}

// kill ends the process with SIGKILL and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// waitExit waits for the process to exit and returns its exit status.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("process did not exit in time")
	}
	return p.cmd.ProcessState.ExitCode()
}

// node is one entry node of a cluster and its process.
type node struct {
	*process
	name                                   string
	callerAddr, upstreamAddr, operatorAddr string
	configFile                             string
	// dataDir is the data folder; empty for a node that is not a voter.
	dataDir string
	client  *operator.Client
	// staleClient also accepts replicated state that is not proved to be current.
	staleClient *operator.Client
}

// start starts the process of the node, also after an earlier one has ended.
func (n *node) start(t *testing.T, args ...string) {
	t.Helper()
	n.process = startProcess(t, binaries.node, append([]string{"serve", "--config", n.configFile}, args...)...)
}

// status returns the status of the node, which may be stale. ok is false if the node does
// not answer within a second.
func (n *node) status() (operator.Status, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := n.staleClient.Status(ctx)
	return status, err == nil
}

// cluster is a group of entry nodes, each in a failure domain of its own. The first
// clusterVoters nodes are voters.
type cluster struct {
	nodes []*node
}

// startCluster starts three voters and waits until every node is ready.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	return startClusterWithLinks(t, func(_, _ int, addr string) string { return addr })
}

// startClusterWithLinks starts three voters. Node from connects to node to at the address
// that link returns; addr is the listen address of node to.
func startClusterWithLinks(t *testing.T, link func(from, to int, addr string) string) *cluster {
	t.Helper()
	return startClusterOfSize(t, clusterVoters, link)
}

// startClusterOfSize starts size nodes and waits until they are ready. Only the first
// clusterVoters nodes have a data folder and a vote.
func startClusterOfSize(t *testing.T, size int, link func(from, to int, addr string) string) *cluster {
	t.Helper()
	c := newCluster(t, size, link)
	for _, n := range c.nodes {
		n.start(t, "--init")
	}
	for _, n := range c.nodes {
		c.waitReady(t, n)
	}
	return c
}

// newCluster writes the settings of size nodes and does not start them.
func newCluster(t *testing.T, size int, link func(from, to int, addr string) string) *cluster {
	t.Helper()
	dir := t.TempDir()
	const portsPerNode = 5
	ports := testutil.ReservePorts(t, host, portsPerNode*size)
	port := func(node, i int) string { return ports[portsPerNode*node+i] }
	c := &cluster{}
	for i := range size {
		var peers strings.Builder
		for j := range size {
			addr := port(j, 3)
			if i != j {
				addr = link(i, j, addr)
			}
			vote := ""
			if j < clusterVoters {
				vote = fmt.Sprintf(", voter: %d", j+1)
			}
			fmt.Fprintf(&peers, "  - {node: n%d, addr: %q, domain: d%d, detours: %q%s}\n", j+1, addr, j+1, port(j, 4), vote)
		}
		n := &node{
			name:         fmt.Sprintf("n%d", i+1),
			callerAddr:   port(i, 0),
			upstreamAddr: port(i, 1),
			operatorAddr: port(i, 2),
		}
		n.configFile = filepath.Join(dir, n.name+".yaml")
		if i < clusterVoters {
			n.dataDir = filepath.Join(dir, n.name)
		}
		configText := fmt.Sprintf(`group: integration
node: %s
domain: d%d
listen: {callers: %q, upstreams: %q, operators: %q, peers: %q, detours: %q}
secret: integration-shared-secret
operatorToken: %s
stop: {balancerLag: 300ms}
log: {level: info, format: text}
peers:
%s`, n.name, i+1, n.callerAddr, n.upstreamAddr, n.operatorAddr, port(i, 3), port(i, 4), operatorToken, peers.String())
		if n.dataDir != "" {
			configText += fmt.Sprintf("data: %q\n", n.dataDir)
		}
		is.New(t).NoErr(os.WriteFile(n.configFile, []byte(configText), 0o600))
		n.client = operator.NewClient(n.operatorAddr, operatorToken, "integration")
		n.staleClient = operator.NewClient(n.operatorAddr, operatorToken, "integration")
		n.staleClient.OnStale = func(time.Duration, bool) {}
		c.nodes = append(c.nodes, n)
	}
	return c
}

// waitReady waits until a node reports that it is ready.
func (c *cluster) waitReady(t *testing.T, n *node) {
	t.Helper()
	eventually(t, n.name+" ready", func() bool {
		status, ok := n.status()
		return ok && status.Ready
	})
}

// waitLeader waits until a node reports itself as the leader and returns it.
func (c *cluster) waitLeader(t *testing.T) *node {
	t.Helper()
	var found *node
	eventually(t, "one leader", func() bool {
		for _, n := range c.nodes {
			status, ok := n.status()
			if ok && status.Leader == n.name {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

// others returns all nodes except one.
func (c *cluster) others(excluded *node) []*node {
	var others []*node
	for _, n := range c.nodes {
		if n != excluded {
			others = append(others, n)
		}
	}
	return others
}

// announceAddrs returns the addresses of the nodes to which upstreams announce themselves.
func (c *cluster) announceAddrs() []string {
	var addrs []string
	for _, n := range c.nodes {
		addrs = append(addrs, n.upstreamAddr)
	}
	return addrs
}

// contractText returns the contract of the test customer. wait is a duration with a unit.
func contractText(wait string) string {
	sum := sha256.Sum256([]byte(callerKey))
	return fmt.Sprintf(`customer: studio
keys:
  - {id: test, sha256: %s}
wait: %s
capacity: {replicas: 8, concurrency: 64, rate: 500, burst: 500, queue: 200}
models:
  - {name: m, memory: 4GiB}
  - {name: two, memory: 4GiB, replicas: 2, reserved: 2}
services:
  - name: ledger
    notRepeatable:
      - {methods: [POST], path: /transfers}
`, hex.EncodeToString(sum[:]), wait)
}

// applyContract applies a contract to version base through the command line and waits
// until it is in force at every node.
func (c *cluster) applyContract(t *testing.T, n *node, contract string, base int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "contract.yaml")
	is.New(t).NoErr(os.WriteFile(file, []byte(contract), 0o600))
	out, err := exec.Command(binaries.node, "contract", "apply", "--node", n.operatorAddr, "--token", operatorToken,
		"--base", fmt.Sprint(base), file).CombinedOutput()
	if err != nil {
		t.Fatalf("contract apply: %v\n%s", err, out)
	}
	var revision uint64
	if status, ok := n.status(); ok {
		revision = status.Revision
	}
	for _, other := range c.nodes {
		eventually(t, "contract in force at "+other.name, func() bool {
			status, ok := other.status()
			return ok && status.Revision >= revision && status.Revision > 0
		})
	}
}

// startService starts a ledger service in the test process, so that the test can read its
// journal.
func (c *cluster) startService(t *testing.T, id string, configure func(*standin.ServiceConfig)) *standin.Service {
	t.Helper()
	config := standin.ServiceConfig{ID: id, Domain: "d1", Service: "ledger", Entries: c.announceAddrs(), LeaveGrace: 100 * time.Millisecond}
	if configure != nil {
		configure(&config)
	}
	s := standin.NewService(config)
	is.New(t).NoErr(s.Start(t.Context()))
	t.Cleanup(s.Kill)
	return s
}

// startEngine starts a model engine in the test process. It has memory for one replica and
// copies of the models m and two on disk.
func (c *cluster) startEngine(t *testing.T, id string, configure func(*standin.EngineConfig)) *standin.Engine {
	t.Helper()
	config := standin.EngineConfig{
		ID: id, Domain: "d1", Entries: c.announceAddrs(), Memory: 5 << 30, ChecksFencing: true,
		Copies:     []directory.Copy{{Model: "m", Tier: directory.TierDisk}, {Model: "two", Tier: directory.TierDisk}},
		LeaveGrace: 100 * time.Millisecond, Scale: 0.02, Token: time.Second,
	}
	if configure != nil {
		configure(&config)
	}
	e := standin.NewEngine(config)
	is.New(t).NoErr(e.Start(t.Context()))
	t.Cleanup(e.Kill)
	return e
}

// startStandin starts a stand-in as a process and returns the address it listens on.
func startStandin(t *testing.T, args ...string) (*process, string) {
	t.Helper()
	p := startProcess(t, binaries.standin, args...)
	var ready struct {
		Addr string `json:"addr"`
	}
	eventually(t, "stand-in listening", func() bool {
		line, _, found := strings.Cut(p.log.String(), "\n")
		return found && json.Unmarshal([]byte(line), &ready) == nil
	})
	return p, ready.Addr
}

// waitUpstreams waits until every node lists want upstreams.
func (c *cluster) waitUpstreams(t *testing.T, want int) {
	t.Helper()
	for _, n := range c.nodes {
		eventually(t, fmt.Sprintf("%s knows %d upstreams", n.name, want), func() bool {
			status, ok := n.status()
			return ok && len(status.Upstreams) == want
		})
	}
}
