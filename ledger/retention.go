package ledger

import (
	"cmp"
	"slices"
)

// enqueueSettled appends a key to the settled queue and evicts the oldest records beyond
// MaxRecords.
func (l *Ledger) enqueueSettled(k Key) {
	l.lastSeq++
	l.settledSeq[k] = l.lastSeq
	l.settledQueue = append(l.settledQueue, settledEntry{Key: k, Seq: l.lastSeq})
	for len(l.settledSeq) > MaxRecords {
		l.evictOldest()
	}
}

// evictOldest removes the oldest entry of the settled queue, and also its record unless
// the call was claimed again after that entry. The key's hash is kept, so that the call
// is still refused, unless the call provably did not run.
func (l *Ledger) evictOldest() {
	oldest := l.settledQueue[0]
	l.settledQueue = l.settledQueue[1:]
	if l.settledSeq[oldest.Key] != oldest.Seq {
		return
	}
	r := l.records[oldest.Key]
	delete(l.settledSeq, oldest.Key)
	delete(l.records, oldest.Key)
	if r.Answer != nil {
		l.bodyBytes -= len(r.Answer.Body)
	}
	if r.State != NotRun {
		l.addForgotten(oldest.Key.hash())
	}
}

// addForgotten keeps the hash of an evicted key and drops the oldest hash beyond
// MaxForgotten.
func (l *Ledger) addForgotten(hash uint64) {
	if _, ok := l.forgottenSet[hash]; ok {
		return
	}
	l.forgottenQueue = append(l.forgottenQueue, hash)
	l.forgottenSet[hash] = struct{}{}
	if len(l.forgottenQueue) > MaxForgotten {
		delete(l.forgottenSet, l.forgottenQueue[0])
		l.forgottenQueue = l.forgottenQueue[1:]
	}
}

// storeAnswer stores a copy of an answer in r and drops the oldest bodies beyond
// MaxAnswerBytes.
func (l *Ledger) storeAnswer(r *Record, a *Answer) {
	if a == nil {
		return
	}
	kept := *a
	r.Answer = &kept
	if len(kept.Body) == 0 {
		return
	}
	l.bodyQueue = append(l.bodyQueue, r.Key)
	l.bodyBytes += len(kept.Body)
	for l.bodyBytes > MaxAnswerBytes {
		l.dropOldestBody()
	}
}

// dropOldestBody removes the oldest key of the body queue and drops the body of its
// record, if it still has one.
func (l *Ledger) dropOldestBody() {
	k := l.bodyQueue[0]
	l.bodyQueue = l.bodyQueue[1:]
	r, ok := l.records[k]
	if !ok || r.Answer == nil || r.Answer.BodyDropped {
		return
	}
	l.bodyBytes -= len(r.Answer.Body)
	// Record copies returned earlier share the old Answer, so it must not be modified.
	r.Answer = &Answer{Status: r.Answer.Status, Header: r.Answer.Header, BodyDropped: true}
}

// sortKeys sorts keys by customer, then by idempotency key.
func sortKeys(keys []Key) {
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Idempotency, b.Idempotency))
	})
}

// sortedOwners returns the owners in set, sorted by node and process.
func sortedOwners(set map[Owner]struct{}) []Owner {
	owners := make([]Owner, 0, len(set))
	for o := range set {
		owners = append(owners, o)
	}
	slices.SortFunc(owners, func(a, b Owner) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Boot, b.Boot))
	})
	return owners
}
