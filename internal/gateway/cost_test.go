package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// discardWriter is a response writer that discards the body.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (w *discardWriter) WriteHeader(int)                  {}
func (w *discardWriter) Flush()                           {}
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// relayEvents relays a stream of events from memory to a discardWriter.
func relayEvents(events []byte) error {
	_, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	out := newRelay(&discardWriter{header: http.Header{}}, false)
	out.watchdog = newWatchdog(cancel)
	out.watchdog.arm(time.Minute)
	defer out.watchdog.disarm()
	return out.relayStream(&answer{status: http.StatusOK, header: http.Header{}, body: io.NopCloser(bytes.NewReader(events))})
}

func makeStream(n int) []byte {
	event := `data: {"choices":[{"index":0,"delta":{"content":"token"}}]}` + "\n\n"
	return []byte(strings.Repeat(event, n) + "data: [DONE]\n\n")
}

// TestAllocationsPerRelayedEvent bounds the memory allocations per event of a stream.
func TestAllocationsPerRelayedEvent(t *testing.T) {
	const events = 2000
	const bound = 2.0
	stream := makeStream(events)
	total := testing.AllocsPerRun(5, func() {
		if err := relayEvents(stream); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%.4f allocations per event", total/events)
	is.New(t).True(total/events <= bound)
}

func BenchmarkRelayedEvent(b *testing.B) {
	stream := makeStream(b.N)
	b.ReportAllocs()
	b.ResetTimer()
	if err := relayEvents(stream); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkFirstByte measures how much the gateway adds to the time to the first byte
// of a call, compared with direct calls to the upstream in the same run. Connections
// are warm.
func BenchmarkFirstByte(b *testing.B) {
	t := &testing.T{}
	_, f, url := newGateway(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	body := `{"model":"m"}`
	directTimes := firstByteTimes(b, "http://"+f.upstreams[0]+"/", body)
	gatewayTimes := firstByteTimes(b, url+"/v1/completions", body)
	for _, q := range []float64{0.5, 0.99} {
		d, g := quantile(directTimes, q), quantile(gatewayTimes, q)
		b.ReportMetric(float64((g - d).Microseconds()), fmt.Sprintf("added-p%g-us", q*100))
		b.ReportMetric(float64(g)/float64(d), fmt.Sprintf("ratio-p%g", q*100))
	}
}

// firstByteTimes sends b.N calls after a warm-up and returns the time until the
// response header of each.
func firstByteTimes(b *testing.B, url, body string) []time.Duration {
	b.Helper()
	const warmUp = 50
	times := make([]time.Duration, 0, b.N)
	for i := range b.N + warmUp {
		req := httptest.NewRequest(http.MethodPost, url, strings.NewReader(body))
		req.RequestURI = ""
		req.Header.Set("Authorization", "Bearer "+testToken)
		req.Header.Set("Content-Type", "application/json")
		start := time.Now()
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		if i >= warmUp {
			times = append(times, time.Since(start))
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return times
}

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := append([]time.Duration(nil), times...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))]
}

// BenchmarkRunOnceCalls measures calls that may run at most once from 64 concurrent
// callers. The ledger is in memory, so the cost of the control group is not included.
func BenchmarkRunOnceCalls(b *testing.B) {
	_, _, url := newGateway(&testing.T{}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	const callers = 64
	var wg sync.WaitGroup
	b.ResetTimer()
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := c; i < b.N; i += callers {
				req, _ := http.NewRequest(http.MethodPost, url+"/services/s/pay", strings.NewReader("{}"))
				req.Header.Set("Authorization", "Bearer "+testToken)
				req.Header.Set(headerIdempotencyKey, fmt.Sprint(i))
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}
		}()
	}
	wg.Wait()
}
