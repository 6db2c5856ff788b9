package integration

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/standin"
)

// rawCall returns the bytes of a run-once call with an idempotency key. The 1000-byte body is
// cut to bodyBytes.
func rawCall(key string, bodyBytes int) string {
	body := strings.Repeat("x", 1000)
	head := fmt.Sprintf("POST /services/ledger/transfers HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n", callerKey, key, len(body))
	return (head + body)[:len(head)+bodyBytes]
}

// exchangeRaw writes text to a node and returns what the node sends until it closes the
// connection or a second has passed.
func exchangeRaw(t *testing.T, n *node, text string, halfClose bool) string {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", n.callerAddr)
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte(text))
	is.NoErr(err)
	if halfClose {
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
	}
	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
	// The answer may be followed by a reset or by silence, so the error does not matter.
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// TestMalformedRequestsRunNothing sends requests that are cut off, ambiguous or not allowed.
// None may reach the upstream.
func TestMalformedRequestsRunNothing(t *testing.T) {
	t.Parallel()
	c, s := startLedgerCluster(t)
	valid := rawCall("valid", 1000)
	cases := []struct {
		name, text string
		halfClose  bool
	}{
		{"body cut off by half-close", rawCall("a", 500), true},
		{"body that stops coming", rawCall("b", 500), false},
		{"two lengths", strings.Replace(valid, "Content-Length: 1000", "Content-Length: 1000\r\nContent-Length: 10", 1), false},
		{"length and chunks", strings.Replace(valid, "Content-Length: 1000", "Content-Length: 1000\r\nTransfer-Encoding: chunked", 1), false},
		{"space before colon", strings.Replace(valid, "Content-Length: 1000", "Content-Length : 1000", 1), false},
		{"negative length", strings.Replace(valid, "Content-Length: 1000", "Content-Length: -1", 1), false},
		{"no host", strings.Replace(valid, "Host: node\r\n", "", 1), false},
		{"idempotency key with a control byte", strings.Replace(valid, "Key: valid", "Key: va\x01lid", 1), false},
		{"oversized header", strings.Replace(valid, "Host: node", "Host: node\r\nX-Large: "+strings.Repeat("h", 1<<20), 1), false},
		{"path with dots", strings.Replace(valid, "/transfers ", "/x/../transfers ", 1), false},
		{"path with an encoded slash", strings.Replace(valid, "/ledger/transfers ", "/ledger%2Ftransfers ", 1), false},
		{"unknown caller key", strings.Replace(valid, callerKey, "nobody", 1), false},
	}
	before := len(s.Journal())
	for i, bad := range cases {
		t.Run(bad.name, func(t *testing.T) {
			is := is.New(t)
			answer := exchangeRaw(t, c.nodes[i%3], bad.text, bad.halfClose)
			status, _, _ := strings.Cut(strings.TrimPrefix(answer, "HTTP/1.1 "), " ")
			is.True(answer == "" || strings.HasPrefix(status, "4") || strings.HasPrefix(status, "3"))
			is.Equal(len(s.Journal()), before)
		})
	}
	is := is.New(t)
	answer := exchangeRaw(t, c.nodes[0], valid, false)
	is.True(strings.HasPrefix(answer, "HTTP/1.1 200"))
	is.Equal(countRuns(s.Journal(), "valid"), 1) // the unmodified request does run
}

// TestOutcomeRecordedAfterDisconnect closes the caller's connection while its call runs. The
// call must run once, and its outcome must be recorded for a repeated call.
func TestOutcomeRecordedAfterDisconnect(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	conn, err := net.Dial("tcp", c.nodes[0].callerAddr)
	is.NoErr(err)
	slow := strings.Replace(rawCall("k", 1000), "/transfers ", "/transfers"+slowWork+" ", 1)
	_, err = conn.Write([]byte(slow))
	is.NoErr(err)
	waitRunning(t, s)
	is.NoErr(conn.Close())
	again := call{
		method: http.MethodPost, path: "/services/ledger/transfers" + slowWork, body: strings.Repeat("x", 1000),
		header: map[string]string{"Idempotency-Key": "k", "Content-Type": "application/json"},
	}
	got := sendUntilSettled(t, c.nodes[1:], again)
	is.Equal(got.status, http.StatusOK) // the outcome was recorded after the disconnect
	is.Equal(countRuns(s.Journal(), "k"), 1)
}

// TestDrainFinishesRunningCalls drains a node by command while a call runs through it.
func TestDrainFinishesRunningCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, s := startLedgerCluster(t)
	drained := c.nodes[0]
	replies := sendAsync(t, drained, transfer("k", slowWork))
	waitRunning(t, s)
	out, err := exec.Command(binaries.node, "drain", "--node", drained.operatorAddr, "--token", operatorToken).CombinedOutput()
	is.NoErr(err)
	t.Log(string(out))
	got := <-replies
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(drained.waitExit(t), 0)
	journal := s.Journal()
	is.Equal(journal[len(journal)-1].End, standin.Finished)
}
