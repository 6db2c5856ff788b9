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
	// defaultAnnounceEvery is the interval between announcements if none is set.
	defaultAnnounceEvery = 500 * time.Millisecond
	// announceTimeout bounds one HTTP request to an entry node.
	announceTimeout = time.Second
)

// announcer announces an upstream to one entry node, periodically and on every change
// of state. After a failed request it switches to the next entry node.
type announcer struct {
	entryNodes   []string
	interval     time.Duration
	announcement func() directory.Announcement
	cache        *prefixCache
	// announceRequested holds at most one request for an immediate announcement.
	announceRequested chan struct{}
	client            *http.Client
	currentEntry      int
	seq               uint64
}

// newAnnouncer returns an announcer. announcement returns what to announce, without a
// sequence number. cache is nil for an upstream without a prefix cache.
func newAnnouncer(
	entryNodes []string,
	interval time.Duration,
	announcement func() directory.Announcement,
	cache *prefixCache,
) *announcer {
	if interval <= 0 {
		interval = defaultAnnounceEvery
	}
	return &announcer{
		entryNodes:        entryNodes,
		interval:          interval,
		announcement:      announcement,
		cache:             cache,
		announceRequested: make(chan struct{}, 1),
		client:            &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
	}
}

// announceNow requests an immediate announcement.
func (a *announcer) announceNow() {
	select {
	case a.announceRequested <- struct{}{}:
	default:
	}
}

// run sends announcements until ctx ends. A retry after a failure comes sooner than the
// next regular announcement.
func (a *announcer) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	if len(a.entryNodes) == 0 {
		return
	}
	for ctx.Err() == nil {
		wait := a.interval
		if !a.announce(ctx) {
			a.currentEntry = (a.currentEntry + 1) % len(a.entryNodes)
			a.client.CloseIdleConnections()
			wait = a.interval / 5
		}
		select {
		case <-ctx.Done():
		case <-a.announceRequested:
		case <-time.After(wait):
		}
	}
}

// announce sends the announcement and the due cache events, and reports whether the
// entry node accepted them.
func (a *announcer) announce(ctx context.Context) bool {
	announcement := a.announcement()
	a.seq++
	announcement.Seq = a.seq
	var reply engine.AnnounceReply
	if err := a.post(ctx, engine.PathAnnounce, announcement, &reply); err != nil {
		return false
	}
	if a.cache == nil {
		return true
	}
	if reply.Resync {
		a.cache.requestFullList()
	}
	return a.sendCacheEvents(ctx, announcement)
}

// sendCacheEvents sends the due batches and reports whether all were accepted. If the
// entry node asks to resync, the full list follows with an immediate announcement.
func (a *announcer) sendCacheEvents(ctx context.Context, announcement directory.Announcement) bool {
	for _, batch := range a.cache.takeDueBatches() {
		batch.ID = announcement.ID
		batch.Incarnation = announcement.Incarnation
		var reply engine.CacheReply
		if err := a.post(ctx, engine.PathCacheEvents, batch, &reply); err != nil {
			return false
		}
		if reply.Resync {
			a.cache.requestFullList()
			a.announceNow()
		}
	}
	return true
}

// post sends a message to the current entry node and decodes the reply.
func (a *announcer) post(ctx context.Context, path string, message, reply any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	url := "http://" + a.entryNodes[a.currentEntry] + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
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
