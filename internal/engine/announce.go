package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/agateslip/agateslip/directory"
)

// Size limits of the messages that a node takes, in bytes.
const (
	// MaxAnnouncement bounds a directory.Announcement.
	MaxAnnouncement = 1 << 20
	// MaxCacheEvents bounds a CacheEvents message.
	MaxCacheEvents = 1 << 20
)

// Millis is a duration that JSON writes as a whole number of milliseconds.
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

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	// TTL is how long the announcement counts without a renewal.
	TTL Millis `json:"ttl"`
	// NextAfter is when the next renewal is expected. A change of state is
	// announced at once.
	NextAfter Millis `json:"nextAfter"`
	// Resync asks for a full list of cached prefixes.
	Resync bool `json:"resync,omitempty"`
}

// CacheOp is what happened to a cached prefix.
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
	// Op is what happened.
	Op CacheOp `json:"op"`
	// Model is the model that the prefix was computed with.
	Model string `json:"model"`
	// Prefix identifies the prompt prefix; see PrefixHashes.
	Prefix string `json:"prefix"`
	// Length is the length of the prefix in bytes of the prompt.
	Length int `json:"length"`
}

// CacheEvents is a batch of cache events of one upstream. Batches may arrive
// late, and some may never arrive.
type CacheEvents struct {
	// ID is the upstream's stable name.
	ID string `json:"id"`
	// Incarnation is the one of the upstream's announcements.
	Incarnation uint64 `json:"incarnation"`
	// Seq grows by one with each batch of an incarnation, from 1.
	Seq uint64 `json:"seq"`
	// Full says that the batch lists the whole cache and replaces what is known.
	Full bool `json:"full,omitempty"`
	// Events are the changes in order; with Full all are CacheAdd.
	Events []CacheEvent `json:"events,omitempty"`
}

// CacheReply answers a batch of cache events.
type CacheReply struct {
	// Resync asks for a full batch, because one before this was not seen.
	Resync bool `json:"resync,omitempty"`
}

// Sink takes what upstreams tell a node. Messages were checked before.
type Sink interface {
	// Announce takes the whole state of an upstream.
	Announce(ctx context.Context, a directory.Announcement) (AnnounceReply, error)
	// CacheEvents takes a batch of changes of an upstream's prefix cache.
	CacheEvents(ctx context.Context, e CacheEvents) (CacheReply, error)
}

// Handler serves PathAnnounce and PathCacheEvents. An error of the sink is
// answered with 503; the upstream then tries another node.
func Handler(sink Sink) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathAnnounce, receive(MaxAnnouncement, checkAnnouncement, sink.Announce))
	mux.HandleFunc(PathCacheEvents, receive(MaxCacheEvents, checkCacheEvents, sink.CacheEvents))
	return mux
}

// receive decodes and checks a message, passes it on and answers.
func receive[M, R any](
	limit int64,
	check func(*M) error,
	accept func(context.Context, M) (R, error),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !checkRequest(w, r) {
			return
		}
		var message M
		err := decodeStrict(r.Body, limit, &message)
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
