package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
)

// TestDetectorStaysBounded loses and serves ever other requests and counts what is kept of them.
func TestDetectorStaysBounded(t *testing.T) {
	is := is.New(t)
	d := New(nil, 0)
	for i := range 20_000 {
		now := time.Duration(i) * time.Millisecond
		engine := fleet.Incarnation{ID: fmt.Sprint(i / 100)}
		d.Lost(Loss{Engine: engine, Service: "s", Traits: []string{RequestID(fmt.Sprint(i)), fmt.Sprint("part", i)}}, nil, now)
		d.Served([]Trait{{"s", fmt.Sprint("part", i)}}, now)
		d.Decide(nil, now)
		is.True(len(d.suspects) <= maxSuspects)
		is.True(len(d.cleared) <= int(clearedTTL/time.Millisecond)+1)
	}
}

// BenchmarkReview decides while as many traits as are kept are suspected, each with one crash.
func BenchmarkReview(b *testing.B) {
	d := New(nil, 0)
	for i := range 5000 {
		d.Lost(Loss{Engine: fleet.Incarnation{ID: fmt.Sprint(i / 50)}, Service: "s", Traits: []string{RequestID(fmt.Sprint(i))}}, nil, time.Second)
	}
	for b.Loop() {
		d.Decide(nil, 2*time.Second)
		d.Suspects(nil)
		d.Doubted()
		d.Evidence()
	}
}
