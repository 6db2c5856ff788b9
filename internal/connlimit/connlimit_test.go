package connlimit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipes is a listener of connections in memory.
type pipes struct{ conns chan net.Conn }

func (p *pipes) Accept() (net.Conn, error) {
	conn, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return nil }

// fixture is a server whose connections are limited. Requests of /hold wait until it is closed; others get their body back.
type fixture struct {
	t     *testing.T
	guard *Guard
	pipes *pipes
	hold  chan struct{}

	mu   sync.Mutex
	cuts []Cause
}

// serve runs check with a fixture in a bubble of virtual time, and checks that nothing counts after all connections have ended.
func serve(t *testing.T, headMemory int64, o ListenerOptions, check func(f *fixture)) {
	serveHeads(t, http.DefaultMaxHeaderBytes, headMemory, o, check)
}

// serveHeads is serve with a limit of the server's own for heads, in bytes.
func serveHeads(t *testing.T, maxHeaderBytes int, headMemory int64, o ListenerOptions, check func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, pipes: &pipes{make(chan net.Conn)}, hold: make(chan struct{})}
		f.guard = New(headMemory, func(cut Cut) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.cuts = append(f.cuts, cut.Cause)
		})
		server := &http.Server{MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				<-f.hold
			}
			if r.URL.Path == "/unread" {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
			_, _ = fmt.Fprintf(w, "%s %s %s\n", r.Method, r.URL.Path, body)
		})}
		listener := f.guard.Protect(server, f.pipes, o)
		go func() { _ = server.Serve(listener) }()
		check(f)
		close(f.hold)
		close(f.pipes.conns)
		server.Close()
		synctest.Wait()
		if f.guard.Open() != 0 || f.guard.HeadBytes() != 0 {
			t.Errorf("%d connections and %d bytes still count", f.guard.Open(), f.guard.HeadBytes())
		}
	})
}

// caller is one end of a connection, and what it has received.
type caller struct {
	net.Conn
	mu    sync.Mutex
	got   strings.Builder
	ended bool
}

// dial connects a caller that sends text, and waits until the server has dealt with it.
func (f *fixture) dial(text string) *caller {
	near, far := net.Pipe()
	c := &caller{Conn: near}
	f.pipes.conns <- far
	if strings.HasPrefix(text, unread) {
		c.send(text)
		return c
	}
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, err := near.Read(buffer)
			c.mu.Lock()
			c.got.Write(buffer[:n])
			c.ended = err != nil
			c.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	c.send(text)
	f.t.Cleanup(func() { near.Close() })
	return c
}

// send sends text in the background and waits until the server reads no more of it.
func (c *caller) send(text string) {
	go func() { _, _ = io.WriteString(c.Conn, text) }()
	synctest.Wait()
}

// state returns the status lines that the caller has received, and whether its connection has ended.
func (c *caller) state() (statuses []string, ended bool) {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for line := range strings.Lines(c.got.String()) {
		if rest, found := strings.CutPrefix(line, "HTTP/1.1 "); found {
			statuses = append(statuses, rest[:3])
		}
	}
	return statuses, c.ended
}

func (c *caller) expect(t *testing.T, statuses string, ended bool) {
	t.Helper()
	got, gotEnded := c.state()
	if strings.Join(got, " ") != statuses || gotEnded != ended {
		t.Errorf("answers %q, ended: %v; expected %q, %v", strings.Join(got, " "), gotEnded, statuses, ended)
	}
}

func (f *fixture) expectCuts(causes ...Cause) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(f.cuts, causes) {
		f.t.Errorf("cut for %v, expected %v", f.cuts, causes)
	}
}

// unread is a request of a caller that reads no answer.
const unread = "GET /unreadAnswer HTTP/1.1\r\nHost: h\r\n\r\n"

const ordinary = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

// linesOf returns n short header lines with different names.
func linesOf(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "x%d: 1\r\n", i)
	}
	return b.String()
}

func smallHeads() Limits {
	return Limits{HeadBytes: 8 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second, BodyTime: 30 * time.Second}
}

