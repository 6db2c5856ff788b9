package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/bodybuffer"
)

// recordingSink records the messages that it receives.
type recordingSink struct {
	announced []directory.Announcement
	batches   []CacheEvents
}

func (s *recordingSink) Announce(_ context.Context, a directory.Announcement) (AnnounceReply, error) {
	s.announced = append(s.announced, a)
	return AnnounceReply{TTL: Millis(2 * time.Second), NextAfter: Millis(500 * time.Millisecond)}, nil
}

func (s *recordingSink) CacheEvents(_ context.Context, e CacheEvents) (CacheReply, error) {
	s.batches = append(s.batches, e)
	return CacheReply{Resync: true}, nil
}

const validAnnouncement = `{"id":"e1","incarnation":1,"seq":1,"addr":"127.0.0.1:9000","domain":"muc",
"kind":"engine","memory":100,"slots":4,"checksFencing":true,"load":{"running":0,"queued":0},
"replicas":[{"grant":1,"model":"m","state":"ready","memory":5}],"copies":[{"model":"m","tier":"disk"}]}`

func post(h http.Handler, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json; charset=utf-8")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestAnnouncementReachesSink(t *testing.T) {
	is := is.New(t)
	s := &recordingSink{}
	w := post(Handler(s, testBodies()), PathAnnounce, validAnnouncement)
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.String(), `{"ttl":2000,"nextAfter":500}`)
	is.Equal(len(s.announced), 1)
	is.Equal(s.announced[0].Replicas[0].Grant, uint64(1))
}

func TestInvalidAnnouncementNamesField(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"unknown field", `"slots":4`, `"slots":4,"extra":1`, "extra"},
		{"wrong type", `"slots":4`, `"slots":"4"`, "slots"},
		{"host name", "127.0.0.1:9000", "engine.local:9000", "addr"},
		{"unspecified address", "127.0.0.1:9000", "0.0.0.0:9000", "addr"},
		{"no id", `"id":"e1"`, `"id":""`, "id"},
		{"control byte", `"id":"e1"`, `"id":"e\n1"`, "id"},
		{"long name", `"id":"e1"`, `"id":"` + strings.Repeat("e", MaxName+1) + `"`, "id"},
		{"zero incarnation", `"incarnation":1`, `"incarnation":0`, "incarnation"},
		{"unknown kind", `"kind":"engine"`, `"kind":"router"`, "kind"},
		{"unknown state", `"state":"ready"`, `"state":"warm"`, "replicas[0].state"},
		{"unknown tier", `"tier":"disk"`, `"tier":"tape"`, "copies[0].tier"},
		{"service with replicas", `"kind":"engine"`, `"kind":"service","service":"q"`, "replicas"},
		{"negative memory", `"memory":100`, `"memory":-1`, "memory"},
		{"trailing data", `"disk"}]}`, `"disk"}]}{}`, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &recordingSink{}
			body := strings.Replace(validAnnouncement, c.old, c.new, 1)
			w := post(Handler(s, testBodies()), PathAnnounce, body)
			is.Equal(w.Code, http.StatusBadRequest)
			is.True(strings.HasPrefix(w.Body.String(), `{"error":{"field":"`+c.field+`"`)) // field named
			is.Equal(len(s.announced), 0)
		})
	}
}

func TestOversizedAnnouncementIsRefused(t *testing.T) {
	is := is.New(t)
	w := post(Handler(&recordingSink{}, testBodies()), PathAnnounce, strings.Repeat(" ", MaxAnnouncement+1))
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
}

func TestSequenceFindsGaps(t *testing.T) {
	is := is.New(t)
	var s Sequence
	observe := func(incarnation, seq uint64, full bool) Verdict {
		return s.Observe(&CacheEvents{Incarnation: incarnation, Seq: seq, Full: full})
	}
	is.Equal(observe(1, 1, false), Apply)
	is.Equal(observe(1, 2, false), Apply)
	is.Equal(observe(1, 2, false), Drop)   // repeated
	is.Equal(observe(1, 4, false), Gap)    // 3 is missing
	is.Equal(observe(1, 3, false), Drop)   // late
	is.Equal(observe(1, 5, false), Gap)    // still unreliable
	is.Equal(observe(1, 6, true), Replace) // full list
	is.Equal(observe(1, 7, false), Apply)  // reliable again
	is.Equal(observe(2, 2, false), Gap)    // new incarnation, first batch missing
	is.Equal(observe(1, 8, false), Drop)   // old incarnation
}

