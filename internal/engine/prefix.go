package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlock is the granularity of cached prefixes, in bytes of prompt text.
const PrefixBlock = 256

// PrefixHashes identifies each whole block prefix of a prompt, shortest first.
func PrefixHashes(model, prompt string) []string {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	hashes := make([]string, 0, len(prompt)/PrefixBlock)
	for len(prompt) >= PrefixBlock {
		_, _ = digest.WriteString(prompt[:PrefixBlock])
		prompt = prompt[PrefixBlock:]
		hashes = append(hashes, strconv.FormatUint(digest.Sum64(), 16))
	}
	return hashes
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
