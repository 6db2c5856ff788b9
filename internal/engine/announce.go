package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/jsoncost"
)

// Size limits of the messages that a node accepts, in bytes.
const (
	// MaxAnnouncement is the limit of a directory.Announcement.
	MaxAnnouncement = 1 << 20
	// MaxCacheEvents is the limit of a CacheEvents message.
	MaxCacheEvents = 1 << 20
)

// Millis is a duration that is encoded in JSON as a whole number of milliseconds.
type Millis time.Duration

// MarshalJSON implements json.Marshaler.
func (m Millis) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(m).Milliseconds())
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Millis) UnmarshalJSON(data []byte) error {
	var n int64
	if err := json.Unmarshal(data, &n); err != nil {
		return err
	}
	*m = Millis(time.Duration(n) * time.Millisecond)
	return nil
}

// AnnounceReply is the answer to an announcement.
type AnnounceReply struct {
	// TTL is how long the announcement is valid without a renewal.
	TTL Millis `json:"ttl"`
	// NextAfter is the time to the next renewal. Changes of state are announced at
	// once.
	NextAfter Millis `json:"nextAfter"`
	// Resync asks for a full list of cached prefixes.
	Resync bool `json:"resync,omitempty"`
}

// CacheOp is the kind of a cache event.
type CacheOp string

// Cache operations.
const (
	// CacheAdd means that the prefix is cached from now on.
	CacheAdd CacheOp = "add"
	// CacheRemove means that the prefix is no longer cached.
	CacheRemove CacheOp = "remove"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Op is the kind of change.
	Op CacheOp `json:"op"`
	// Model is the model that computed the prefix.
	Model string `json:"model"`
	// Prefix identifies the prompt prefix; see PrefixHashes.
	Prefix string `json:"prefix"`
	// Length is the length of the prefix in bytes of the prompt.
	Length int `json:"length"`
}

// CacheEvents is a batch of cache events of one upstream. Batches may arrive late or
// not at all.
type CacheEvents struct {
	// ID is the upstream's stable name.
	ID string `json:"id"`
	// Incarnation is the same as in the upstream's announcements.
	Incarnation uint64 `json:"incarnation"`
	// Seq is the number of the batch within its incarnation, from 1.
	Seq uint64 `json:"seq"`
	// Full is set if the batch lists the whole cache and replaces what is known.
	Full bool `json:"full,omitempty"`
	// Events holds the changes in order; in a full batch, all are CacheAdd.
	Events []CacheEvent `json:"events,omitempty"`
}

// CacheReply is the answer to a batch of cache events.
type CacheReply struct {
	// Resync asks for a full batch, because an earlier batch is missing.
	Resync bool `json:"resync,omitempty"`
}

// Sink receives the checked messages of upstreams.
type Sink interface {
	// Announce receives the whole state of an upstream.
	Announce(ctx context.Context, a directory.Announcement) (AnnounceReply, error)
	// CacheEvents receives a batch of changes of an upstream's prefix cache.
	CacheEvents(ctx context.Context, e CacheEvents) (CacheReply, error)
}

// elementBytes is the memory that an element of a list of a decoded message takes at most,
// with what growing lists leave behind.
const elementBytes = 512

// Handler serves PathAnnounce and PathCacheEvents. If the sink returns an error, or the
// budget of bodies has no memory for a message and what is decoded from it, the answer is
// 503, and the upstream tries another node.
func Handler(sink Sink, bodies bodybuffer.Intake) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathAnnounce, receive(bodies, MaxAnnouncement, checkAnnouncement, sink.Announce))
	mux.HandleFunc(PathCacheEvents, receive(bodies, MaxCacheEvents, checkCacheEvents, sink.CacheEvents))
	return mux
}

// receive returns a handler that decodes a message of at most limit bytes, checks it,
// passes it to accept and sends the reply.
func receive[M, R any](
	bodies bodybuffer.Intake,
	limit int64,
	check func(*M) error,
	accept func(context.Context, M) (R, error),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !checkRequest(w, r) {
			return
		}
		var message M
		body, held, err := bodies.Read(w, r, limit)
		if err == nil {
			defer held.Release()
			err = reserveDecoded(held, body)
		}
		if err == nil {
			err = decodeBody(body, &message)
		}
		if err == nil {
			err = check(&message)
		}
		if err != nil {
			writeDecodeError(w, err)
			return
		}
		reply, err := accept(r.Context(), message)
		if err != nil {
			writeJSON(w, http.StatusServiceUnavailable, errorReply{FieldError{Rule: err.Error()}})
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

// reserveDecoded takes the memory that a message needs once it is decoded.
func reserveDecoded(held *bodybuffer.Share, body []byte) error {
	cost, err := jsoncost.Estimate(body, elementBytes)
	if err != nil {
		return err
	}
	return held.Reserve(cost)
}
