//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	crashingUpstreams = 6
	crashEntries      = 3
	// darkTime is how long an upstream is gone after a crash.
	darkTime = 4 * time.Second
	// deadlyInterval is the time between two tries of the request that crashes upstreams, deadlyTries their
	// number.
	deadlyInterval = 2500 * time.Millisecond
	deadlyTries    = 16
	// crashTimeout is the time limit of the route, that of the users' plain services.
	crashTimeout = 1500 * time.Millisecond
	// retriesAllowed is the number of tries that may reach upstreams later than ContactMs after the third crash.
	retriesAllowed = 3
	deadlyBody     = "deadly"
)

// silentCrash sends one request, again and again, that crashes each upstream that begins to run it: the upstream
// goes silent and is back after some seconds. Sound requests are sent beside it.
func silentCrash(d *deployment, trouble bool) bool {
	c := configuration("ledger", "idempotent", crashTimeout)
	c["Routes"].([]map[string]any)[0]["MaxAttempts"] = 2
	d.start(crashEntries, c)
	crashes := &crashLog{d: d, trouble: trouble}
	var upstreams []*crashingUpstream
	for i := range crashingUpstreams {
		u := &crashingUpstream{d: d, log: crashes, number: i}
		l, err := net.Listen("tcp", host(100+i)+":0")
		must(err)
		u.addr = l.Addr().String()
		u.start(l)
		upstreams = append(upstreams, u)
	}
	for _, n := range d.entries() {
		d.await(n.name+" serves", func() bool { return d.post(n, "warm-up-"+n.name) == http.StatusOK })
	}
	d.settle()
	ctx, cancel := context.WithCancel(context.Background())
	var sound sync.WaitGroup
	for i, n := range d.entries() {
		sound.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("sound-%d-%d", i, k)
				d.record("caller: %s through %s answered %d", id, n.name, d.post(n, id))
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for i := range deadlyTries {
		n := d.entries()[i%crashEntries]
		id := fmt.Sprintf("deadly-%d", i)
		go func() { d.record("caller: %s through %s answered %d", id, n.name, d.postBody(n, id, deadlyBody)) }()
		time.Sleep(deadlyInterval)
	}
	cancel()
	sound.Wait()
	for _, u := range upstreams {
		u.end()
	}
	late := crashes.lateTries()
	d.record("%d crashes; %d tries of the request reached upstreams later than %v after the third", crashes.count(), late, contactTime)
	return late > retriesAllowed
}

// crashLog records when the request that crashes upstreams reached one.
type crashLog struct {
	d       *deployment
	trouble bool

	mu      sync.Mutex
	crashes []time.Time
	// reached holds when each try reached an upstream last.
	reached map[string]time.Time
}

// note records that a try reached an upstream, and reports whether that crashes.
func (c *crashLog) note(id, upstream string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reached == nil {
		c.reached = map[string]time.Time{}
	}
	c.reached[id] = time.Now()
	if c.trouble {
		c.crashes = append(c.crashes, time.Now())
		c.d.record("upstream: %s begins to run %s and goes dark: crash %d", upstream, id, len(c.crashes))
	}
	return c.trouble
}

func (c *crashLog) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// lateTries returns the number of tries that reached upstreams later than ContactMs after the third crash.
func (c *crashLog) lateTries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 3 {
		return 0
	}
	late := 0
	for id, at := range c.reached {
		if at.Sub(c.crashes[2]) > contactTime {
			late++
			c.d.record("BUDGET: %s reached an upstream %.1f s after the third crash", id, at.Sub(c.crashes[2]).Seconds())
		}
	}
	return late
}

// crashingUpstream is an upstream that crashes and starts again at its address.
type crashingUpstream struct {
	d      *deployment
	log    *crashLog
	number int
	addr   string

	mu       sync.Mutex
	listener net.Listener
	// incarnation counts the starts. dark is set from a crash to the next start.
	incarnation int
	born        int64
	dark, ended bool
	conns       []net.Conn
}

