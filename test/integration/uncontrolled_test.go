package integration

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/testutil"
	managed "github.com/agateslip/agateslip/platform/standin"
)

const (
	// crowdMemoryMB bounds the resident memory of a process that a crowd connects to, in MiB.
	crowdMemoryMB = 64
	// crowdDescriptors bounds its open descriptors.
	crowdDescriptors = 128
	// endlessBytes is what a caller sends of a head that has no end.
	endlessBytes = 900_000
	// longHeadBytes is the size of a head that is nearly as large as a head may be.
	longHeadBytes = 15_000
)

// crowd is a number of callers that behave alike.
type crowd struct {
	name string
	size int
	// send writes to a connection until it is closed or the caller has no more to send.
	send func(conn net.Conn)
	// leaves is set if the callers close their connections before the ordinary request is sent: what they
	// sent is within the limits, so that a full process may refuse others.
	leaves bool
	// memoryMB bounds the resident memory of the process; crowdMemoryMB if zero.
	memoryMB int
}

// writeAll returns a caller that writes text and then says nothing more.
func writeAll(text string) func(net.Conn) {
	// The node may close the connection at any time.
	return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// shortLines returns n bytes of header lines with different names.
func shortLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

func slowBody(conn net.Conn) {
	_, _ = io.WriteString(conn, "POST /plain/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n\r\n")
	for range 3 {
		_, _ = io.WriteString(conn, "x")
		time.Sleep(time.Second)
	}
}

// unreadAnswers sends requests without end and reads no answer, so that the node blocks at some time.
func unreadAnswers(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
	requests := strings.Repeat("GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n", 1000)
	for {
		if _, err := io.WriteString(conn, requests); err != nil {
			return
		}
	}
}

func resetAmid(conn net.Conn) {
	_, _ = io.WriteString(conn, "POST /plain/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n\r\nabc")
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// preamble begins like a TLS client.
const preamble = "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\x00\xff"

// rawCrowds are callers that any listener may meet.
var rawCrowds = []crowd{
	{name: "silent", size: 150, send: func(net.Conn) {}},
	{name: "preamble", size: 100, send: writeAll(preamble)},
	{name: "binary without end", size: 100, send: writeAll(strings.Repeat("\x16\x03\x01\xff", endlessBytes/4))},
	{name: "empty lines without end", size: 100, send: writeAll(strings.Repeat("\r\n", endlessBytes/2))},
	{name: "resets", size: 150, send: resetAmid},
}

// httpCrowds are callers of HTTP.
var httpCrowds = append([]crowd{
	{name: "pipelined requests", size: 100, send: writeAll(strings.Repeat("GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n", 200))},
	{name: "pipelined part of a head", size: 100, send: writeAll("GET /none HTTP/1.1\r\nHost: h.example\r\n\r\nGET /none HTTP/1.1\r\n" + shortLines(3900))},
	{name: "slow bodies", size: 100, send: slowBody},
	{name: "bodies never sent", size: 150, send: writeAll("POST /plain/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4000000\r\n\r\n")},
	{name: "bodies of unknown routes never sent", size: 150, send: writeAll("POST /none HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4000\r\n\r\n")},
	{name: "long heads that wait", size: 100, send: writeAll("GET /hold/1 HTTP/1.1\r\nHost: h.example\r\n" + shortLines(longHeadBytes) + "\r\n"), leaves: true},
	{name: "long heads in part", size: 100, send: writeAll("GET /plain/1 HTTP/1.1\r\n" + shortLines(longHeadBytes))},
	{name: "empty lines after a request", size: 100, send: writeAll("POST /none HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n" + strings.Repeat("\r\n", endlessBytes/2))},
	{name: "value without end", size: 100, send: writeAll("GET /plain/1 HTTP/1.1\r\nA: " + strings.Repeat("x", endlessBytes))},
	{name: "request line without end", size: 100, send: writeAll("GET /" + strings.Repeat("x", endlessBytes))},
	{name: "lines without end", size: 100, send: writeAll("GET /plain/1 HTTP/1.1\r\n" + shortLines(endlessBytes))},
}, rawCrowds...)

// meet lets a crowd connect to an address of a process, sends an ordinary request while it is connected, and checks that the
// process lives within its bounds.
func (c crowd) meet(t *testing.T, p *process, addr string, ordinary func() error) {
	t.Helper()
	is := is.New(t)
	is.NoErr(os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.cmd.Process.Pid), []byte("5"), 0)) // resets VmHWM
	var sending sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	for range c.size {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, waitTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(waitTimeout))
			c.send(conn)
		})
	}
	sending.Wait()
	leave := func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
	defer leave()
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	is.NoErr(err)
	if c.leaves {
		leave()
	}
	if err := ordinary(); err != nil {
		t.Error("ordinary request:", err)
	}
	memory := peakMemoryMB(t, p)
	t.Logf("%d descriptors, %d MiB at most", len(descriptors), memory)
	if len(descriptors) > crowdDescriptors {
		t.Errorf("%d descriptors are open, at most %d may be", len(descriptors), crowdDescriptors)
	}
	if limit := cmp.Or(c.memoryMB, crowdMemoryMB); memory > limit {
		t.Errorf("%d MiB were resident, at most %d may be", memory, limit)
	}
}

