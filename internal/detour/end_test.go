package detour_test

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/detour"
	"github.com/agateslip/agateslip/internal/faultproxy"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// helperVariable holds the address of the upstream in the environment of a helper process.
const helperVariable = "AGATESLIP_TEST_DETOUR_UPSTREAM"

func TestMain(m *testing.M) {
	if upstream := os.Getenv(helperVariable); upstream != "" {
		runHelper(upstream)
		return
	}
	os.Exit(m.Run())
}

// runHelper serves detours to an upstream until the process is killed, and prints its address.
func runHelper(upstream string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	s := &detour.Server{
		Secret: secret, Paths: detour.NewPaths(direct, nil, func(bool) {}),
		Serves: func(addr string) bool { return addr == upstream },
	}
	panic(s.Serve(l))
}

// startHelper starts a helper in a process of its own.
func startHelper(t *testing.T, upstream string) (addr string, kill func()) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), helperVariable+"="+upstream)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := false
	kill = func() {
		if !ended {
			ended = true
			_ = cmd.Process.Kill()
			_ = cmd.Wait() // "signal: killed"
		}
	}
	t.Cleanup(kill)
	addr, err = bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(addr), kill
}

// part is the first part of an answer whose upstream goes on with it for the rest of the test.
const part = "HTTP/1.1 200 OK\r\n\r\nfirst part"

// unfinished starts an upstream that sends part and then nothing until its connection ends.
func unfinished(t *testing.T) string {
	return listen(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, part)
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	})
}

// readPart reads part from a detour.
func readPart(t *testing.T, conn net.Conn) {
	t.Helper()
	got := make([]byte, len(part))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != part {
		t.Fatal(string(got), err)
	}
}

// TestKilledHelperIsNoEndOfAnswer guards against an answer without a length that looks complete because
// the node in between was killed.
func TestKilledHelperIsNoEndOfAnswer(t *testing.T) {
	is := is.New(t)
	upstream := unfinished(t)
	addr, kill := startHelper(t, upstream)
	conn, err := client(secret, addr).Dial(t.Context(), upstream)
	is.NoErr(err)
	defer conn.Close()
	readPart(t, conn)
	kill()
	_, err = io.ReadAll(conn)
	is.True(err != nil)
}

// TestEndOfHelperConnectionIsNoEndOfAnswer has the connection between the nodes end in the usual way, wherever in
// a frame that is, while the upstream goes on.
func TestEndOfHelperConnectionIsNoEndOfAnswer(t *testing.T) {
	upstream := unfinished(t)
	behind := helper(t, direct, upstream)
	nonceAndAnswer := int64(len("0123456789abcdef0123456789abcdef framed\nconnected\n"))
	for _, cut := range []int64{0, 1, 2, 3, int64(len(part)) + 1} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			is := is.New(t)
			proxy, err := faultproxy.New(behind)
			is.NoErr(err)
			defer proxy.Close()
			proxy.SetLater(faultproxy.Rules{ToClient: faultproxy.Rule{TruncateAfter: nonceAndAnswer + cut}})
			conn, err := client(secret, proxy.Addr()).Dial(t.Context(), upstream)
			is.NoErr(err)
			defer conn.Close()
			got, err := io.ReadAll(conn)
			is.True(err != nil)
			is.True(strings.HasPrefix(part, string(got)))
		})
	}
}

// TestHelperAtEndOfGraceIsNoEndOfAnswer stops a node whose detours outlast its grace.
func TestHelperAtEndOfGraceIsNoEndOfAnswer(t *testing.T) {
	is := is.New(t)
	upstream := unfinished(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &detour.Server{
		Secret: secret, Paths: detour.NewPaths(direct, nil, func(bool) {}), Serves: func(string) bool { return true },
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, l, 50*time.Millisecond) }()
	conn, err := client(secret, l.Addr().String()).Dial(t.Context(), upstream)
	is.NoErr(err)
	defer conn.Close()
	readPart(t, conn)
	stop()
	is.NoErr(<-ended)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(2 * time.Second)))
	_, err = io.ReadAll(conn)
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
}

// TestWholeAnswerArrives has an upstream answer and close while the node still sends the body of its request.
func TestWholeAnswerArrives(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("0123456789abcdef", 64<<10)
	upstream := listen(t, func(conn net.Conn) {
		_, _ = io.ReadFull(conn, make([]byte, 100))
		_, _ = io.WriteString(conn, body)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	})
	conn, err := client(secret, helper(t, direct, upstream)).Dial(t.Context(), upstream)
	is.NoErr(err)
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, body) }()
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(len(got), len(body))
}

// The nodes of commit 7f3b68b, which a node may meet during an upgrade, send no frames.

// legacyProof is the proof of a node that knows no frames.
func legacyProof(nonce, addr string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	fmt.Fprintf(mac, "detour %s %s", nonce, addr)
	return hex.EncodeToString(mac.Sum(nil))
}

