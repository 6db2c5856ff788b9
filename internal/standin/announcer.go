package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/engine"
)

const (
	// defaultAnnounceEvery is the interval of renewals.
	defaultAnnounceEvery = 500 * time.Millisecond
	// announceTimeout bounds one exchange with a node.
	announceTimeout = time.Second
)

// announcer tells one of the entry nodes about an upstream, at intervals and on
// changes. It stays with a node until an exchange fails, then takes the next.
type announcer struct {
	entries []string
	every   time.Duration
	state   func() directory.Announcement
	cache   *prefixCache
	changed chan struct{}
	client  *http.Client
	current int
	seq     uint64
}

// newAnnouncer makes an announcer; cache may be nil.
func newAnnouncer(
	entries []string,
	every time.Duration,
	state func() directory.Announcement,
	cache *prefixCache,
) *announcer {
	if every <= 0 {
		every = defaultAnnounceEvery
	}
	return &announcer{
		entries: entries,
		every:   every,
		state:   state,
		cache:   cache,
		changed: make(chan struct{}, 1),
		client:  &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
	}
}

// change asks for an announcement at once.
func (a *announcer) change() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// run announces until ctx ends.
func (a *announcer) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	if len(a.entries) == 0 {
		return
	}
	for ctx.Err() == nil {
		wait := a.every
		if !a.announce(ctx) {
			a.current = (a.current + 1) % len(a.entries)
			a.client.CloseIdleConnections()
			wait = a.every / 5
		}
		select {
		case <-ctx.Done():
		case <-a.changed:
		case <-time.After(wait):
		}
	}
}

// announce sends the state and due cache events, and says whether the node took
// them.
func (a *announcer) announce(ctx context.Context) bool {
	state := a.state()
	a.seq++
	state.Seq = a.seq
	var reply engine.AnnounceReply
	if err := a.post(ctx, engine.PathAnnounce, state, &reply); err != nil {
		return false
	}
	if a.cache == nil {
		return true
	}
	if reply.Resync {
		a.cache.resync()
	}
	return a.sendCacheEvents(ctx, state)
}

// sendCacheEvents sends the batches that are due.
func (a *announcer) sendCacheEvents(ctx context.Context, state directory.Announcement) bool {
	for _, batch := range a.cache.due() {
		batch.ID = state.ID
		batch.Incarnation = state.Incarnation
		var reply engine.CacheReply
		if err := a.post(ctx, engine.PathCacheEvents, batch, &reply); err != nil {
			return false
		}
		if reply.Resync {
			a.cache.resync()
			a.change()
		}
	}
	return true
}

// post exchanges one message with the current node.
func (a *announcer) post(ctx context.Context, path string, message, reply any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	url := "http://" + a.entries[a.current] + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send message")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("node answered with status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(reply), "decode reply")
}
