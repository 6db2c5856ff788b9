//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controls = 5
	// startTimeout bounds the start of the deployment.
	startTimeout = 30 * time.Second
	// heartbeat is the interval of announcements, as in the users' settings.
	heartbeat = 1200 * time.Millisecond
	// settleTime is how long after their start all nodes count as in touch, and none as lost: ContactMs is
	// 3 s, and CatchUpS 4 s.
	settleTime = 5 * time.Second
	routeHost  = "case.example"
)

// node is the process of one node.
type node struct {
	name, role, host string
	settings         string
	data             string
	started          bool
	cmd              *exec.Cmd
	done             chan struct{}
}

// deployment is the nodes of a case and its record.
type deployment struct {
	dir   string
	port  int
	nodes []*node

	mu    sync.Mutex
	out   *os.File
	begin time.Time
	// startedAt is when the last node was started first.
	startedAt time.Time
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// newDeployment returns a deployment without nodes that records into a folder.
func newDeployment(folder string) *deployment {
	dir, err := os.MkdirTemp("", "agateslip-review-")
	must(err)
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)
	return &deployment{dir: dir, out: out, begin: time.Now()}
}

// record writes a line to the record of the case.
func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%8.3f "+format+"\n", append([]any{time.Since(d.begin).Seconds()}, args...)...)
}

// close ends all processes of the deployment.
func (d *deployment) close() {
	for _, n := range d.nodes {
		d.signal(n, syscall.SIGKILL)
		if n.done != nil {
			<-n.done
		}
	}
	if os.Getenv("KEEP") == "" {
		must(os.RemoveAll(d.dir))
	} else {
		fmt.Println("kept", d.dir)
	}
	must(d.out.Close())
}

// settle waits until no start of a process excuses anything.
func (d *deployment) settle() { time.Sleep(time.Until(d.startedAt.Add(settleTime))) }

// addr returns the address of a node's port; see startNode for their use.
func (d *deployment) addr(n *node, offset int) string {
	return fmt.Sprintf("%s:%d", n.host, d.port+offset)
}

// host returns the loopback address number i of this process.
func host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%120, 1+os.Getpid()%250, i+1)
}

// freePort returns the first of some consecutive ports that are free on all addresses in use.
func freePort(hosts int) int {
	for port := 21000; port < 30000; port += 10 {
		if portsFree(port, hosts) {
			return port
		}
	}
	panic("no free ports")
}

func portsFree(port, hosts int) bool {
	for i := range hosts {
		for offset := range 5 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host(i), port+offset))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// start starts the control nodes and some entry nodes, puts a configuration in force and waits
// until all entry nodes are ready.
func (d *deployment) start(entries int, configuration any) {
	d.port = freePort(controls + entries)
	for i := range controls + entries {
		n := &node{name: fmt.Sprintf("core-%d", i), role: "control", host: host(i)}
		if i >= controls {
			n.name, n.role = fmt.Sprintf("front-%d", i-controls), "entry"
		} else {
			n.data = filepath.Join(d.dir, n.name)
		}
		n.settings = filepath.Join(d.dir, n.name+".yaml")
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		d.startNode(n)
	}
	d.startedAt = time.Now()
	body, err := json.Marshal(configuration)
	must(err)
	d.await("configuration accepted", func() bool {
		return d.callControl("PUT", "/config", body) == http.StatusOK
	})
	for _, n := range d.entries() {
		d.await(n.name+" ready", func() bool {
			status, _ := send("GET", "http://"+d.addr(n, 1)+"/ready", nil)
			return status == http.StatusOK
		})
	}
}

func (d *deployment) controls() []*node { return d.nodes[:controls] }
func (d *deployment) entries() []*node  { return d.nodes[controls:] }

// await polls a condition until it holds.
func (d *deployment) await(what string, condition func() bool) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			d.record("%s", what)
			return
		}
	}
	panic("timed out: " + what)
}

