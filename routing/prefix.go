package routing

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of prompt that one block hash covers, in bytes.
const BlockBytes = 256

// BlockHash identifies a block of a prompt with everything before it.
type BlockHash uint64

// HashPrompt returns the chained hashes of a prompt's whole blocks, at most
// limit of them. Prompts for different models never share a hash.
func HashPrompt(model, prompt string, limit int) []BlockHash {
	n := min(len(prompt)/BlockBytes, limit)
	if n <= 0 {
		return nil
	}
	hashes := make([]BlockHash, 0, n)
	digest := xxhash.New()
	var link [8]byte
	last := xxhash.Sum64String(model)
	for i := range n {
		digest.Reset()
		binary.LittleEndian.PutUint64(link[:], last)
		_, _ = digest.Write(link[:])
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		last = digest.Sum64()
		hashes = append(hashes, BlockHash(last))
	}
	return hashes
}

// CacheEventKind says what a cache event tells.
type CacheEventKind int

// Kinds of cache event.
const (
	// Added means that the upstream cached the blocks.
	Added CacheEventKind = iota
	// Removed means that the upstream dropped the blocks.
	Removed
	// Cleared means that the upstream dropped all blocks.
	Cleared
	// Resynced carries all blocks that the upstream holds.
	Resynced
)

// CacheEvent is a change of an upstream's prefix cache. Events come late, and
// some are lost.
type CacheEvent struct {
	// Upstream is the upstream's ID.
	Upstream string
	// Incarnation is the upstream's incarnation.
	Incarnation uint64
	// Seq grows by one with each event of one incarnation.
	Seq uint64
	// Kind says what the event tells.
	Kind CacheEventKind
	// Blocks are the blocks added, removed or held.
	Blocks []BlockHash
	// Dropped are the blocks that an Added event also tells the loss of.
	Dropped []BlockHash
}

// gapDiscount is the weight of facts from before a gap in the events.
const gapDiscount = 0.5

// cache is what is known of one upstream's prefix cache.
type cache struct {
	incarnation uint64
	seq         uint64
	gap         bool // events were lost since the last resynchronisation
	asked       bool // a resynchronisation has been asked for
	blocks      map[BlockHash]*list.Element
	recent      list.List // of block, least recently told first
}

// block is one cached block.
type block struct {
	hash BlockHash
	told time.Duration
}

// PrefixIndex tells which upstreams hold the beginning of a prompt. Its memory
// is bounded by a number of blocks for each upstream. It is not safe for
// concurrent use.
type PrefixIndex struct {
	caches    map[string]*cache
	maxBlocks int
	halfLife  time.Duration
	resync    []string
}

// NewPrefixIndex returns an index that keeps at most maxBlocks blocks for each
// upstream. The weight of a fact halves each halfLife.
func NewPrefixIndex(maxBlocks int, halfLife time.Duration) *PrefixIndex {
	return &PrefixIndex{
		caches:    map[string]*cache{},
		maxBlocks: maxBlocks,
		halfLife:  halfLife,
	}
}

// Apply takes an event. It reports whether the event was new. After a gap the
// upstream is listed by TakeResyncs, and facts known before count half.
func (x *PrefixIndex) Apply(e CacheEvent, now time.Duration) bool {
	c := x.cache(e.Upstream, e.Incarnation)
	if c == nil || e.Seq <= c.seq {
		return false
	}
	whole := e.Kind == Resynced || e.Kind == Cleared
	if e.Seq > c.seq+1 && !whole {
		c.gap = true
	}
	if whole {
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
	if c.gap && !c.asked {
		c.asked = true
		x.resync = append(x.resync, e.Upstream)
	}
	return true
}

// cache returns what is known of an incarnation's cache, or nil if a later
// incarnation is known.
func (x *PrefixIndex) cache(upstream string, incarnation uint64) *cache {
	c := x.caches[upstream]
	if c == nil || incarnation > c.incarnation {
		c = &cache{incarnation: incarnation, blocks: map[BlockHash]*list.Element{}}
		x.caches[upstream] = c
	}
	if incarnation < c.incarnation {
		return nil
	}
	return c
}

// clear forgets all blocks, and with them what a gap made doubtful.
func (c *cache) clear() {
	clear(c.blocks)
	c.recent.Init()
	c.gap, c.asked = false, false
}

// add notes blocks and drops the ones told longest ago over the bound.
func (x *PrefixIndex) add(c *cache, hashes []BlockHash, now time.Duration) {
	for _, h := range hashes {
		if el := c.blocks[h]; el != nil {
			el.Value.(*block).told = now
			c.recent.MoveToBack(el)
			continue
		}
		if len(c.blocks) >= x.maxBlocks {
			c.drop(c.recent.Front())
		}
		c.blocks[h] = c.recent.PushBack(&block{hash: h, told: now})
	}
}

// remove forgets blocks.
func (c *cache) remove(hashes []BlockHash) {
	for _, h := range hashes {
		if el := c.blocks[h]; el != nil {
			c.drop(el)
		}
	}
}

// drop forgets one block.
func (c *cache) drop(el *list.Element) {
	delete(c.blocks, el.Value.(*block).hash)
	c.recent.Remove(el)
}

// Sent notes that a prompt with these blocks was sent to an upstream, which
// will cache them before its event arrives.
func (x *PrefixIndex) Sent(upstream string, incarnation uint64, hashes []BlockHash, now time.Duration) {
	if len(hashes) == 0 {
		return
	}
	if c := x.cache(upstream, incarnation); c != nil {
		x.add(c, hashes, now)
	}
}

// Remove forgets an upstream.
func (x *PrefixIndex) Remove(upstream string) {
	delete(x.caches, upstream)
}

// TakeResyncs returns the upstreams to ask for all their blocks, each once
// after a gap. Retry repeats the request if no answer came.
func (x *PrefixIndex) TakeResyncs() []string {
	resync := x.resync
	x.resync = nil
	return resync
}

// Retry has TakeResyncs list the upstream again if its gap is still open.
func (x *PrefixIndex) Retry(upstream string) {
	if c := x.caches[upstream]; c != nil && c.gap {
		x.resync = append(x.resync, upstream)
	}
}

// Match returns how many leading blocks of a prompt the upstream is expected
// to hold, discounted by the age of what is known and by gaps.
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
		age := now - el.Value.(*block).told
		oldest = max(oldest, age)
		n++
	}
	if n == 0 {
		return 0
	}
	expected := float64(n) * decay(oldest, x.halfLife)
	if c.gap {
		expected *= gapDiscount
	}
	return expected
}
