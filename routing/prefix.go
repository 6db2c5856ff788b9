package routing

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length in bytes of the part of a prompt that one block hash covers.
const BlockBytes = 256

// BlockHash identifies a block of a prompt together with everything before it.
type BlockHash uint64

// HashPrompt returns the chained hashes of a prompt's whole blocks, at most limit of
// them. The chain starts with the model, so that prompts for different models have
// different hashes.
func HashPrompt(model, prompt string, limit int) []BlockHash {
	n := min(len(prompt)/BlockBytes, limit)
	if n <= 0 {
		return nil
	}
	hashes := make([]BlockHash, 0, n)
	digest := xxhash.New()
	var previous [8]byte
	last := xxhash.Sum64String(model)
	for i := range n {
		digest.Reset()
		binary.LittleEndian.PutUint64(previous[:], last)
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		last = digest.Sum64()
		hashes = append(hashes, BlockHash(last))
	}
	return hashes
}

// CacheEventKind is the kind of change that a cache event reports.
type CacheEventKind int

// Kinds of cache events.
const (
	// Added reports blocks that the upstream cached.
	Added CacheEventKind = iota
	// Removed reports blocks that the upstream evicted.
	Removed
	// Cleared reports that the upstream evicted all blocks.
	Cleared
	// Resynced reports all blocks that the upstream holds.
	Resynced
)

// CacheEvent is a change of an upstream's prefix cache. Events arrive late, and some are
// lost.
type CacheEvent struct {
	// Upstream is the upstream's ID.
	Upstream string
	// Incarnation is the upstream's incarnation; it grows with each restart.
	Incarnation uint64
	// Seq grows by one with each event of an incarnation, from 1.
	Seq uint64
	// Kind is the kind of change.
	Kind CacheEventKind
	// Blocks lists the blocks that were added, removed or are held, by Kind.
	Blocks []BlockHash
	// Dropped lists blocks that were evicted with the same event. They are removed before
	// Blocks is applied.
	Dropped []BlockHash
}

// gapDiscount is the weight of the known blocks while events are missing.
const gapDiscount = 0.5

// upstreamCache is the known content of one upstream's prefix cache.
type upstreamCache struct {
	incarnation  uint64
	seq          uint64
	hasGap       bool // events were lost since the latest resynchronization
	resyncListed bool // the gap is in pendingResyncs or was taken from it
	blocks       map[BlockHash]*list.Element
	byReportTime list.List // of *block, the one reported longest ago first
}

// block is a cached block and the time at which it was last reported or sent.
type block struct {
	hash       BlockHash
	reportedAt time.Duration
}

// PrefixIndex estimates how much of a prompt's beginning each upstream has cached. It
// keeps a bounded number of blocks for each upstream. It is not safe for concurrent use.
type PrefixIndex struct {
	caches         map[string]*upstreamCache
	maxBlocks      int
	halfLife       time.Duration
	pendingResyncs []string
}

// NewPrefixIndex returns an empty index that keeps at most maxBlocks blocks for each
// upstream. The weight of a block halves with each halfLife since its latest report.
func NewPrefixIndex(maxBlocks int, halfLife time.Duration) *PrefixIndex {
	return &PrefixIndex{
		caches:    map[string]*upstreamCache{},
		maxBlocks: maxBlocks,
		halfLife:  halfLife,
	}
}

// Apply applies an event and reports whether it was new. After a gap in the sequence
// numbers TakeResyncs lists the upstream, and its blocks count half until a Resynced or
// Cleared event.
func (x *PrefixIndex) Apply(e CacheEvent, now time.Duration) bool {
	c := x.cacheFor(e.Upstream, e.Incarnation)
	if c == nil || e.Seq <= c.seq {
		return false
	}
	replacesAll := e.Kind == Resynced || e.Kind == Cleared
	if e.Seq > c.seq+1 && !replacesAll {
		c.hasGap = true
	}
	if replacesAll {
		c.clear()
	}
	c.seq = e.Seq
	c.remove(e.Dropped)
	switch e.Kind {
	case Added, Resynced:
		x.add(c, e.Blocks, now)
	case Removed:
		c.remove(e.Blocks)
	}
	if c.hasGap && !c.resyncListed {
		c.resyncListed = true
		x.pendingResyncs = append(x.pendingResyncs, e.Upstream)
	}
	return true
}