func testOrder() Order {
	return Order{
		ID: "o1", Kind: Load, Upstream: "e1", Incarnation: 1, Fencing: 3, Grant: 7,
		Model: "m", Memory: 10, Deadline: Millis(5 * time.Second),
	}
}

// orderServer runs h as the server of an upstream and returns its address.
func orderServer(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestOrderOutcomes(t *testing.T) {
	is := is.New(t)
	var client Client
	var got Order
	result := Result{Outcome: Accepted}
	addr := orderServer(t, OrdersHandler(func(_ context.Context, o Order) Result {
		got = o
		return result
	}))
	is.Equal(client.Send(t.Context(), addr, testOrder()).Outcome, Accepted)
	is.Equal(got, testOrder())

	result = Result{Outcome: Refused, Reason: StaleFencing, Detail: "seen 4"}
	is.Equal(client.Send(t.Context(), addr, testOrder()), result)
}

// unanswered reads the order and waits until its sender has disconnected.
func unanswered(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestOrderWithoutValidAnswerIsUnknown(t *testing.T) {
	var client Client
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	handlers := map[string]http.HandlerFunc{
		"aborted":       func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no answer":     unanswered,
		"another order": reply(http.StatusAccepted, `{"id":"o2","outcome":"accepted"}`),
		"contradiction": reply(http.StatusBadGateway, `{"id":"o1","outcome":"accepted"}`),
		"odd status":    reply(999, `{"id":"o1","outcome":"refused"}`),
		"not JSON":      reply(http.StatusAccepted, `accepted`),
		"redirect":      func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusTemporaryRedirect) },
	}
	for name, h := range handlers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int64
			addr := orderServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				served.Add(1)
				h(w, r)
			}))
			o := testOrder()
			o.Deadline = Millis(200 * time.Millisecond)
			is.Equal(client.Send(t.Context(), addr, o).Outcome, Unknown)
			is.Equal(served.Load(), int64(1)) // never sent again
		})
	}
}

func TestOrderToClosedPortIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := listener.Addr().String()
	is.NoErr(listener.Close())
	var client Client
	is.Equal(client.Send(t.Context(), addr, testOrder()).Outcome, NotSent)
}

func TestInvalidOrderIsNotExecuted(t *testing.T) {
	is := is.New(t)
	executed := false
	h := OrdersHandler(func(context.Context, Order) Result {
		executed = true
		return Result{Outcome: Accepted}
	})
	w := post(h, PathOrders, `{"id":"o1","kind":"load","upstream":"e1","incarnation":1,"grant":1,"model":"m","deadline":5}`)
	is.Equal(w.Code, http.StatusBadRequest)
	is.True(strings.Contains(w.Body.String(), "memory must be positive for a load"))
	is.True(!executed)
}

func TestPrefixHashesShareLeadingBlocks(t *testing.T) {
	is := is.New(t)
	shared := strings.Repeat("a", 2*PrefixBlock)
	one := PrefixHashes([]byte(shared + "x"))
	two := PrefixHashes([]byte(shared + strings.Repeat("b", PrefixBlock)))
	is.Equal(len(one), 2)
	is.Equal(len(two), 3)
	is.Equal(two[:2], one)
	long := strings.Repeat("c", (MaxPrefixBlocks+1)*PrefixBlock)
	is.Equal(len(PrefixHashes([]byte(long))), MaxPrefixBlocks)
}

// testBodies returns the limits of the bodies of a node with 512 MiB.
func testBodies() bodybuffer.Intake {
	return bodybuffer.Intake{Budget: bodybuffer.BudgetOf(512)}
}
