package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/engine"
)

// fakeEntryNode keeps the last announcement. It refuses announcements while it is down.
type fakeEntryNode struct {
	mu   sync.Mutex
	last directory.Announcement
	down bool
}

func (n *fakeEntryNode) Announce(_ context.Context, a directory.Announcement) (engine.AnnounceReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return engine.AnnounceReply{}, errors.New("down")
	}
	n.last = a
	return engine.AnnounceReply{}, nil
}

func (n *fakeEntryNode) CacheEvents(context.Context, engine.CacheEvents) (engine.CacheReply, error) {
	return engine.CacheReply{}, nil
}

func (n *fakeEntryNode) get() directory.Announcement {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.last
}

func (n *fakeEntryNode) setDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
}

// serveNode starts an HTTP server for an entry node and returns its address.
func serveNode(t *testing.T, n *fakeEntryNode) string {
	t.Helper()
	s := httptest.NewServer(engine.Handler(n, bodybuffer.Intake{Budget: bodybuffer.BudgetOf(512)}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestAnnouncerSwitchesEntryNode(t *testing.T) {
	is := is.New(t)
	var first, second fakeEntryNode
	entries := []string{serveNode(t, &first), serveNode(t, &second)}
	s := NewService(ServiceConfig{
		ID: "q1", Domain: "nue", Service: "queue", Entries: entries,
		AnnounceEvery: 10 * time.Millisecond, LeaveGrace: 50 * time.Millisecond,
	})
	is.NoErr(s.Start(t.Context()))
	t.Cleanup(s.Kill)
	waitFor(t, func() bool { return first.get().Seq > 1 })
	is.Equal(second.get().Seq, uint64(0)) // only one entry node gets announcements
	first.setDown(true)
	waitFor(t, func() bool { return second.get().Seq > 0 })
	is.Equal(second.get().Service, "queue")
	is.NoErr(s.Stop(t.Context()))
	is.True(second.get().Leaving)
}

func TestServiceJournal(t *testing.T) {
	is := is.New(t)
	s := NewService(ServiceConfig{ID: "q1", Domain: "nue", Service: "queue"})
	is.NoErr(s.Start(t.Context()))
	t.Cleanup(s.Kill)
	call := func() (*http.Response, error) {
		url := "http://" + s.Addr() + "/invoices"
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("body"))
		is.NoErr(err)
		// HeaderAttempt rather than an idempotency key, with which the transport would
		// resend the call itself.
		r.Header.Set(engine.HeaderAttempt, "a1")
		transport := &http.Transport{DisableKeepAlives: true}
		return transport.RoundTrip(r)
	}
	s.SetFaults(Faults{Refuse: true})
	r, err := call()
	is.NoErr(err)
	is.NoErr(r.Body.Close())
	is.Equal(r.Header.Get(engine.HeaderNotRun), engine.NotRun)
	is.Equal(r.Header.Get(engine.HeaderAttempt), "a1") // or the refusal would prove nothing
	is.Equal(len(s.Journal()), 0)

	s.SetFaults(Faults{CutAfter: 1})
	r, err = call()
	if err == nil {
		_ = r.Body.Close()
	}
	is.True(err != nil)
	is.Equal(len(s.Journal()), 1) // the call ran although its answer was lost
	is.Equal(s.Journal()[0].Attempt, "a1")

	s.SetFaults(Faults{})
	r, err = call()
	is.NoErr(err)
	is.NoErr(r.Body.Close())
	is.Equal(r.Header.Get(engine.HeaderAttempt), "a1")
	is.Equal(len(s.Journal()), 2)
}