// callControl sends a request to the control nodes in turn until one answers with success, and
// returns the last status.
func (d *deployment) callControl(method, path string, body []byte) int {
	status := 0
	for _, n := range d.controls() {
		if status, _ = send(method, "http://"+d.addr(n, 0)+path, body); status == http.StatusOK {
			break
		}
	}
	return status
}

var controlClient = &http.Client{Timeout: time.Second}

// send sends a request and returns the status, or 0 without a whole answer, and the body.
func send(method, url string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	must(err)
	resp, err := controlClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// startNode writes the settings of a node, with the values of the deploy file's template, and
// starts its process with the command of the deploy file.
func (d *deployment) startNode(n *node) {
	listen := fmt.Sprintf("  operators: %q\n", d.addr(n, 0))
	memory := 280
	if n.role == "entry" {
		listen = fmt.Sprintf("  callers: %q\n  ready: %q\n", d.addr(n, 0), d.addr(n, 1))
		memory = 284
	}
	var seeds []string
	for _, c := range d.controls()[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", d.addr(c, 0)))
	}
	data := ""
	if n.data != "" {
		data = fmt.Sprintf("data: %q\n", n.data)
	}
	text := fmt.Sprintf(`node: %q
domain: "zone-a"
listen:
%s  links: %q
  metrics: %q
seeds: [%s]
firstStart: %v
secret: managed-deployment-links
%slosses: 2
catchUp: "4s"
heartbeat: "1200ms"
orderLease: "3000ms"
fencesChecked: true
stop: "8s"
retry:
  ratio: 0.2
  extra: 58
  window: "10s"
memoryMB: %d
`, n.name, listen, d.addr(n, 2), d.addr(n, 4), strings.Join(seeds, ", "), !n.started, data, memory)
	must(os.WriteFile(n.settings, []byte(text), 0o600))
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.started = true
	n.cmd = exec.Command("target/agateslip", n.role, "--config", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	must(n.cmd.Start())
	d.record("started %s, process %d", n.name, n.cmd.Process.Pid)
	done := make(chan struct{})
	n.done = done
	cmd := n.cmd
	go func() {
		defer close(done)
		defer log.Close()
		_ = cmd.Wait() // how the process ended is in its log
	}()
}

// signal sends a signal to a process of the deployment that still runs.
func (d *deployment) signal(n *node, s syscall.Signal) {
	if n.cmd == nil {
		return
	}
	select {
	case <-n.done:
	default:
		_ = n.cmd.Process.Signal(s) // it may end meanwhile
	}
}

// announce announces an upstream until the returned function is called.
func (d *deployment) announce(id, service, addr string, slots int) (stop func()) {
	ended := make(chan struct{})
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; ; seq++ {
			body, err := json.Marshal(map[string]any{
				"Service": service, "Address": addr, "Zone": "zone-a", "Version": "v1", "Slots": slots,
				"State": "ready", "ColdLeftMs": 0, "Seq": seq, "born": born,
			})
			must(err)
			d.callControl("PUT", "/instances/"+id, body)
			select {
			case <-ended:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return func() { close(ended) }
}

// configuration returns a configuration with a service and a route for it, and other services below
// /NAME/ with routes of the same kind.
func configuration(service, kind string, timeout time.Duration, others ...string) map[string]any {
	var routes, services []map[string]any
	for i, name := range append([]string{service}, others...) {
		prefix := "/case/"
		if i > 0 {
			prefix = "/" + name + "/"
		}
		routes = append(routes, map[string]any{
			"Name": "route-" + name, "Host": routeHost, "PathPrefix": prefix, "Kind": kind,
			"TimeoutMs": timeout.Milliseconds(), "LatencyTargetMs": 300, "Priority": 1, "Service": name,
			"MaxAttempts": 1, "GapTargetMs": 300,
		})
		services = append(services, map[string]any{
			"Name": name, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false,
		})
	}
	return map[string]any{
		"Version": 1, "Routes": routes, "Services": services,
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
	}
}
