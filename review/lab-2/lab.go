//go:build review2

// Command review-lab-2 runs small deployments of agateslip on loopback addresses, with stand-ins for upstreams,
// callers and operators, and checks what these see.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
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

// node is one process of the system.
type node struct {
	name, role, host string
	port             int
	settings, data   string
	started          bool
	cmd              *exec.Cmd
	exited           chan struct{}
	log              *os.File
}

func (n *node) addr(offset int) string { return fmt.Sprintf("%s:%d", n.host, n.port+offset) }

// lab is one deployment.
type lab struct {
	dir      string
	program  string
	controls []*node
	entries  []*node
	extra    string
	mu       sync.Mutex
	record   *os.File
	start    time.Time
	version  uint64
}

// freePort returns the first of several ports that are free on all loopback hosts used.
func freePort() int {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if port > 60000 {
			continue
		}
		free := true
		for host := 1; host <= 14 && free; host++ {
			for off := range 6 {
				t, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", host, port+off))
				if err != nil {
					free = false
					break
				}
				t.Close()
			}
		}
		if free {
			return port
		}
	}
}

func newLab(controls, entries int, record, extra string) *lab {
	dir, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		panic(err)
	}
	program, err := filepath.Abs("target/agateslip")
	if err != nil {
		panic(err)
	}
	l := &lab{dir: dir, program: program, extra: extra, start: time.Now()}
	if l.record, err = os.Create(record); err != nil {
		panic(err)
	}
	port := freePort()
	for i := range controls + entries {
		n := &node{host: fmt.Sprintf("127.0.0.%d", i+1), port: port}
		if i < controls {
			n.name, n.role, n.data = fmt.Sprint("core-", i), "control", filepath.Join(dir, fmt.Sprint("data-", i))
			l.controls = append(l.controls, n)
		} else {
			n.name, n.role = fmt.Sprint("front-", i-controls), "entry"
			l.entries = append(l.entries, n)
		}
		n.settings = filepath.Join(dir, n.name+".yaml")
		if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			panic(err)
		}
	}
	return l
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f ", time.Since(l.start).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

