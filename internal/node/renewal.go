package node

import (
	"encoding/json"
	"time"

	"github.com/agateslip/agateslip/directory"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// renewal stands for an announcement that differs from the one pushed to the peer
// before only in its sequence number and load.
type renewal struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"in"`
	Seq         uint64 `json:"seq"`
	// Body is the digest of the remaining fields of the announcement.
	Body    uint64 `json:"body"`
	Running int    `json:"run,omitempty"`
	Queued  int    `json:"queue,omitempty"`
	// Age is the time since the sender received the announcement.
	Age time.Duration `json:"age"`
}

// announcementDigests holds the digest of each upstream's latest accepted announcement,
// by upstream ID.
type announcementDigests struct {
	byUpstream map[string]uint64
}

func newAnnouncementDigests() *announcementDigests {
	return &announcementDigests{byUpstream: map[string]uint64{}}
}

// digestOf hashes the fields of an announcement that a renewal does not carry.
func digestOf(a directory.Announcement) uint64 {
	a.Seq = 0
	a.Load = directory.Load{}
	data, err := json.Marshal(a)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode announcement"))
	}
	return xxhash.Sum64(data)
}

// record stores the digest of an accepted announcement.
func (b *announcementDigests) record(a directory.Announcement) { b.byUpstream[a.ID] = digestOf(a) }

// renewalOf returns the renewal that stands for an announcement.
func (b *announcementDigests) renewalOf(r directory.Relayed) renewal {
	a := r.Announcement
	return renewal{
		ID: a.ID, Incarnation: a.Incarnation, Seq: a.Seq, Body: b.byUpstream[a.ID],
		Running: a.Load.Running, Queued: a.Load.Queued, Age: r.Age,
	}
}

// expand rebuilds the full announcement from a renewal and the announcement known on
// this node. It reports false if the renewal refers to a different one.
func (b *announcementDigests) expand(r renewal, known directory.Announcement) (directory.Relayed, bool) {
	if known.Incarnation != r.Incarnation || b.byUpstream[r.ID] != r.Body {
		return directory.Relayed{}, false
	}
	known.Seq = r.Seq
	known.Load = directory.Load{Running: r.Running, Queued: r.Queued}
	return directory.Relayed{Announcement: known, Age: r.Age}, true
}
