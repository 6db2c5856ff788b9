package engine

import (
	"fmt"
	"testing"

	"github.com/agateslip/agateslip/internal/testutil"
)

// TestCutAnswerToOrderIsUnknown guards against orders that count as accepted after an answer that breaks off, in the head too.
func TestCutAnswerToOrderIsUnknown(t *testing.T) {
	const reply = `{"id":"o1","outcome":"accepted"}`
	for _, framing := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(reply), reply),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(reply), reply),
		"Connection: close\r\n\r\n" + reply,
	} {
		text := "HTTP/1.1 202 Accepted\r\n" + framing
		addr, set := testutil.ServeCut(t, "None")
		send := func(sent string, reset bool) Outcome {
			set(testutil.CutAnswer{Sent: sent, Reset: reset})
			return new(Client).Send(t.Context(), addr, testOrder()).Outcome
		}
		for n := range text {
			for _, reset := range []bool{false, true} {
				if got := send(text[:n], reset); got != Unknown {
					t.Errorf("%d bytes of %q, reset %t: %v", n, text, reset, got)
				}
			}
		}
		if got := send(text, false); got != Accepted {
			t.Errorf("%q: %v", text, got)
		}
	}
}
