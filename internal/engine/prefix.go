package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Parameters of prefix hashes.
const (
	// PrefixBlock is the block size of cached prefixes, in bytes of the prompt.
	PrefixBlock = 256
	// MaxPrefixBlocks is the most blocks of a prompt that are hashed.
	MaxPrefixBlocks = 32
	// prefixBase is the number base of hashes in cache events.
	prefixBase = 16
)

// PrefixHashes returns the hashes of the prefixes of a prompt that consist of whole
// blocks, shortest first. The prompt is the JSON text of the request's field messages,
// or else of its field prompt, as it was sent.
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

// FormatPrefix formats a hash for a cache event.
func FormatPrefix(hash uint64) string { return strconv.FormatUint(hash, prefixBase) }

// ParsePrefix parses a hash of a cache event. It returns false if s is not a hash.
func ParsePrefix(s string) (uint64, bool) {
	hash, err := strconv.ParseUint(s, prefixBase, 64)
	return hash, err == nil
}

// Sequence tracks the batch numbers of one upstream's cache events. The zero value
// accepts any incarnation and expects its first batch.
type Sequence struct {
	incarnation uint64
	lastSeq     uint64
	// synced is false from a missing batch to the next full one.
	synced bool
}

// Verdict is what to do with a batch of cache events.
type Verdict uint8

// Verdicts on a batch.
const (
	// Apply means that the batch follows the last one.
	Apply Verdict = iota
	// Replace means that the batch is full and replaces what is known.
	Replace
	// Drop means that the batch is older than what is known.
	Drop
	// Gap means that a batch is missing: what is known is unreliable until a full batch
	// arrives. The reply asks for one.
	Gap
)

// Observe returns the verdict on a batch, by its incarnation and number.
func (s *Sequence) Observe(e *CacheEvents) Verdict {
	if e.Incarnation < s.incarnation {
		return Drop
	}
	if e.Incarnation > s.incarnation {
		*s = Sequence{incarnation: e.Incarnation, synced: true}
	}
	if e.Seq <= s.lastSeq {
		return Drop
	}
	consecutive := e.Seq == s.lastSeq+1
	s.lastSeq = e.Seq
	if e.Full {
		s.synced = true
		return Replace
	}
	if !consecutive {
		s.synced = false
	}
	if !s.synced {
		return Gap
	}
	return Apply
}
