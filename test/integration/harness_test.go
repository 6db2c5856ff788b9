// Package integration has tests of the promises with real node processes,
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
	// patience bounds every wait for something that must happen.
	patience = 30 * time.Second
	// pollEvery is the interval of looking whether it has happened.
	pollEvery = 20 * time.Millisecond
	// clusterVoters is the number of nodes of a test cluster that have a vote.
	clusterVoters = 3
	// operatorToken is the operators' token of every test cluster.
	operatorToken = "integration-operator-token"
	// callerKey is the bearer token of the test customer.
	callerKey = "integration-caller-key"
)

// programs holds the binaries that TestMain built.
var programs struct {
	node, standin string
}

// clusters bounds the groups of nodes that run at once.
const clusters = "4"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", clusters); err != nil {
		panic(err)
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs into a temporary folder and runs the tests.
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
	programs.node = filepath.Join(dir, "agateslip")
	programs.standin = filepath.Join(dir, "standin")
	return m.Run()
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pollEvery) {
		if condition() {
			return
		}
	}
	t.Fatalf("after %s: not yet %s", patience, what)
}

// host is the loopback host of all programs of the tests.
const host = "127.0.0.1"

// process is a process that a test started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	log    *lockedBuffer
}

// lockedBuffer collects a process's output.
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

// startProcess starts a program; the test's end kills it.
func startProcess(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program, args...), exited: make(chan struct{}), log: &lockedBuffer{}}
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	is.New(t).NoErr(p.cmd.Start())
	go func() {
		defer close(p.exited)
		// The state of the exit is read from ProcessState.
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if t.Failed() {
			t.Logf("%s %s:\n%s", filepath.Base(program), strings.Join(args, " "), tail(p.log.String()))
		}
	})
	return p
}

// tail is the end of a log.
func tail(log string) string {
	const most = 6000
	if len(log) > most {
		return "..." + log[len(log)-most:]
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

// kill ends the process by SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// waitExit waits for the process to end and returns its exit status.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(patience):
		t.Fatal("process does not end")
	}
	return p.cmd.ProcessState.ExitCode()
}

// node is one entry node of a cluster.
type node struct {
	*process
	name                         string
	callers, upstreams, operator string
	settings                     string
	// data is the data folder; empty without a vote.
	data   string
	client *operator.Client
	// view shows what the node knows, proved to be current or not.
	view *operator.Client
}

// start starts the node's process, again after an end.
func (n *node) start(t *testing.T, args ...string) {
	t.Helper()
	n.process = startProcess(t, programs.node, append([]string{"serve", "--config", n.settings}, args...)...)
}

// status is the node's view; ok is false if it does not answer.
func (n *node) status() (operator.Status, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := n.view.Status(ctx)
	return status, err == nil
}

// cluster is a group of entry nodes, each a voter in a domain of its own.
type cluster struct {
	nodes []*node
}

// startCluster starts a group and waits until every node is ready.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	return startLinked(t, func(_, _ int, addr string) string { return addr })
}

// startLinked starts a group whose node from reaches node to at the address
// that link returns for the node's own.
func startLinked(t *testing.T, link func(from, to int, addr string) string) *cluster {
	t.Helper()
	return startMixed(t, clusterVoters, link)
}

// startMixed starts a group of which only the first nodes have a disk and a
// vote.
func startMixed(t *testing.T, size int, link func(from, to int, addr string) string) *cluster {
	t.Helper()
	dir := t.TempDir()
	ports := testutil.ReservePorts(t, host, 4*size)
	c := &cluster{}
	for i := range size {
		var peers strings.Builder
		for j := range size {
			addr := ports[4*j+3]
			if i != j {
				addr = link(i, j, addr)
			}
			vote := ""
			if j < clusterVoters {
				vote = fmt.Sprintf(", voter: %d", j+1)
			}
			fmt.Fprintf(&peers, "  - {node: n%d, addr: %q, domain: d%d%s}\n", j+1, addr, j+1, vote)
		}
		n := &node{
			name:      fmt.Sprintf("n%d", i+1),
			callers:   ports[4*i],
			upstreams: ports[4*i+1],
			operator:  ports[4*i+2],
		}
		n.settings = filepath.Join(dir, n.name+".yaml")
		if i < clusterVoters {
			n.data = filepath.Join(dir, n.name)
		}
		settings := fmt.Sprintf(`group: integration
node: %s
domain: d%d
listen: {callers: %q, upstreams: %q, operators: %q, peers: %q}
secret: integration-shared-secret
operatorToken: %s
stop: {balancerLag: 300ms}
log: {level: info, format: text}
peers:
%s`, n.name, i+1, n.callers, n.upstreams, n.operator, ports[4*i+3], operatorToken, peers.String())
		if n.data != "" {
			settings += fmt.Sprintf("data: %q\n", n.data)
		}
		is.New(t).NoErr(os.WriteFile(n.settings, []byte(settings), 0o600))
		n.client = operator.NewClient(n.operator, operatorToken, "integration")
		n.view = operator.NewClient(n.operator, operatorToken, "integration")
		n.view.Stale = func(time.Duration, bool) {}
		n.start(t, "--init")
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		c.waitReady(t, n)
	}
	return c
}