func (l *lab) run(n *node) {
	listen := fmt.Sprintf("  operators: %s\n", n.addr(0))
	if n.role == "entry" {
		listen = fmt.Sprintf("  callers: %s\n  ready: %s\n", n.addr(0), n.addr(1))
	}
	var seeds []string
	for _, c := range l.controls[:min(3, len(l.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", c.addr(0)))
	}
	text := fmt.Sprintf("node: %s\ndomain: d\nlisten:\n%s  links: %s\n  metrics: %s\nseeds: [%s]\nfirstStart: %v\nsecret: managed-deployment-links\n",
		n.name, listen, n.addr(2), n.addr(4), strings.Join(seeds, ", "), !n.started)
	if n.data != "" {
		text += fmt.Sprintf("data: %q\n", n.data)
	}
	text += fmt.Sprintf("losses: %d\ncatchUp: 4s\nheartbeat: 1200ms\norderLease: 3s\nfencesChecked: true\nstop: 8s\nretry: {ratio: 0.2, extra: 58, window: 10s}\nmemoryMB: 284\ndescriptors: 4100\n%s",
		(len(l.controls)-1)/2, l.extra)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	n.started = true
	n.cmd = exec.Command(l.program, n.role, "--config", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		panic(err)
	}
	n.exited = make(chan struct{})
	cmd, exited := n.cmd, n.exited
	go func() {
		err := cmd.Wait()
		l.note("%s ended: %v", n.name, err)
		close(exited)
	}()
	l.note("%s started", n.name)
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (l *lab) signal(n *node, s syscall.Signal) {
	l.note("%v to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

func (l *lab) all() []*node { return append(append([]*node{}, l.controls...), l.entries...) }

func (l *lab) startAll() {
	for _, n := range l.all() {
		l.run(n)
	}
}

// end kills all processes and removes the folder.
func (l *lab) end(keep bool) {
	for _, n := range l.all() {
		if n.cmd != nil && n.running() {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
		n.log.Close()
	}
	l.record.Close()
	if !keep {
		os.RemoveAll(l.dir)
	}
}

var client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func send(method, url string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, got
}

// configure sends a configuration to the control nodes until one acknowledges it.
func (l *lab) configure(document map[string]any) bool {
	l.version += 3
	document["Version"] = l.version
	body, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range l.controls {
			if status, _ := send("PUT", "http://"+c.addr(0)+"/config", body); status == 200 {
				l.note("configuration %d acknowledged by %s", l.version, c.name)
				return true
			} else if status >= 400 && status < 500 {
				l.note("configuration %d refused with %d by %s", l.version, status, c.name)
				return false
			}
		}
	}
	return false
}

func (l *lab) awaitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range l.entries {
			if status, _ := send("GET", "http://"+e.addr(1)+"/ready", nil); status == 200 {
				ready++
			}
		}
		if ready == len(l.entries) {
			return true
		}
	}
	return false
}

// runner is a stand-in for an upstream that writes its answers as raw bytes.
type runner struct {
	lab                     *lab
	id, service, host, soft string
	slots                   int
	listener                net.Listener
	born                    int64
	seq                     int
	models                  []map[string]any
	accepted                int
	fence                   int
	// serve answers a call; it returns false to close the connection.
	serve func(c *rconn, req *http.Request, body []byte) bool
	mu    sync.Mutex
	conns map[net.Conn]bool
	quit  chan struct{}
	state string
	// odd changes what the runner says of itself; it may be nil.
	odd func(path string, v map[string]any) string
}

type rconn struct {
	net.Conn
	r *bufio.Reader
	// n counts the requests on the connection.
	n int
	// mu is held while an answer is written.
	mu sync.Mutex
}

func (l *lab) newRunner(id, service string, models []map[string]any, serve func(c *rconn, req *http.Request, body []byte) bool) *runner {
	r := &runner{lab: l, id: id, service: service, slots: 8, models: models, serve: serve, conns: map[net.Conn]bool{}, state: "ready", soft: "v1"}
	return r
}

func (r *runner) startAt(addr string) {
	var err error
	if r.listener, err = net.Listen("tcp", addr); err != nil {
		panic(err)
	}
	r.born, r.seq, r.accepted, r.fence, r.quit = time.Now().UnixMilli(), 0, 0, 0, make(chan struct{})
	go r.accept(r.listener)
	go r.beat(r.quit)
}

func (r *runner) addr() string { return r.listener.Addr().String() }

func (r *runner) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go func() {
			defer func() {
				conn.Close()
				r.mu.Lock()
				delete(r.conns, conn)
				r.mu.Unlock()
			}()
			c := &rconn{Conn: conn, r: bufio.NewReader(conn)}
			for {
				req, err := http.ReadRequest(c.r)
				if err != nil {
					return
				}
				c.n++
				if !r.handle(c, req) {
					return
				}
			}
		}()
	}
}

// crash ends the runner and all its connections by resets.
func (r *runner) crash() {
	close(r.quit)
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

func answer(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}

func (r *runner) handle(c *rconn, req *http.Request) bool {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	if e := req.Header.Get("Expect-Instance"); e != "" && e != r.id {
		_, err := io.WriteString(c, answer(421, "Request-Id: "+req.Header.Get("Request-Id")+"\r\nNot-Executed: 1\r\n", ""))
		return err == nil
	}
	switch req.URL.Path {
	case "/report":
		r.mu.Lock()
		v := map[string]any{"Stage": "both", "Models": r.models, "Busy": false, "Seq": r.accepted, "Waiting": 0, "Running": 0, "KvUsed": 0, "KvTotal": 100000, "Handles": 0, "born": r.born}
		b, _ := json.Marshal(v)
		if r.odd != nil {
			b = []byte(r.odd("/report", v))
		}
		r.mu.Unlock()
		_, err := io.WriteString(c, answer(200, "Content-Type: application/json\r\n", string(b)))
		return err == nil
	case "/health":
		_, err := io.WriteString(c, answer(200, "Instance-Id: "+r.id+"\r\n", ""))
		return err == nil
	case "/order":
		_, err := io.WriteString(c, answer(409, "", ""))
		return err == nil
	}
	return r.serve(c, req, body)
}

func (r *runner) beat(quit chan struct{}) {
	for i := 0; ; i++ {
		r.mu.Lock()
		r.seq++
		b, _ := json.Marshal(map[string]any{"Service": r.service, "Address": r.addr(), "Zone": "d", "Version": r.soft, "Slots": r.slots, "State": r.state, "ColdLeftMs": 0, "Stage": "both", "Models": r.models, "Seq": r.seq, "born": r.born})
		r.mu.Unlock()
		for k := range r.lab.controls {
			if status, _ := send("PUT", "http://"+r.lab.controls[(i+k)%len(r.lab.controls)].addr(0)+"/instances/"+r.id, b); status == 200 {
				break
			}
		}
		select {
		case <-quit:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call sends one request on a connection of its own.
func call(addr, method, path string, headers map[string]string, body []byte, patience time.Duration) reply {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	return callOn(conn, bufio.NewReader(conn), method, path, headers, body, patience)
}

func callOn(conn net.Conn, br *bufio.Reader, method, path string, headers map[string]string, body []byte, patience time.Duration) reply {
	_ = conn.SetDeadline(time.Now().Add(patience))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\n", method, path)
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if _, err := conn.Write(append([]byte(b.String()), body...)); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	got, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: got, err: err}
}

var errUnable = errors.New("the case cannot run")