// TestRequestsInTurn pipelines requests with and without bodies, in pieces of all sizes.
func TestRequestsInTurn(t *testing.T) {
	text := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\n\n\r\n\r\nab" +
		"POST /c HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n3\r\n\r\n\r\r\n0\r\n\r\n" + ordinary + "\r\n" + ordinary
	for size := 1; size <= len(text); size += 3 {
		serve(t, 1<<20, ListenerOptions{Limits: smallHeads}, func(f *fixture) {
			c := f.dial("")
			go func() {
				for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
					_, _ = io.WriteString(c.Conn, rest[:min(size, len(rest))])
				}
			}()
			// The empty line after a GET is not in the protocol.
			c.expect(t, "200 200 200 400", true)
			if !strings.Contains(c.got.String(), "POST /b \n\r\n\r\nab") || !strings.Contains(c.got.String(), "POST /c \r\n\r") {
				t.Errorf("pieces of %d bytes: %q", size, c.got.String())
			}
		})
	}
}

func TestHeadTooLarge(t *testing.T) {
	for _, head := range []string{
		"GET /" + strings.Repeat("x", 20_000), "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 20_000),
		"GET / HTTP/1.1\r\n" + linesOf(3000), ordinary + "GET / HTTP/1.1\r\n" + linesOf(3000),
	} {
		serve(t, 8<<20, ListenerOptions{Limits: smallHeads}, func(f *fixture) {
			c := f.dial(head)
			time.Sleep(time.Second)
			want := "431"
			if strings.HasPrefix(head, ordinary) {
				want = "200 431"
			}
			c.expect(t, want, true)
			f.expectCuts(HeadTooLarge)
		})
	}
	serve(t, 1<<20, ListenerOptions{Limits: smallHeads}, func(f *fixture) {
		f.dial(fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\nA: %s\r\n\r\n", strings.Repeat("x", 8<<10))).expect(t, "200", false)
		f.expectCuts()
	})
}

// TestOldestHeadMakesRoom fills the memory of heads with incomplete ones, and then with complete ones.
func TestOldestHeadMakesRoom(t *testing.T) {
	part := "GET /hold HTTP/1.1\r\nHost: h\r\n" + linesOf(100) // some 22 KB as estimated
	serve(t, 64<<10, ListenerOptions{Limits: smallHeads}, func(f *fixture) {
		f.dial("") // holds no memory
		var crowd []*caller
		for range 3 {
			crowd = append(crowd, f.dial(part))
			time.Sleep(time.Millisecond)
		}
		crowd[0].expect(t, "", true)
		f.dial(ordinary).expect(t, "200", false)
		crowd[1].send("\r\n")
		crowd[2].send("\r\n")
		late := f.dial(part)
		late.expect(t, "503", true)
		crowd[1].expect(t, "", false)
		f.dial(ordinary).expect(t, "200", false)
		f.expectCuts(HeadsFull, HeadsFull)
	})
}

// TestWholeHeadIsNoIncompleteOne fills the memory of heads while the server has read a whole head and has not begun its request.
func TestWholeHeadIsNoIncompleteOne(t *testing.T) {
	is := is.New(t)
	p := &pipes{make(chan net.Conn, 2)}
	var cuts []Cut
	l := New(16<<10, func(cut Cut) { cuts = append(cuts, cut) }).Protect(&http.Server{}, p, ListenerOptions{})
	accept := func(text string) net.Conn {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close() })
		p.conns <- far
		c, err := l.Accept()
		is.NoErr(err)
		go func() {
			_, _ = io.WriteString(near, text)
			_, _ = io.Copy(io.Discard, near)
		}()
		return c
	}
	whole := accept(ordinary)
	n, err := whole.Read(make([]byte, 4<<10))
	is.NoErr(err)
	is.Equal(n, len(ordinary))
	part := accept("GET /a HTTP/1.1\r\n" + linesOf(100))
	_, err = part.Read(make([]byte, 4<<10))
	is.True(err != nil)    // the incomplete head goes
	is.Equal(len(cuts), 1) // and no other
	_, err = whole.Write(nil)
	is.NoErr(err)
	is.NoErr(whole.SetDeadline(time.Now())) // fails on a closed connection
}

