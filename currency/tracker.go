// Package currency decides for how long a node may act on its copy of replicated state. A
// leader under a valid lease states how far the state had been accepted; that proves the copy
// current as of when the statement was asked for, once the copy has reached that point. A proof
// is valid for a limited time, so that a change is in force everywhere within that time after
// it was acknowledged, also on nodes that are cut off or were suspended.
//
// The load it answers: changes that withdraw a right, while some nodes are out of touch.
//
// The package has no clock: times are durations on one clock of the node, which must count the
// time for which the VM is suspended.
package currency

import (
	"sync"
	"time"
)

// maxPending limits the proofs that wait for changes to be applied; the oldest is dropped
// first.
const maxPending = 16

// pendingProof becomes valid once the state is applied up to through. askedAt is when the proof
// was asked for.
type pendingProof struct {
	askedAt time.Duration
	through uint64
}

// Tracker records the latest time as of which a node's copy of the state was proved to be
// current. A proof dates from when it was asked for, not from when the answer arrived. The zero
// Tracker has no proof. A Tracker is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	provedAt time.Duration
	hasProof bool
	pending  []pendingProof
}

// Add records the statement of a confirmed leader, or of a majority of voters, that no change
// after number through had been accepted at the time askedAt.
func (t *Tracker) Add(askedAt time.Duration, through uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) == maxPending {
		t.pending = t.pending[1:]
	}
	t.pending = append(t.pending, pendingProof{askedAt: askedAt, through: through})
}

// Age returns the age of the latest valid proof, given the number of the last change that is
// applied. It reports false if there has been no proof.
func (t *Tracker) Age(now time.Duration, applied uint64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.pending[:0]
	for _, p := range t.pending {
		if p.through > applied {
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