// TestHelperWithoutFrames has a node take a detour through one of an earlier build. It carries the bytes; its
// end is no end of the answer, because that node may have been killed.
func TestHelperWithoutFrames(t *testing.T) {
	is := is.New(t)
	const nonce = "0123456789abcdef0123456789abcdef"
	proven := make(chan bool, 1)
	addr := listen(t, func(conn net.Conn) {
		fmt.Fprintln(conn, nonce)
		line, _ := bufio.NewReader(conn).ReadString('\n')
		proven <- line == "192.0.2.1:80 "+legacyProof(nonce, "192.0.2.1:80")+"\n"
		_, _ = io.WriteString(conn, "connected\n"+part)
		conn.Close()
	})
	conn, err := client(secret, addr).Dial(t.Context(), "192.0.2.1:80")
	is.NoErr(err)
	defer conn.Close()
	is.True(<-proven)
	readPart(t, conn)
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, io.EOF))
}

// dialWithoutFrames takes a detour as a node of an earlier build does.
func dialWithoutFrames(t *testing.T, helper, upstream string) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp", helper)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	reader := bufio.NewReaderSize(conn, 1<<10)
	nonce, err := reader.ReadString('\n')
	if err == nil {
		_, err = fmt.Fprintf(conn, "%s %s\n", upstream, legacyProof(strings.TrimSuffix(nonce, "\n"), upstream))
	}
	answer := ""
	if err == nil {
		answer, err = reader.ReadString('\n')
	}
	if err != nil || answer != "connected\n" {
		t.Fatal(answer, err)
	}
	return reader
}

// TestNodeWithoutFrames has a node of an earlier build take detours through this one. Such a node takes every
// end of the connection for the end of the answer, so that a killed process must reset it.
func TestNodeWithoutFrames(t *testing.T) {
	is := is.New(t)
	ending := listen(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, part)
		conn.Close()
	})
	reader := dialWithoutFrames(t, helper(t, direct, ending), ending)
	got, err := io.ReadAll(reader)
	is.NoErr(err)
	is.Equal(string(got), part)

	upstream := unfinished(t)
	addr, kill := startHelper(t, upstream)
	reader = dialWithoutFrames(t, addr, upstream)
	got = make([]byte, len(part))
	_, err = io.ReadFull(reader, got)
	is.NoErr(err)
	kill()
	_, err = io.ReadAll(reader)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestStoppingHelperAsksForNoFurtherCalls stops a node while a call runs through it, and one whose connection is
// idle. The call must end as usual, and its connection carry no further call.
func TestStoppingHelperAsksForNoFurtherCalls(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	upstream := listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if r.URL.Path == "/slow" {
				<-release
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\nfine", r.Header.Get("Id"))
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &detour.Server{
		Secret: secret, Paths: detour.NewPaths(direct, nil, func(bool) {}), Serves: func(string) bool { return true },
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, l, 5*time.Second) }()
	pool := upstreamconn.NewPool(client(secret, l.Addr().String()).Dial)
	call := func(path, id string) (*upstreamconn.Conn, func() error) {
		c, err := pool.Get(t.Context(), upstream, id)
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
		is.NoErr(c.Send(&upstreamconn.Request{Method: "GET", URI: path, Host: "h", Header: http.Header{"Id": {id}}}))
		return c, func() error {
			resp, err := c.Receive(func(http.Header) upstreamconn.Owner { return upstreamconn.ThisCall })
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			return err
		}
	}
	slow, slowAnswer := call("/slow", "a")
	idle, answer := call("/", "b")
	is.NoErr(answer())
	idle.Release()
	stop()
	time.Sleep(100 * time.Millisecond)
	_, err = pool.Get(t.Context(), upstream, "c") // the idle connection is not used, and the node accepts no other
	is.True(errors.Is(err, upstreamconn.ErrNotSent))
	close(release)
	is.NoErr(slowAnswer())
	slow.Release()
	_, err = pool.Get(t.Context(), upstream, "d")
	is.True(errors.Is(err, upstreamconn.ErrNotSent))
	is.NoErr(<-ended) // the detours have ended, long before the grace is over
}

// TestDetourSetUpWhileHelperStopsIsToldSo guards against calls on a detour that was being set up when its helper began to stop. The
// helper accepts no other connection then, and ends without waiting for this one.
func TestDetourSetUpWhileHelperStopsIsToldSo(t *testing.T) {
	is := is.New(t)
	upstream := listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\nfine", r.Header.Get("Id"))
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	connecting, connect := make(chan struct{}), make(chan struct{})
	s := &detour.Server{
		Secret: secret, Serves: func(string) bool { return true },
		Paths: detour.NewPaths(func(ctx context.Context, addr string) (net.Conn, error) {
			close(connecting)
			<-connect
			return direct(ctx, addr)
		}, nil, func(bool) {}),
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, l, 5*time.Second) }()
	pool := upstreamconn.NewPool(client(secret, l.Addr().String()).Dial)
	go func() {
		<-connecting
		stop()
		err := <-ended
		ended <- err
		close(connect)
	}()
	const fewCalls = 100 // the notice may arrive after some answers
	for served := range fewCalls {
		id := fmt.Sprint("c", served)
		c, err := pool.Get(t.Context(), upstream, id)
		if served > 0 && errors.Is(err, upstreamconn.ErrNotSent) {
			is.NoErr(<-ended)
			return
		}
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(time.Second)))
		is.NoErr(c.Send(&upstreamconn.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {id}}}))
		resp, err := c.Receive(func(http.Header) upstreamconn.Owner { return upstreamconn.ThisCall })
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		c.Release()
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d calls were sent through a node that stops", fewCalls)
}
