package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Bounds of prefix hashes.
const (
	// PrefixBlock is the granularity of cached prefixes in bytes of prompt.
	PrefixBlock = 256
	// MaxPrefixBlocks bounds the blocks of one prompt that are identified.
	MaxPrefixBlocks = 32
	// prefixBase is the base in which cache events write hashes.
	prefixBase = 16
)

// PrefixHashes identifies the whole-block prefixes of a prompt, shortest first.
// The prompt is the JSON text of the request's field messages, or else of its
// field prompt, as it was sent.
func PrefixHashes(prompt []byte) []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	for len(prompt) >= PrefixBlock && len(hashes) < MaxPrefixBlocks {
		// Writes to a Digest never fail.
		_, _ = digest.Write(prompt[:PrefixBlock])
		prompt = prompt[PrefixBlock:]
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// FormatPrefix writes a hash as cache events carry it.
func FormatPrefix(hash uint64) string { return strconv.FormatUint(hash, prefixBase) }

// ParsePrefix reads a hash of a cache event; false if it is none.
func ParsePrefix(s string) (uint64, bool) {
	hash, err := strconv.ParseUint(s, prefixBase, 64)
	return hash, err == nil
}

// Sequence follows the batch numbers of one upstream's cache events. The zero
// value expects the first batch of any incarnation.
type Sequence struct {
	incarnation uint64
	last        uint64
	synced      bool
}

// Verdict says what to do with a batch of cache events.
type Verdict uint8

// Verdicts on a batch.
const (
	// Apply means that the batch follows the last one.
	Apply Verdict = iota
	// Replace means that the batch is full and replaces what is known.
	Replace
	// Drop means that the batch is older than what is known.
	Drop
	// Gap means that a batch is missing: what is known is unreliable until a
	// full batch arrives, which the reply asks for.
	Gap
)

// Observe judges a batch by its incarnation and number.
func (s *Sequence) Observe(e *CacheEvents) Verdict {
	if e.Incarnation < s.incarnation {
		return Drop
	}
	if e.Incarnation > s.incarnation {
		*s = Sequence{incarnation: e.Incarnation, synced: true}
	}
	if e.Seq <= s.last {
		return Drop
	}
	follows := e.Seq == s.last+1
	s.last = e.Seq
	if e.Full {
		s.synced = true
		return Replace
	}
	if !follows {
		s.synced = false
	}
	if !s.synced {
		return Gap
	}
	return Apply
}
