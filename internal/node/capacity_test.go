package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/agateslip/agateslip/admission"
	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/placement"
)

// sizedAnnouncement returns an engine's announcement with the given numbers of replicas
// and checkpoint copies.
func sizedAnnouncement(id, replicas, copies int) directory.Announcement {
	a := directory.Announcement{
		ID: fmt.Sprintf("runner-%04d", id), Incarnation: 1764800000000000000, Seq: 123456, Addr: "10.0.12.34:8000",
		Domain: "region-1-domain-2", Kind: directory.Engine, Memory: 80 << 30, Slots: 8, ChecksFencing: true,
	}
	for r := range replicas {
		a.Replicas = append(a.Replicas, directory.Replica{Grant: uint64(1000 + r), Model: fmt.Sprintf("model-%03d", r), State: directory.Ready, Memory: 14 << 30})
	}
	for c := range copies {
		a.Copies = append(a.Copies, directory.Copy{Model: fmt.Sprintf("model-%03d", c), Tier: directory.TierDisk})
	}
	return a
}

// sizeOf returns the length of v in JSON, in bytes.
func sizeOf(b *testing.B, v any) float64 {
	b.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

// roundTrip measures encoding and decoding one message and reports its size.
func roundTrip[T any](b *testing.B, v T) {
	b.Helper()
	for range b.N {
		data, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		var out T
		if err := json.Unmarshal(data, &out); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(sizeOf(b, v), "msg-B")
}

// BenchmarkPush measures pushes of full announcements.
func BenchmarkPush(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			note := announcementPush{Node: "node-1", Boot: "8c1c3b1e-1a57-4b0f-9d31-0123456789ab"}
			for i := range n {
				note.Relayed = append(note.Relayed, directory.Relayed{Announcement: sizedAnnouncement(i, 2, 10), Age: time.Millisecond})
			}
			roundTrip(b, note)
		})
	}
}

// BenchmarkSync measures a node's report and the size of the answer.
func BenchmarkSync(b *testing.B) {
	for _, rows := range []int{0, 4, 16, 64} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			req := syncRequest{Node: "node-1", Boot: "8c1c3b1e-1a57-4b0f-9d31-0123456789ab", Report: admission.Report{Node: "node-1", Term: 3, Seq: 99}}
			reply := syncReply{Leads: true, Term: 3, Commit: 1234567}
			for i := range rows {
				key := placement.Key{Customer: "customer-1", Model: fmt.Sprintf("model-%03d", i)}
				req.Demand = append(req.Demand, placement.Demand{Key: key, Node: "node-1", Waiting: 2, Running: 3, Remaining: time.Second, Arrivals: 4})
				req.Report.Customers = append(req.Report.Customers, admission.Usage{Customer: key.Model, Concurrency: 4, Running: 3, Rate: 2.5})
				reply.Forecasts = append(reply.Forecasts, placement.Forecast{Key: key, ReadyIn: time.Second})
				reply.Grant.Leases = append(reply.Grant.Leases, admission.Lease{Customer: key.Model, Concurrency: 4, Rate: 2.5, Duration: time.Second})
			}
			roundTrip(b, req)
			b.ReportMetric(sizeOf(b, reply), "reply-B")
		})
	}
}

// BenchmarkRenewals measures pushes of renewals.
func BenchmarkRenewals(b *testing.B) {
	for _, n := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			known := newAnnouncementDigests()
			note := announcementPush{Node: "node-1", Boot: "8c1c3b1e-1a57-4b0f-9d31-0123456789ab"}
			for i := range n {
				a := sizedAnnouncement(i, 2, 10)
				known.record(a)
				note.Renewals = append(note.Renewals, known.renewalOf(directory.Relayed{Announcement: a, Age: time.Millisecond}))
			}
			roundTrip(b, note)
		})
	}
}
