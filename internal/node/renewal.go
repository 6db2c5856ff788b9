package node

import (
	"encoding/json"
	"time"

	"github.com/agateslip/agateslip/directory"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// renewal stands for an announcement that differs from one that the peer was
// told before in its sequence number and load only.
type renewal struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"in"`
	Seq         uint64 `json:"seq"`
	// Body is the digest of everything else in the announcement.
	Body    uint64 `json:"body"`
	Running int    `json:"run,omitempty"`
	Queued  int    `json:"queue,omitempty"`
	// Age is the time since the announcement was heard.
	Age time.Duration `json:"age"`
}

// bodies holds the digest of each upstream's latest known announcement.
type bodies struct {
	known map[string]uint64
}

func newBodies() *bodies { return &bodies{known: map[string]uint64{}} }

// bodyOf digests what a renewal does not carry.
func bodyOf(a directory.Announcement) uint64 {
	a.Seq = 0
	a.Load = directory.Load{}
	data, err := json.Marshal(a)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode announcement"))
	}
	return xxhash.Sum64(data)
}

// note takes an announcement that was accepted.
func (b *bodies) note(a directory.Announcement) { b.known[a.ID] = bodyOf(a) }

// renewalOf shortens an announcement.
func (b *bodies) renewalOf(r directory.Relayed) renewal {
	a := r.Announcement
	return renewal{
		ID: a.ID, Incarnation: a.Incarnation, Seq: a.Seq, Body: b.known[a.ID],
		Running: a.Load.Running, Queued: a.Load.Queued, Age: r.Age,
	}
}

// expand rebuilds the announcement that a renewal stands for from the one known
// here. It is false where that is another one.
func (b *bodies) expand(r renewal, known directory.Announcement) (directory.Relayed, bool) {
	if known.Incarnation != r.Incarnation || b.known[r.ID] != r.Body {
		return directory.Relayed{}, false
	}
	known.Seq = r.Seq
	known.Load = directory.Load{Running: r.Running, Queued: r.Queued}
	return directory.Relayed{Announcement: known, Age: r.Age}, true
}