// cacheFor returns the cache of an incarnation, which is empty if the incarnation is
// new, or nil if a later incarnation is known.
func (x *PrefixIndex) cacheFor(upstream string, incarnation uint64) *upstreamCache {
	c := x.caches[upstream]
	if c == nil || incarnation > c.incarnation {
		c = &upstreamCache{incarnation: incarnation, blocks: map[BlockHash]*list.Element{}}
		x.caches[upstream] = c
	}
	if incarnation < c.incarnation {
		return nil
	}
	return c
}

// clear removes all blocks and with them the effect of a gap.
func (c *upstreamCache) clear() {
	clear(c.blocks)
	c.byReportTime.Init()
	c.hasGap, c.resyncListed = false, false
}

// add records blocks as reported now. Above maxBlocks it removes those reported longest
// ago.
func (x *PrefixIndex) add(c *upstreamCache, hashes []BlockHash, now time.Duration) {
	for _, h := range hashes {
		if el := c.blocks[h]; el != nil {
			el.Value.(*block).reportedAt = now
			c.byReportTime.MoveToBack(el)
			continue
		}
		if len(c.blocks) >= x.maxBlocks {
			c.removeElement(c.byReportTime.Front())
		}
		c.blocks[h] = c.byReportTime.PushBack(&block{hash: h, reportedAt: now})
	}
}

// remove removes the blocks with the given hashes.
func (c *upstreamCache) remove(hashes []BlockHash) {
	for _, h := range hashes {
		if el := c.blocks[h]; el != nil {
			c.removeElement(el)
		}
	}
}

// removeElement removes one block.
func (c *upstreamCache) removeElement(el *list.Element) {
	delete(c.blocks, el.Value.(*block).hash)
	c.byReportTime.Remove(el)
}

// Sent records that a prompt with these blocks was sent to an upstream, which caches them
// before its event arrives.
func (x *PrefixIndex) Sent(upstream string, incarnation uint64, hashes []BlockHash, now time.Duration) {
	if len(hashes) == 0 {
		return
	}
	if c := x.cacheFor(upstream, incarnation); c != nil {
		x.add(c, hashes, now)
	}
}

// Remove removes an upstream and its blocks.
func (x *PrefixIndex) Remove(upstream string) {
	delete(x.caches, upstream)
}

// TakeResyncs returns the upstreams that must be asked for all their blocks and empties
// the list. An upstream is listed once after a gap; Retry lists it again.
func (x *PrefixIndex) TakeResyncs() []string {
	resync := x.pendingResyncs
	x.pendingResyncs = nil
	return resync
}

// Retry makes TakeResyncs list the upstream again if no Resynced or Cleared event has
// come since the gap.
func (x *PrefixIndex) Retry(upstream string) {
	if c := x.caches[upstream]; c != nil && c.hasGap {
		x.pendingResyncs = append(x.pendingResyncs, upstream)
	}
}

// Match returns the expected number of leading blocks of a prompt that the upstream
// holds: the number of known ones, discounted by the age of the oldest report among them
// and by gapDiscount after a gap.
func (x *PrefixIndex) Match(upstream string, hashes []BlockHash, now time.Duration) float64 {
	c := x.caches[upstream]
	if c == nil {
		return 0
	}
	n := 0
	var oldest time.Duration
	for _, h := range hashes {
		el := c.blocks[h]
		if el == nil {
			break
		}
		age := now - el.Value.(*block).reportedAt
		oldest = max(oldest, age)
		n++
	}
	if n == 0 {
		return 0
	}
	expected := float64(n) * decay(oldest, x.halfLife)
	if c.hasGap {
		expected *= gapDiscount
	}
	return expected
}