// TestWholeHeadsMakeRoomForConnections opens connections while the requests of all others have arrived and not begun. The oldest one
// goes, and its request does not run.
func TestWholeHeadsMakeRoomForConnections(t *testing.T) {
	is := is.New(t)
	p := &pipes{make(chan net.Conn, 3)}
	ran := 0
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ })}
	l := New(0, nil).Protect(server, p, ListenerOptions{MaxOpen: 2})
	var accepted []*Conn
	for range 3 {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close() })
		p.conns <- far
		c, err := l.Accept()
		is.NoErr(err)
		go func() { _, _ = io.WriteString(near, ordinary) }()
		_, err = c.Read(make([]byte, 4<<10))
		is.NoErr(err)
		accepted = append(accepted, c.(*Conn))
	}
	for i, c := range accepted {
		cut := false
		func() {
			defer func() { cut = recover() != nil }()
			r, err := http.NewRequestWithContext(context.WithValue(t.Context(), contextKey{}, c), http.MethodGet, "/", nil)
			is.NoErr(err)
			server.Handler.ServeHTTP(nil, r)
		}()
		is.Equal(cut, i == 0)
	}
	is.Equal(ran, 2)
}

// TestFailedHeadsMakeRoom has the server itself refuse heads, whose connections it keeps for a while so that their callers can read why.
func TestFailedHeadsMakeRoom(t *testing.T) {
	serveHeads(t, 4<<10, 64<<10, ListenerOptions{MaxOpen: 4, Limits: smallHeads}, func(f *fixture) {
		var crowd []*caller
		for range 4 {
			crowd = append(crowd, f.dial("GET /a HTTP/1.1\r\nA: "+strings.Repeat("x", 20_000)))
		}
		for _, c := range crowd {
			c.expect(t, "431", false)
		}
		if held := f.guard.HeadBytes(); held != 0 {
			t.Errorf("%d bytes of failed heads count", held)
		}
		f.dial(ordinary).expect(t, "200", false)
		crowd[0].expect(t, "431", true)
		crowd[1].expect(t, "431", false)
		f.expectCuts(TooMany)
		time.Sleep(time.Second)
		crowd[3].expect(t, "431", true)
	})
}

// TestPipelinedHeadCounts has the part of a second head arrive with the first request.
func TestPipelinedHeadCounts(t *testing.T) {
	serve(t, 1<<20, ListenerOptions{}, func(f *fixture) {
		f.dial(ordinary+"GET /a HTTP/1.1\r\n"+linesOf(100)).expect(t, "200", false)
		if f.guard.HeadBytes() < 100*headLineCost {
			t.Errorf("only %d bytes count", f.guard.HeadBytes())
		}
	})
}

