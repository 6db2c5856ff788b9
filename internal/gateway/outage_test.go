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

// claimsInOutage fails to record outcomes, as without a leader of the control group,
// until the outage has ended.
type claimsInOutage struct {
	*fakeNode
	ended       atomic.Bool
	finishCalls atomic.Int32
}

func (o *claimsInOutage) Finish(ctx context.Context, f ledger.Finish) error {
	o.finishCalls.Add(1)
	if !o.ended.Load() {
		return errors.New("no leader")
	}
	return o.fakeNode.Finish(ctx, f)
}

func newGatewayInOutage(t *testing.T) (*Gateway, *claimsInOutage, string) {
	g, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ran") })
	f.contract.Wait = contract.Duration(500 * time.Millisecond)
	o := &claimsInOutage{fakeNode: f}
	g.claims = o
	return g, o, url
}

func sendPayment(t *testing.T, url string) (*http.Response, string) {
	t.Helper()
	resp, body, err := sendRequest(t, http.MethodPost, url+"/services/s/pay", "{}", headerIdempotencyKey, "k1")
	if err != nil {
		t.Fatal(err)
	}
	return resp, body
}

// TestRefusalDoesNotWaitForRecord refuses a claimed call while its claim cannot be
// released. The caller must get the refusal at once, and the claim is released after
// the outage.
func TestRefusalDoesNotWaitForRecord(t *testing.T) {
	is := is.New(t)
	g, o, url := newGatewayInOutage(t)
	o.admitErr = NewRefusal(ReasonQueueFull, time.Second, "full")
	resp, _ := sendPayment(t, url)
	is.Equal(resp.Header.Get(HeaderRan), string(NotRun))
	is.True(!o.ended.Load())
	is.True(g.Running() > 0) // a graceful shutdown waits for the record
	o.ended.Store(true)
	o.admitErr = nil
	for {
		resp, body := sendPayment(t, url)
		if resp.StatusCode == http.StatusOK {
			is.Equal(body, "ran")
			return
		}
		is.Equal(resp.Header.Get(HeaderReason), string(ReasonInProgress))
	}
}

// TestUnrecordedAnswerIsSentAtDeadline has the upstream answer a call whose outcome
// cannot be recorded before the caller's deadline.
func TestUnrecordedAnswerIsSentAtDeadline(t *testing.T) {
	is := is.New(t)
	_, _, url := newGatewayInOutage(t)
	resp, body := sendPayment(t, url)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "ran")
}

// TestOutcomeIsRecordedAfterOutage has an outage that lasts longer than a graceful
// shutdown waits for a record. The gateway must continue to try, or the claim stays
// pending and blocks every repeat of the call.
func TestOutcomeIsRecordedAfterOutage(t *testing.T) {
	is := is.New(t)
	g, o, url := newGatewayInOutage(t)
	g.recordTimeout = time.Millisecond
	sendPayment(t, url)
	for o.finishCalls.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	o.ended.Store(true)
	for range 20 {
		resp, _ := sendPayment(t, url)
		if resp.Header.Get(headerReplayed) == "true" {
			return
		}
	}
	is.Fail() // the claim stays pending and blocks the repeats
}

// TestRunOnceSendsNothingAfterDeadline has the upstream refuse a call only after its
// deadline. The caller was refused by then, so the call must not be sent to another
// upstream.
func TestRunOnceSendsNothingAfterDeadline(t *testing.T) {
	is := is.New(t)
	var lateCalls atomic.Int32
	asked := make(chan struct{})
	g, f, url := newGateway(t, func(w http.ResponseWriter, r *http.Request) {
		<-asked
		refuseCall(w, r)
	}, func(http.ResponseWriter, *http.Request) { lateCalls.Add(1) })
	release := sync.OnceFunc(func() { close(asked) })
	t.Cleanup(release) // closing the upstream waits for its handlers
	f.contract.Wait = contract.Duration(100 * time.Millisecond)
	resp, _ := sendPayment(t, url)
	is.Equal(resp.Header.Get(HeaderReason), string(ReasonDeadline))
	release()
	for g.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(lateCalls.Load(), int32(0))
	f.contract.Wait = contract.Duration(10 * time.Second)
	f.upstreams = f.upstreams[1:]
	resp, _ = sendPayment(t, url)
	is.Equal(resp.StatusCode, http.StatusOK) // the first call is recorded as not run
}
