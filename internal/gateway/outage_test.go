package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/ledger"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// outage is a control group that records nothing until it is over.
type outage struct {
	*fakeNode
	over  atomic.Bool
	tries atomic.Int32
}

func (o *outage) Finish(ctx context.Context, f ledger.Finish) error {
	o.tries.Add(1)
	if !o.over.Load() {
		return errors.New("no leader")
	}
	return o.fakeNode.Finish(ctx, f)
}

func newOutage(t *testing.T) (*Gateway, *outage, string) {
	g, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ran") })
	f.contract.Wait = contract.Duration(500 * time.Millisecond)
	o := &outage{fakeNode: f}
	g.claims = o
	return g, o, url
}

func pay(t *testing.T, url string) (*http.Response, string) {
	t.Helper()
	resp, body, err := answerOf(t, http.MethodPost, url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
	if err != nil {
		t.Fatal(err)
	}
	return resp, body
}

// TestRefusalDoesNotWaitForItsRecord refuses a claimed call while its claim
// cannot be given back.
func TestRefusalDoesNotWaitForItsRecord(t *testing.T) {
	is := is.New(t)
	g, o, url := newOutage(t)
	o.refuse = NewRefusal(ReasonQueueFull, time.Second, "full")
	resp, _ := pay(t, url)
	is.Equal(resp.Header.Get(HeaderRan), string(NotRun))
	is.True(!o.over.Load())
	is.True(g.Running() > 0) // a planned stop waits for the record
	o.over.Store(true)
	o.refuse = nil
	for {
		resp, body := pay(t, url)
		if resp.StatusCode == http.StatusOK {
			is.Equal(body, "ran")
			return
		}
		is.Equal(resp.Header.Get(HeaderReason), string(ReasonInProgress))
	}
}

// TestKnownAnswerIsGivenAtTheDeadline has a call answered whose outcome cannot
// be recorded before the caller's deadline.
func TestKnownAnswerIsGivenAtTheDeadline(t *testing.T) {
	is := is.New(t)
	_, _, url := newOutage(t)
	resp, body := pay(t, url)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "ran")
}

// TestOutcomeIsRecordedAfterALongOutage has the control group away for longer
// than a planned stop waits for a record.
func TestOutcomeIsRecordedAfterALongOutage(t *testing.T) {
	is := is.New(t)
	g, o, url := newOutage(t)
	g.settleLimit = time.Millisecond
	pay(t, url)
	for o.tries.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	o.over.Store(true)
	for range 20 {
		resp, _ := pay(t, url)
		if resp.Header.Get(headerReplayed) == "true" {
			return
		}
	}
	is.Fail() // repeats are held up by a claim that stays pending
}

// TestNothingIsSentAfterTheDeadline has an upstream refuse a call only after its
// deadline. The caller has its refusal by then, so no other upstream is asked.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	var late atomic.Int32
	asked := make(chan struct{})
	g, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		<-asked
		w.Header().Set(headerNotRun, "true")
	}, func(http.ResponseWriter, *http.Request) { late.Add(1) })
	release := sync.OnceFunc(func() { close(asked) })
	t.Cleanup(release) // the upstream ends only without a blocked handler
	f.contract.Wait = contract.Duration(100 * time.Millisecond)
	resp, _ := pay(t, url)
	is.Equal(resp.Header.Get(HeaderReason), string(ReasonDeadline))
	release()
	for g.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(late.Load(), int32(0))
	f.contract.Wait = contract.Duration(10 * time.Second)
	f.upstreams = f.upstreams[1:]
	resp, _ = pay(t, url)
	is.Equal(resp.StatusCode, http.StatusOK) // the first call is recorded as not run
}
