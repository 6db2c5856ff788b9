package connlimit

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestFailedBodiesMakeRoom has callers leave within their bodies.
func TestFailedBodiesMakeRoom(t *testing.T) {
	serve(t, 0, ListenerOptions{MaxOpen: 3}, func(f *fixture) {
		for range 3 {
			f.dial("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\nab").Close()
		}
		synctest.Wait()
		if f.guard.Open() != 3 {
			t.Errorf("%d connections are open, expected those of the callers that have left", f.guard.Open())
		}
		f.dial(ordinary).expect(t, "200", false)
		f.expectCuts(TooMany)
		time.Sleep(time.Second)
	})
}

// TestSilentBodyMakesRoom cuts bodies whose callers have been silent for a while, and neither heads nor small or whole bodies.
func TestSilentBodyMakesRoom(t *testing.T) {
	serve(t, 0, ListenerOptions{}, func(f *fixture) {
		head := "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
		part := strings.Repeat("x", minCutBytes)
		small, whole := f.dial(fmt.Sprintf(head, "/a", 2*minCutBytes, "x")), f.dial(fmt.Sprintf(head, "/a", minCutBytes, part))
		first := f.dial(fmt.Sprintf(head, "/a", 2*minCutBytes, part))
		time.Sleep(time.Millisecond)
		second := f.dial(fmt.Sprintf(head, "/a", 2*minCutBytes, part))
		r := &http.Request{}
		time.Sleep(silentTime - 2*time.Millisecond)
		if f.guard.CutBody(r) {
			t.Error("a body was cut whose caller was not silent for long")
		}
		time.Sleep(2 * time.Millisecond)
		for _, want := range []bool{true, true, false} {
			if f.guard.CutBody(r) != want {
				t.Errorf("a body was cut: %v", !want)
			}
			if _, ended := second.state(); want && first.Conn != nil && ended == (len(f.cuts) == 1) {
				t.Error("the later body was cut first")
			}
		}
		small.expect(t, "", false)
		whole.expect(t, "200", false)
		f.expectCuts(BodiesFull, BodiesFull)
	})
}

// TestBodyInProgressStays has a body that goes on arriving, and others that began later and stopped.
func TestBodyInProgressStays(t *testing.T) {
	serve(t, 0, ListenerOptions{}, func(f *fixture) {
		head := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n"
		part := strings.Repeat("x", minCutBytes)
		goesOn := f.dial(head + part)
		time.Sleep(time.Millisecond)
		stopped := f.dial(head + part)
		time.Sleep(60 * time.Millisecond)
		goesOn.send(part)
		time.Sleep(60 * time.Millisecond)
		r := &http.Request{}
		if !f.guard.CutBody(r) || f.guard.CutBody(r) {
			t.Error("not just one body was cut")
		}
		stopped.expect(t, "", true)
		for range 20 {
			time.Sleep(60 * time.Millisecond)
			goesOn.send("x")
		}
		if !f.guard.CutBody(r) {
			t.Error("a slow body was not cut")
		}
		goesOn.expect(t, "", true)
	})
}

// TestBodyThatWaitedForMemoryIsNotSlow has a body wait for memory for longer than a slow body may take, and then go on.
func TestBodyThatWaitedForMemoryIsNotSlow(t *testing.T) {
	serve(t, 0, ListenerOptions{}, func(f *fixture) {
		part := strings.Repeat("x", minCutBytes)
		waits := f.dial("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n" + part)
		synctest.Wait()
		f.guard.mu.Lock()
		conn := f.guard.listeners[0].incomplete.front
		f.guard.mu.Unlock()
		own := (&http.Request{}).WithContext(context.WithValue(t.Context(), contextKey{}, conn))
		for range 20 {
			if f.guard.CutBody(own) {
				t.Error("a body was cut for itself")
			}
			time.Sleep(slowBodyTime / 10)
		}
		waits.send("x")
		synctest.Wait()
		if f.guard.CutBody(&http.Request{}) {
			t.Error("a body was cut that had waited for memory")
		}
		for range 20 {
			time.Sleep(60 * time.Millisecond)
			waits.send("x")
		}
		if !f.guard.CutBody(&http.Request{}) {
			t.Error("a slow body was not cut")
		}
	})
}

// TestRefusalOfBodyCanBeRead refuses a body of which most was not read. The connection stays for a while: closing it at once would
// reset it, which may lose the refusal.
func TestRefusalOfBodyCanBeRead(t *testing.T) {
	serve(t, 0, ListenerOptions{}, func(f *fixture) {
		c := f.dial("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\nab")
		c.expect(t, "200", false)
		time.Sleep(time.Second)
		c.expect(t, "200", true)
	})
}