// TestConnectionsMakeRoom opens more connections than may be open.
func TestConnectionsMakeRoom(t *testing.T) {
	serve(t, 0, ListenerOptions{MaxOpen: 3}, func(f *fixture) {
		idle, silent := f.dial(ordinary), f.dial("")
		f.dial("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		slow := f.dial("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
		silent.expect(t, "", true)
		idle.expect(t, "200", false)
		last := f.dial("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, ended := slow.state(); !ended {
			t.Error("the connection of the incomplete body is open")
		}
		third := f.dial("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		idle.expect(t, "200", true)
		f.dial(ordinary).expect(t, "", true) // all calls run
		last.expect(t, "", false)
		third.expect(t, "", false)
		f.expectCuts(TooMany, TooMany, TooMany, TooMany)
	})
}

func TestConnectionsOfAddress(t *testing.T) {
	serve(t, 0, ListenerOptions{MaxPerAddress: 2}, func(f *fixture) {
		first, second := f.dial(""), f.dial(ordinary)
		f.dial(ordinary).expect(t, "", true)
		second.expect(t, "200", false)
		first.Close()
		synctest.Wait()
		f.dial(ordinary).expect(t, "200", false)
		f.expectCuts(AddressFull)
	})
}

// TestUnreadAnswers has callers that read no answer, and one whose call runs, take all connections.
func TestUnreadAnswers(t *testing.T) {
	serve(t, 0, ListenerOptions{MaxOpen: 3}, func(f *fixture) {
		held := f.dial("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		f.dial(unread)
		f.dial(unread)
		time.Sleep(time.Second)
		f.dial(ordinary).expect(t, "200", false)
		f.expectCuts(TooMany)
		time.Sleep(writeTime)
		f.expectCuts(TooMany, AnswerUnread)
		held.expect(t, "", false)
	})
}

// TestTimes sends what the limits allow, and less.
func TestTimes(t *testing.T) {
	serve(t, 1<<20, ListenerOptions{Limits: smallHeads}, func(f *fixture) {
		silent, partial, idle, pipelined := f.dial(""), f.dial("GET"), f.dial(ordinary), f.dial(ordinary+"GET /a")
		body, unread := f.dial("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab"), f.dial("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
		held := f.dial("POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		time.Sleep(3 * time.Second)
		partial.expect(t, "", false)
		time.Sleep(1100 * time.Millisecond)
		partial.expect(t, "408", true)
		pipelined.expect(t, "200 408", true)
		idle.expect(t, "200", false)
		idle.send("GET /a HTTP/1.1\r\n")
		time.Sleep(3 * time.Second)
		idle.send("Host: h\r\n\r\n")
		idle.expect(t, "200 200", false)
		time.Sleep(8 * time.Second)
		silent.expect(t, "", true)
		idle.expect(t, "200 200", false)
		time.Sleep(8 * time.Second)
		idle.expect(t, "200 200", true)
		body.expect(t, "", false)
		time.Sleep(8 * time.Second)
		body.expect(t, "408", true)
		if _, ended := unread.state(); !ended {
			t.Error("the connection of the body that nobody reads is open")
		}
		held.expect(t, "", false)
		f.expectCuts(HeadTooSlow, HeadTooSlow)
	})
}

// TestPendingConnections opens connections without HTTP that say nothing.
func TestPendingConnections(t *testing.T) {
	is := is.New(t)
	p := &pipes{make(chan net.Conn, 4)}
	l := New(0, nil).Listen(p, ListenerOptions{MaxIncomplete: 2})
	var ends []net.Conn
	accept := func() *Conn {
		near, far := net.Pipe()
		ends = append(ends, near)
		p.conns <- far
		c, err := l.Accept()
		is.NoErr(err)
		return c.(*Conn)
	}
	accept().Establish()
	accept()
	accept()
	accept()
	for i, closed := range []bool{false, true, false, false} {
		is.Equal(ends[i].SetReadDeadline(time.Now()) != nil, closed) // i
	}
}

// FuzzHeadEnds checks that the scanner ends heads where net/http does, however they are cut into pieces.
func FuzzHeadEnds(f *testing.F) {
	for _, text := range []string{
		ordinary + "rest", "GET / HTTP/1.1\nHost: h\n\nrest", "GET / HTTP/1.1\r\nHost: h\n\r\n\r\n", "GET / HTTP/1.1\r\nA: b\r\n c\r\n \r\n\r\nx",
		"GET / HTTP/1.0\r\n\r\nx", "\r\n\r\n" + ordinary, "GET / HTTP/1.1\r\nA: b\r\r\n\r\n",
	} {
		f.Add(text, 1)
		f.Add(text, 7)
	}
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if piece < 1 {
			return
		}
		var s headScanner
		taken, ended := 0, false
		for rest := text; rest != "" && !ended; {
			p := rest[:min(piece, len(rest))]
			var n int
			n, ended = s.next([]byte(p))
			taken += n
			rest = rest[n:]
		}
		source := strings.NewReader(text)
		reader := bufio.NewReader(source)
		if _, err := http.ReadRequest(reader); err != nil {
			return // net/http closes the connection
		}
		consumed := len(text) - source.Len() - reader.Buffered()
		if consumed != taken || !ended && consumed < len(text) {
			t.Errorf("head of %d bytes, ended: %v; net/http read %d", taken, ended, consumed)
		}
	})
}

// TestControlNodeTakesConnectionsOfAllUpstreams has the largest planned number of upstreams announce themselves to one node of
// the smallest size.
func TestControlNodeTakesConnectionsOfAllUpstreams(t *testing.T) {
	const upstreams = 3000
	if s := SharesOf(280, 4096); s.Operators < upstreams {
		t.Errorf("%d connections fit, %d are needed", s.Operators, upstreams)
	}
}