// waitReady waits until a node takes requests.
func (c *cluster) waitReady(t *testing.T, n *node) {
	t.Helper()
	eventually(t, n.name+" ready", func() bool {
		status, ok := n.status()
		return ok && status.Ready
	})
}

// leader waits for a leader among the nodes and returns it.
func (c *cluster) leader(t *testing.T) *node {
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

// other returns the nodes except one.
func (c *cluster) other(not *node) []*node {
	var others []*node
	for _, n := range c.nodes {
		if n != not {
			others = append(others, n)
		}
	}
	return others
}

// entries are the announcement addresses of the nodes.
func (c *cluster) entries() []string {
	var addrs []string
	for _, n := range c.nodes {
		addrs = append(addrs, n.upstreams)
	}
	return addrs
}

// contractText is the test customer's contract. The wait has a unit.
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

// apply makes a contract the one in force through the command line.
func (c *cluster) apply(t *testing.T, n *node, contract string, base int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "contract.yaml")
	is.New(t).NoErr(os.WriteFile(file, []byte(contract), 0o600))
	out, err := exec.Command(programs.node, "contract", "apply", "--node", n.operator, "--token", operatorToken,
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

// startService starts a ledger service in process, to keep its journal.
func (c *cluster) startService(t *testing.T, id string, change func(*standin.ServiceConfig)) *standin.Service {
	t.Helper()
	config := standin.ServiceConfig{ID: id, Domain: "d1", Service: "ledger", Entries: c.entries(), LeaveGrace: 100 * time.Millisecond}
	if change != nil {
		change(&config)
	}
	s := standin.NewService(config)
	is.New(t).NoErr(s.Start(t.Context()))
	t.Cleanup(s.Kill)
	return s
}

// startEngine starts a model engine in process. It has room for one replica and
// a copy of every model on disk.
func (c *cluster) startEngine(t *testing.T, id string, change func(*standin.EngineConfig)) *standin.Engine {
	t.Helper()
	config := standin.EngineConfig{
		ID: id, Domain: "d1", Entries: c.entries(), Memory: 5 << 30, ChecksFencing: true,
		Copies:     []directory.Copy{{Model: "m", Tier: directory.TierDisk}, {Model: "two", Tier: directory.TierDisk}},
		LeaveGrace: 100 * time.Millisecond, Scale: 0.02, Token: time.Second,
	}
	if change != nil {
		change(&config)
	}
	e := standin.NewEngine(config)
	is.New(t).NoErr(e.Start(t.Context()))
	t.Cleanup(e.Kill)
	return e
}

// startStandin starts a stand-in as a process and returns its address.
func startStandin(t *testing.T, args ...string) (*process, string) {
	t.Helper()
	p := startProcess(t, programs.standin, args...)
	var ready struct {
		Addr string `json:"addr"`
	}
	eventually(t, "stand-in listening", func() bool {
		line, _, found := strings.Cut(p.log.String(), "\n")
		return found && json.Unmarshal([]byte(line), &ready) == nil
	})
	return p, ready.Addr
}

// waitUpstreams waits until every node knows so many upstreams that take work.
func (c *cluster) waitUpstreams(t *testing.T, want int) {
	t.Helper()
	for _, n := range c.nodes {
		eventually(t, fmt.Sprintf("%s knows %d upstreams", n.name, want), func() bool {
			status, ok := n.status()
			return ok && len(status.Upstreams) == want
		})
	}
}
