package origin_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/origin"
)

// peakStreams is the number of streams that begin within two expiries at the size to design for, if
// all of them are recorded: 1,500 a second.
const peakStreams = 1500 * 2 * int(origin.Lifetime/time.Second)

// fullTable returns a table with as many records as there are at the peak.
func fullTable() *origin.Table {
	t := origin.NewTable()
	for i := range peakStreams {
		t.Apply(recordOf([]string{"v1", "v2"}[i%2], origin.KeyOf("llm", fmt.Sprint("call", i))))
		if i == peakStreams/2 {
			t.Apply(&origin.Change{Expire: true})
		}
	}
	return t
}

func BenchmarkState(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := fullTable()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		t.Find("llm", 1)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(peakStreams), "B/record")
}

func BenchmarkSnapshot(b *testing.B) {
	t := fullTable()
	size := 0
	for b.Loop() {
		data, err := json.Marshal(t)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "B")
}

// BenchmarkRecord applies the streams that begin within 25 ms.
func BenchmarkRecord(b *testing.B) {
	const together = 1500 / 40
	t := origin.NewTable()
	size, next := 0, 0
	for b.Loop() {
		var c origin.Change
		for range together {
			next++
			c.Begun = origin.Add(c.Begun, "v2", origin.Key(next))
		}
		data, err := json.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		t.Apply(&c)
		if t.RecentRecords() > origin.MaxRecords {
			t.Apply(&origin.Change{Expire: true, Expiries: t.Expiries()})
		}
	}
	b.ReportMetric(float64(size)/together, "B/stream")
}

func BenchmarkReview(b *testing.B) {
	var upstreams []fleet.Upstream
	for i := range 3000 {
		upstreams = append(upstreams, upstream(fmt.Sprint("u", i), fmt.Sprint("v", i%3)))
	}
	table, tracker := origin.NewTable(), origin.NewTracker(0)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Second
		tracker.Review(table, func() []fleet.Upstream { return upstreams }, now)
	}
}