// peakMemoryMB returns the largest resident memory of a process since it was reset, in MiB. It fails the test if the process
// has ended.
func peakMemoryMB(t *testing.T, p *process) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal("process has ended: ", err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			is.New(t).NoErr(err)
			return kb >> 10
		}
	}
	t.Fatal("process has ended")
	return 0
}

// get returns an ordinary request that expects status 200.
func get(addr, path string) func() error { return request(http.MethodGet, addr, path, "") }

// request is get with another method and a body.
func request(method, addr, path, body string) func() error {
	return func() error {
		client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		r.Host = "h.example"
		resp, err := client.Do(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
}

// managedNodes are the control node and the entry node of a managed deployment, which has small machines.
type managedNodes struct {
	control, entry *process
	// controlHost and entryHost are the hosts that they listen on, at the same ports.
	controlHost, entryHost                 string
	operators, callers, ready, metrics     string
	controlLinks, links, detours, cMetrics string
}

// startManaged starts a managed deployment with one stand-in upstream.
func startManaged(t *testing.T) *managedNodes {
	t.Helper()
	return startManagedOf(t, crowdMemoryMB)
}

// startManagedOf is startManaged with processes of the given memory, in MiB.
func startManagedOf(t *testing.T, memoryMB int) *managedNodes {
	t.Helper()
	is := is.New(t)
	const port = 21970
	at := func(host string, i int) string { return fmt.Sprintf("%s:%d", host, port+i) }
	// Both nodes use the same ports, so that each needs a host of its own.
	m := &managedNodes{controlHost: testutil.Host(1), entryHost: testutil.Host(2)}
	m.operators, m.controlLinks, m.cMetrics = at(m.controlHost, 0), at(m.controlHost, 1), at(m.controlHost, 3)
	m.callers, m.links, m.detours, m.metrics, m.ready = at(m.entryHost, 0), at(m.entryHost, 1), at(m.entryHost, 2), at(m.entryHost, 3), at(m.entryHost, 4)
	dir := t.TempDir()
	start := func(role, settings string) *process {
		file := filepath.Join(dir, role+".yaml")
		settings += fmt.Sprintf("seeds: [%q]\nfirstStart: true\ndomain: d\nsecret: integration-shared-secret\nheartbeat: 1s\nstop: 5s\n"+
			"retry: {ratio: 0.2, extra: 50, window: 10s}\nmemoryMB: %d\ndescriptors: %d\n", m.operators, memoryMB, crowdDescriptors)
		is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
		return startProcess(t, binaries.node, role, "--config", file)
	}
	m.control = start("control", fmt.Sprintf("node: core\ndata: %q\nlisten: {operators: %q, links: %q, metrics: %q}\n",
		filepath.Join(dir, "data"), m.operators, m.controlLinks, m.cMetrics))
	m.entry = start("entry", fmt.Sprintf("node: front\nlisten: {callers: %q, ready: %q, links: %q, metrics: %q}\n",
		m.callers, m.ready, m.links, m.metrics))
	left := make(chan struct{})
	t.Cleanup(func() { close(left) })
	upstream := managed.Start(managed.Options{ID: "u1", Service: "app", Control: []string{m.operators}, Answer: func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/hold/") {
			select {
			case <-left:
			case <-r.Context().Done():
			}
		}
		w.WriteHeader(http.StatusOK)
	}})
	t.Cleanup(upstream.Close)
	eventually(t, "configuration", func() bool { return managed.Send("PUT", "http://"+m.operators+"/config", managedDocument) == 200 })
	eventually(t, "ready", func() bool { return managed.Send("GET", "http://"+m.ready+"/", "") == 200 })
	eventually(t, "first request answered", func() bool { return get(m.callers, "/plain/1")() == nil })
	return m
}

