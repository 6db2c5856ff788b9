package standin

import (
	"sync"
	"time"

	"github.com/agateslip/agateslip/internal/engine"
)

// prefixCache simulates an engine's bounded cache of prompt prefixes. Its change events
// are reported with a delay and some batches are dropped, so that tests cover stale and
// incomplete cache information.
type prefixCache struct {
	mu        sync.Mutex
	capacity  int
	lag       time.Duration
	dropEvery int
	// insertionOrder holds the add events of the cached prefixes, the oldest first.
	insertionOrder []engine.CacheEvent
	cachedHashes   map[string]bool
	pending        []pendingBatch
	seq            uint64
	// fullPending is set while a full list is requested.
	fullPending bool
}

// pendingBatch is a batch of events that becomes due after the lag.
type pendingBatch struct {
	queuedAt time.Time
	batch    engine.CacheEvents
}

// newPrefixCache returns an empty cache. capacity is in blocks; every dropEvery-th
// batch is dropped, none if zero.
func newPrefixCache(capacity int, lag time.Duration, dropEvery int) *prefixCache {
	return &prefixCache{
		capacity:     capacity,
		lag:          lag,
		dropEvery:    dropEvery,
		cachedHashes: make(map[string]bool),
	}
}

// addPrompt adds the prefixes of a prompt and evicts the oldest beyond the capacity. It
// returns the length in bytes of the longest prefix that was already cached.
func (c *prefixCache) addPrompt(model string, prompt []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var events []engine.CacheEvent
	cached := 0
	for i, block := range engine.PrefixHashes(prompt) {
		hash := engine.FormatPrefix(block)
		length := (i + 1) * engine.PrefixBlock
		if c.cachedHashes[hash] {
			cached = length
			continue
		}
		event := engine.CacheEvent{Op: engine.CacheAdd, Model: model, Prefix: hash, Length: length}
		c.cachedHashes[hash] = true
		c.insertionOrder = append(c.insertionOrder, event)
		events = append(events, event)
	}
	for len(c.insertionOrder) > c.capacity {
		oldest := c.insertionOrder[0]
		c.insertionOrder = c.insertionOrder[1:]
		delete(c.cachedHashes, oldest.Prefix)
		oldest.Op = engine.CacheRemove
		events = append(events, oldest)
	}
	c.queueBatch(events)
	return cached
}

// queueBatch assigns the next sequence number to a batch and queues it, unless the batch
// is to be dropped: the receiver then sees a gap in the numbers.
func (c *prefixCache) queueBatch(events []engine.CacheEvent) {
	if len(events) == 0 {
		return
	}
	c.seq++
	if c.dropEvery > 0 && c.seq%uint64(c.dropEvery) == 0 {
		return
	}
	batch := engine.CacheEvents{Seq: c.seq, Events: events}
	c.pending = append(c.pending, pendingBatch{queuedAt: time.Now(), batch: batch})
}

// requestFullList makes the next takeDueBatches return the full list of cached prefixes
// in place of the pending batches.
func (c *prefixCache) requestFullList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fullPending = true
}

// takeDueBatches removes and returns the batches whose lag has passed, or the full list
// if one was requested.
func (c *prefixCache) takeDueBatches() []engine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fullPending {
		c.fullPending = false
		c.pending = nil
		c.seq++
		list := append([]engine.CacheEvent(nil), c.insertionOrder...)
		return []engine.CacheEvents{{Seq: c.seq, Full: true, Events: list}}
	}
	var batches []engine.CacheEvents
	for len(c.pending) > 0 && time.Since(c.pending[0].queuedAt) >= c.lag {
		batches = append(batches, c.pending[0].batch)
		c.pending = c.pending[1:]
	}
	return batches
}
