package node

import (
	"sync"
	"time"
)

// proofLifetime is how long a proof that this node's contracts are in force is valid.
const proofLifetime = 2 * time.Second

// maxPendingProofs limits the proofs that wait for entries to be applied; the oldest is
// dropped first.
const maxPendingProofs = 16

// pendingProof becomes valid once the entry at index commit is applied on this node.
// askedAt is when the proof was requested.
type pendingProof struct {
	askedAt time.Duration
	commit  uint64
}

// proofTracker records the latest time at which this node's contracts were proved to be
// in force. A proof dates from when it was requested, not from when the answer arrived.
type proofTracker struct {
	mu       sync.Mutex
	provedAt time.Duration
	hasProof bool
	pending  []pendingProof
}

// add records the statement of a confirmed leader or of a majority of voters that no
// entry after index commit had been accepted at the time askedAt.
func (t *proofTracker) add(askedAt time.Duration, commit uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) == maxPendingProofs {
		t.pending = t.pending[1:]
	}
	t.pending = append(t.pending, pendingProof{askedAt: askedAt, commit: commit})
}

// age returns the age of the latest valid proof, given the index of the last applied
// entry. It reports false if there has been no proof.
func (t *proofTracker) age(now time.Duration, applied uint64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.pending[:0]
	for _, p := range t.pending {
		if p.commit > applied {
			kept = append(kept, p)
			continue
		}
		if !t.hasProof || p.askedAt > t.provedAt {
			t.provedAt = p.askedAt
			t.hasProof = true
		}
	}
	t.pending = kept
	return now - t.provedAt, t.hasProof
}