// meetAll lets crowds connect to an address, one crowd after the other.
func meetAll(t *testing.T, crowds []crowd, p *process, addr string, ordinary func() error) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) { c.meet(t, p, addr, ordinary) })
	}
}

// TestUncontrolledCallers has crowds connect to the listeners of the processes of a managed deployment.
func TestUncontrolledCallers(t *testing.T) {
	targets := []struct {
		name   string
		crowds []crowd
		of     func(m *managedNodes) (p *process, addr string, ordinary func() error)
	}{
		{"callers", httpCrowds, func(m *managedNodes) (*process, string, func() error) {
			return m.entry, m.callers, get(m.callers, "/plain/1")
		}},
		{"readiness", httpCrowds, func(m *managedNodes) (*process, string, func() error) { return m.entry, m.ready, get(m.ready, "/") }},
		{"entry metrics", httpCrowds, func(m *managedNodes) (*process, string, func() error) {
			return m.entry, m.metrics, get(m.metrics, "/metrics")
		}},
		{"entry links", rawCrowds, func(m *managedNodes) (*process, string, func() error) {
			return m.entry, m.links, get(m.callers, "/plain/1")
		}},
		{"detours", rawCrowds, func(m *managedNodes) (*process, string, func() error) {
			return m.entry, m.detours, get(m.callers, "/plain/1")
		}},
		{"operators", httpCrowds, func(m *managedNodes) (*process, string, func() error) {
			return m.control, m.operators, get(m.operators, "/config")
		}},
		{"control metrics", httpCrowds, func(m *managedNodes) (*process, string, func() error) {
			return m.control, m.cMetrics, get(m.cMetrics, "/metrics")
		}},
		{"control links", rawCrowds, func(m *managedNodes) (*process, string, func() error) {
			return m.control, m.controlLinks, get(m.operators, "/config")
		}},
	}
	for _, target := range targets {
		t.Run(target.name, func(t *testing.T) {
			p, addr, ordinary := target.of(startManaged(t))
			meetAll(t, target.crowds, p, addr, ordinary)
		})
	}
}

// TestUncontrolledBodies has a crowd send large parts of bodies, which take all memory that bodies may take, and then an ordinary
// request with a body.
func TestUncontrolledBodies(t *testing.T) {
	m := startManaged(t)
	body := strings.Repeat("x", 4_000_000)
	large := crowd{name: "large bodies in part", size: 100, send: writeAll("POST /plain/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4000000\r\n\r\n" + body[:200_000])}
	large.meet(t, m.entry, m.callers, request(http.MethodPost, m.callers, "/plain/1", body))
}

// TestUncontrolledUnreadAnswers has crowds pipeline requests as fast as they are taken, and read no answer.
func TestUncontrolledUnreadAnswers(t *testing.T) {
	m := startManaged(t)
	unread := crowd{name: "answers never read", size: 100, send: unreadAnswers}
	t.Run("callers", func(t *testing.T) { unread.meet(t, m.entry, m.callers, get(m.callers, "/plain/1")) })
	t.Run("metrics", func(t *testing.T) { unread.meet(t, m.control, m.cMetrics, get(m.cMetrics, "/metrics")) })
}

// TestUncontrolledCallersOfNode has crowds connect to the listeners of a node of a fixed group.
func TestUncontrolledCallersOfNode(t *testing.T) {
	c := startSmallCluster(t)
	n := c.nodes[0]
	ordinary := get(n.callerAddr, "/readyz")
	t.Run("callers", func(t *testing.T) { meetAll(t, httpCrowds, n.process, n.callerAddr, ordinary) })
	t.Run("upstreams", func(t *testing.T) { meetAll(t, httpCrowds, n.process, n.upstreamAddr, ordinary) })
	t.Run("operators", func(t *testing.T) { meetAll(t, httpCrowds, n.process, n.operatorAddr, get(n.operatorAddr, "/healthz")) })
}
