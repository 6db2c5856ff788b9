//go:build review2

package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func route(name, prefix, kind, service string, attempts, timeout int, resumable bool) map[string]any {
	return map[string]any{"Name": name, "Host": "h.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout, "LatencyTargetMs": 300, "Priority": 1, "Service": service, "MaxAttempts": attempts, "Sticky": false, "Resumable": resumable, "GapTargetMs": 300}
}

func limits() map[string]any {
	return map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

func bodyFor(id string, n int) string {
	s := fmt.Sprintf("%x", sha256.Sum256([]byte(id)))
	return (id + ":" + strings.Repeat(s, 1+n/len(s)))[:len(id)+1+n]
}

func fuzz(record string, trouble bool) (int, error) {
	l := newLab(3, 2, record, "")
	defer l.end(os.Getenv("KEEP") != "")
	fmt.Println(l.dir)
	l.startAll()
	seed := uint64(time.Now().UnixNano())
	if s := os.Getenv("SEED"); s != "" {
		seed, _ = strconv.ParseUint(s, 10, 64)
	}
	l.note("seed %d", seed)
	var mu sync.Mutex
	runs := map[string]int{}
	rnd := rand.New(rand.NewPCG(seed, 1))
	intn := func(n int) int { mu.Lock(); defer mu.Unlock(); return rnd.IntN(n) }
	var modes sync.Map
	count := func(m string) { v, _ := modes.LoadOrStore(m, new(atomic.Int64)); v.(*atomic.Int64).Add(1) }
	serve := func(r *runner) func(c *rconn, req *http.Request, body []byte) bool {
		return func(c *rconn, req *http.Request, body []byte) bool {
			id := req.Header.Get("Request-Id")
			stream := strings.HasPrefix(req.URL.Path, "/s")
			ran := func() { mu.Lock(); runs[id]++; mu.Unlock() }
			names := "Request-Id: " + id + "\r\n"
			stamp := names + "Server-Stamp: st-" + r.id + "\r\nServer-Load: 1,0,8\r\n"
			out := bodyFor(id, []int{10, 800, 20000}[intn(3)])
			if stream {
				from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
				var b strings.Builder
				for i := from + 1; i <= 12; i++ {
					fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", i, id, i)
				}
				out = b.String()
			}
			ct := ""
			if stream {
				ct = "Content-Type: text/event-stream\r\n"
			}
			good := answer(200, stamp+ct, out)
			refusal := answer(503, names+"Not-Executed: 1\r\n", "")
			write := func(s string) bool { _, err := io.WriteString(c, s); return err == nil }
			c.mu.Lock()
			defer c.mu.Unlock()
			// late writes between two answers.
			late := func(ms int, s string) {
				go func() {
					time.Sleep(time.Duration(ms) * time.Millisecond)
					c.mu.Lock()
					defer c.mu.Unlock()
					write(s)
				}()
			}
			if !trouble || out == "" || intn(100) < 40 {
				ran()
				time.Sleep(time.Duration(intn(20)) * time.Millisecond)
				return write(good)
			}
			m := intn(24)
			count(fmt.Sprint(m))
			switch m {
			case 0: // reset before anything
				ran()
				if t, ok := c.Conn.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				c.Close()
				return false
			case 1: // truncated
				ran()
				write(good[:intn(len(good))])
				c.Close()
				return false
			case 2: // truncated by reset
				ran()
				write(good[:intn(len(good))])
				time.Sleep(time.Duration(intn(30)) * time.Millisecond)
				if t, ok := c.Conn.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				c.Close()
				return false
			case 3: // refusal, kept
				return write(refusal)
			case 4: // refusal, copy late
				ok := write(refusal)
				late(intn(60), refusal)
				return ok
			case 5: // copy of the good answer late
				ran()
				ok := write(good)
				late(intn(60), good)
				return ok
			case 6: // extra bytes after
				ran()
				return write(good + []string{"garbage", "\r\n", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n", "0\r\n\r\n", "HTTP/1.1 503 Service Unavailable\r\nX: "}[intn(6)])
			case 7: // the same, later
				ran()
				ok := write(good)
				x := []string{"garbage", "\r\n", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 503 Service Unavailable\r\nX: "}[intn(6)]
				late(intn(40), x)
				return ok
			case 8: // unframed
				ran()
				write("HTTP/1.1 200 OK\r\n" + stamp + ct + "Connection: close\r\n\r\n" + out)
				c.Close()
				return false
			case 9: // unframed, reset
				ran()
				write("HTTP/1.1 200 OK\r\n" + stamp + ct + "Connection: close\r\n\r\n" + out[:intn(len(out)+1)])
				time.Sleep(time.Duration(intn(30)) * time.Millisecond)
				if t, ok := c.Conn.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				c.Close()
				return false
			case 10: // in pieces
				ran()
				for s := good; s != ""; {
					n := min(len(s), 1+intn(len(good)/4+1))
					if !write(s[:n]) {
						c.Close()
						return false
					}
					s = s[n:]
					time.Sleep(time.Duration(intn(5)) * time.Millisecond)
				}
				return true
			case 11: // chunked
				ran()
				var b strings.Builder
				b.WriteString("HTTP/1.1 200 OK\r\n" + stamp + ct + "Transfer-Encoding: chunked\r\n\r\n")
				for s := out; s != ""; {
					n := min(len(s), 1+intn(len(out)/3+1))
					fmt.Fprintf(&b, "%x\r\n%s\r\n", n, s[:n])
					s = s[n:]
				}
				return write(b.String() + "0\r\n\r\n")
			case 12: // chunked without its end
				ran()
				write("HTTP/1.1 200 OK\r\n" + stamp + ct + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(out), out))
				c.Close()
				return false
			case 13: // no answer
				ran()
				write([]string{"garbage\r\n\r\n", "\x00\x01\x02", "SSH-2.0-x\r\n", "HTTP/9.9 xxx\r\n\r\n", "\r\n\r\n\r\n"}[intn(5)])
				return true
			case 14: // interim answers first
				ran()
				return write(strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", intn(5)) + good)
			case 15: // endless head
				ran()
				for range 3000 {
					if !write("HTTP/1.1 100 Continue\r\n\r\n") {
						c.Close()
						return false
					}
				}
				time.Sleep(5 * time.Second)
				c.Close()
				return false
			case 16: // own failure
				ran()
				return write(answer(500, stamp, "failed"))
			case 17: // failure status that promises
				ran()
				return write(answer([]int{429, 503, 408, 421}[intn(4)], stamp, "failed"))
			case 18: // silent for a while
				ran()
				time.Sleep(time.Duration(500+intn(1500)) * time.Millisecond)
				return write(good)
			case 19: // silent for good
				ran()
				time.Sleep(6 * time.Second)
				c.Close()
				return false
			case 20: // refusal with close
				write(answer(503, names+"Not-Executed: 1\r\nConnection: close\r\n", ""))
				c.Close()
				return false
			case 21: // refusal, then the copy at once
				return write(refusal + refusal)
			case 22: // stream broken within an event, chunked properly
				ran()
				cut := out[:len(out)-1-intn(len(out)/2+1)]
				write("HTTP/1.1 200 OK\r\n" + stamp + ct + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(cut), cut))
				c.Close()
				return false
			case 23: // keep-alive that ends early
				ran()
				ok := write(answer(200, stamp+ct+"Keep-Alive: timeout=1\r\n", out))
				go func() { time.Sleep(time.Duration(intn(600)) * time.Millisecond); c.Close() }()
				return ok
			}
			return false
		}
	}
	var rs []*runner
	for i := range 4 {
		r := l.newRunner(fmt.Sprint("i-", i), "app", nil, nil)
		r.serve = serve(r)
		r.startAt("127.0.0.20:0")
		rs = append(rs, r)
	}
	if !l.configure(map[string]any{
		"Routes": []any{
			route("once", "/once/", "non_idempotent", "app", 3, 3000, false), route("rep", "/rep/", "idempotent", "app", 3, 3000, false),
			route("st", "/st/", "stream", "app", 1, 4000, false), route("sr", "/sr/", "stream", "app", 3, 4000, true),
		},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/health", "MaxConns": 400, "Protocol": "h1", "Tls": false}},
		"Limits":   limits(),
	}) || !l.awaitReady() {
		return 0, errUnable
	}
	time.Sleep(2 * time.Second)
	var broken atomic.Int64
	var statuses sync.Map
	var wg sync.WaitGroup
	end := time.Now().Add(60 * time.Second)
	var number atomic.Int64
	type done struct {
		id, kind string
		rep      reply
	}
	var dones []done
	for k := range 24 {
		wg.Go(func() {
			var conn net.Conn
			var br *bufio.Reader
			for time.Now().Before(end) {
				kind := []string{"once", "once", "rep", "st", "sr"}[intn(5)]
				id := fmt.Sprintf("q%d", number.Add(1))
				addr := l.entries[k%len(l.entries)].addr(0)
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
						conn = nil
						continue
					}
					br = bufio.NewReader(conn)
				}
				method, body := "POST", []byte(bodyFor("in"+id, []int{0, 100, 9000, 60000}[intn(4)]))
				if kind == "rep" {
					method, body = "GET", nil
				}
				rep := callOn(conn, br, method, "/"+kind+"/x", map[string]string{"Request-Id": id, "Deadline-Ms": "3000"}, body, 4500*time.Millisecond)
				if rep.err != nil || rep.header.Get("Connection") == "close" {
					conn.Close()
					conn = nil
				} else if br.Buffered() > 0 {
					broken.Add(1)
					l.note("MIXED %s bytes after answer", id)
				}
				v, _ := statuses.LoadOrStore(fmt.Sprint(kind, " ", rep.status, " ", rep.err != nil), new(atomic.Int64))
				v.(*atomic.Int64).Add(1)
				if rep.status == 200 && rep.err == nil {
					want := ""
					ok := true
					if kind == "st" || kind == "sr" {
						for i := 1; i <= 12; i++ {
							want += fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i)
						}
						ok = string(rep.body) == want
					} else {
						ok = strings.HasPrefix(string(rep.body), id+":") && string(rep.body) == bodyFor(id, len(rep.body)-len(id)-1) && (len(rep.body) == len(id)+11 || len(rep.body) == len(id)+801 || len(rep.body) == len(id)+20001)
					}
					if !ok || rep.header.Get("Server-Stamp") == "" {
						broken.Add(1)
						l.note("MIXED %s %s: %d bytes %.200q", kind, id, len(rep.body), rep.body)
					}
				}
				mu.Lock()
				dones = append(dones, done{id, kind, rep})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, d := range dones {
		n := runs[d.id]
		if (d.kind == "once" || d.kind == "st") && n > 1 {
			broken.Add(1)
			l.note("TWICE %s %s ran %d", d.kind, d.id, n)
		}
		if s := d.rep.status; (d.kind == "once" || d.kind == "st") && n > 0 && (s == 429 || s == 503 || s == 408 || s == 421) {
			broken.Add(1)
			l.note("REFUSED %s %s status %d ran %d", d.kind, d.id, s, n)
		}
	}
	for _, n := range l.all() {
		if !n.running() {
			broken.Add(1)
			l.note("%s has ended", n.name)
		}
	}
	modes.Range(func(k, v any) bool { l.note("mode %v: %d", k, v.(*atomic.Int64).Load()); return true })
	statuses.Range(func(k, v any) bool { l.note("outcome %v: %d", k, v.(*atomic.Int64).Load()); return true })
	l.note("calls %d broken %d", len(dones), broken.Load())
	return int(broken.Load()), nil
}
