package standin

import (
	"sync"
	"time"

	"github.com/agateslip/agateslip/internal/engine"
)

// prefixCache is an engine's limited cache of prompt prefixes. It tells its
// changes late, and drops some batches.
type prefixCache struct {
	mu        sync.Mutex
	capacity  int
	lag       time.Duration
	dropEvery int
	order     []engine.CacheEvent
	held      map[string]bool
	pending   []pendingBatch
	seq       uint64
	full      bool
}

// pendingBatch is a batch that is told once its lag has passed.
type pendingBatch struct {
	since time.Time
	batch engine.CacheEvents
}

// newPrefixCache makes an empty cache of so many blocks.
func newPrefixCache(capacity int, lag time.Duration, dropEvery int) *prefixCache {
	return &prefixCache{
		capacity:  capacity,
		lag:       lag,
		dropEvery: dropEvery,
		held:      make(map[string]bool),
	}
}

// use adds a prompt's prefixes and returns the length that was cached, in bytes.
func (c *prefixCache) use(model string, prompt []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var events []engine.CacheEvent
	cached := 0
	for i, block := range engine.PrefixHashes(prompt) {
		hash := engine.FormatPrefix(block)
		length := (i + 1) * engine.PrefixBlock
		if c.held[hash] {
			cached = length
			continue
		}
		add := engine.CacheEvent{Op: engine.CacheAdd, Model: model, Prefix: hash, Length: length}
		c.held[hash] = true
		c.order = append(c.order, add)
		events = append(events, add)
	}
	for len(c.order) > c.capacity {
		oldest := c.order[0]
		c.order = c.order[1:]
		delete(c.held, oldest.Prefix)
		oldest.Op = engine.CacheRemove
		events = append(events, oldest)
	}
	c.queue(events)
	return cached
}

// queue numbers a batch of events and keeps it unless it is one to lose.
func (c *prefixCache) queue(events []engine.CacheEvent) {
	if len(events) == 0 {
		return
	}
	c.seq++
	if c.dropEvery > 0 && c.seq%uint64(c.dropEvery) == 0 {
		return
	}
	batch := engine.CacheEvents{Seq: c.seq, Events: events}
	c.pending = append(c.pending, pendingBatch{since: time.Now(), batch: batch})
}

// resync makes the next due batch a full list.
func (c *prefixCache) resync() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full = true
}

// due takes the batches whose lag has passed.
func (c *prefixCache) due() []engine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full {
		c.full = false
		c.pending = nil
		c.seq++
		list := append([]engine.CacheEvent(nil), c.order...)
		return []engine.CacheEvents{{Seq: c.seq, Full: true, Events: list}}
	}
	var batches []engine.CacheEvents
	for len(c.pending) > 0 && time.Since(c.pending[0].since) >= c.lag {
		batches = append(batches, c.pending[0].batch)
		c.pending = c.pending[1:]
	}
	return batches
}
