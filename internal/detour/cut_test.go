package detour_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/testutil"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// post sends a call with a body through a helper and returns the body of its answer.
func post(t *testing.T, helper, addr string, body []byte) (string, error) {
	t.Helper()
	const dials = 20 // on a busy machine, some set-ups of a detour take too long
	var c *upstreamconn.Conn
	err := errors.New("no dial")
	for n := 0; n < dials && err != nil; n++ {
		c, err = upstreamconn.NewPool(client(secret, helper).Dial).Get(t.Context(), addr, "a")
	}
	if err == nil {
		defer c.Close()
		err = c.SetDeadline(time.Now().Add(5 * time.Second))
	}
	if err == nil {
		err = c.Send(&upstreamconn.Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}, Body: body})
	}
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Receive(func(http.Header) upstreamconn.Owner { return upstreamconn.ThisCall })
	if err != nil {
		return "", err
	}
	answer, err := io.ReadAll(resp.Body)
	return string(answer), err
}

// TestCutAnswerIsNotWholeThroughHelper guards against answers that break off, in the head too, and count as whole.
func TestCutAnswerIsNotWholeThroughHelper(t *testing.T) {
	t.Parallel()
	addr, set := testutil.ServeCut(t, "Id")
	through := helper(t, direct, addr)
	for _, cut := range testutil.CutAnswers("Id: ID\r\n") {
		set(cut)
		if body, err := post(t, through, addr, []byte("body")); (err == nil) != cut.MayBeWhole {
			t.Errorf("%s: body %q, error %v", cut.Name, body, err)
		}
	}
}

// TestAnswerResetWhileBodyIsSentThroughHelperIsNotWhole guards against a reset of the upstream that the helper passes on as the end of
// the answer, because the kernel told the write of the request's body only.
func TestAnswerResetWhileBodyIsSentThroughHelperIsNotWhole(t *testing.T) {
	t.Parallel()
	addr, set := testutil.ServeCut(t, "Id")
	set(testutil.UnreadBody("Id: ID\r\n"))
	through := helper(t, direct, addr)
	body := make([]byte, 16<<20)
	const calls = 50
	whole := 0
	for range calls {
		if _, err := post(t, through, addr, body); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d answers count as whole", whole, calls)
	}
}