// start begins a new incarnation that accepts connections from l.
func (u *crashingUpstream) start(l net.Listener) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.incarnation++
	u.listener, u.dark, u.born = l, false, time.Now().UnixMilli()
	incarnation, id, born := u.incarnation, u.id(), u.born
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns = append(u.conns, conn)
			u.mu.Unlock()
			go u.serveConn(conn, incarnation, id)
		}
	}()
	go u.announce(incarnation, id, born)
	u.d.record("upstream: %s starts at %s", id, u.addr)
}

// id returns the ID of the current incarnation.
func (u *crashingUpstream) id() string { return fmt.Sprintf("i-%d-%d", u.number, u.incarnation) }

// serves reports whether an incarnation is still up.
func (u *crashingUpstream) serves(incarnation int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.incarnation == incarnation && !u.dark && !u.ended
}

func (u *crashingUpstream) announce(incarnation int, id string, born int64) {
	for seq := 1; u.serves(incarnation); seq++ {
		body, err := json.Marshal(map[string]any{
			"Service": "ledger", "Address": u.addr, "Zone": "zone-a", "Version": "v1", "Slots": 6,
			"State": "ready", "ColdLeftMs": 0, "Seq": seq, "born": born,
		})
		must(err)
		u.d.callControl("PUT", "/instances/"+id, body)
		time.Sleep(heartbeat)
	}
}

// crash makes the upstream go dark: open connections fall silent, and new ones are not established. The next
// incarnation starts after darkTime, when the old connections are gone.
func (u *crashingUpstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dark {
		return
	}
	u.dark = true
	u.listener.Close()
	unblock := blockAddr(u.addr)
	time.AfterFunc(darkTime, func() {
		unblock()
		u.mu.Lock()
		for _, conn := range u.conns {
			conn.Close()
		}
		u.conns = nil
		ended := u.ended
		u.mu.Unlock()
		if ended {
			return
		}
		l, err := net.Listen("tcp", u.addr)
		if err != nil {
			u.d.record("upstream: does not start again: %v", err)
			return
		}
		u.start(l)
	})
}

// blockAddr lets new connections to an address hang, as those to a machine without power, until the returned
// function is called: a listener with a full queue drops what asks for a connection.
func blockAddr(addr string) (unblock func()) {
	to, err := net.ResolveTCPAddr("tcp4", addr)
	must(err)
	target := &syscall.SockaddrInet4{Port: to.Port, Addr: [4]byte(to.IP.To4())}
	listener, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must(err)
	must(syscall.SetsockoptInt(listener, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	must(syscall.Bind(listener, target))
	must(syscall.Listen(listener, 0))
	fds := []int{listener}
	for range 4 {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
		must(err)
		_ = syscall.Connect(fd, target) // it is under way, or hangs once the queue is full
		fds = append(fds, fd)
	}
	return func() {
		for _, fd := range fds {
			_ = syscall.Close(fd)
		}
	}
}

func (u *crashingUpstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	u.listener.Close()
}

func (u *crashingUpstream) serveConn(conn net.Conn, incarnation int, id string) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			conn.Close()
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !u.serves(incarnation) {
			return // a dark upstream keeps silent
		}
		call := r.Header.Get("Request-Id")
		if r.Header.Get("Expect-Instance") != id {
			_, _ = conn.Write(answer(http.StatusMisdirectedRequest, call, "Not-Executed: 1\r\nConnection: close\r\n", ""))
			conn.Close()
			return
		}
		if strings.Contains(string(body), deadlyBody) && u.log.note(call, id) {
			u.crash()
			return
		}
		time.Sleep(workTime)
		if !u.serves(incarnation) {
			return
		}
		if _, err := conn.Write(answer(http.StatusOK, call, "Server-Stamp: stamp-of-"+call+"\r\n", "done")); err != nil {
			return
		}
	}
}
