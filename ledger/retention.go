package ledger

import (
	"cmp"
	"slices"
)

// settle appends a key to the retention queue and forgets what is beyond it.
func (l *Ledger) settle(k Key) {
	l.nextSeq++
	l.settledAt[k] = l.nextSeq
	l.settled = append(l.settled, settledKey{Key: k, Seq: l.nextSeq})
	for len(l.settledAt) > MaxRecords {
		l.forgetOldest()
	}
}

// forgetOldest drops the oldest settled record. A call that provably did not
// run leaves no trace; any other leaves its hash, so that it is still refused.
func (l *Ledger) forgetOldest() {
	oldest := l.settled[0]
	l.settled = l.settled[1:]
	if l.settledAt[oldest.Key] != oldest.Seq {
		return
	}
	r := l.records[oldest.Key]
	delete(l.settledAt, oldest.Key)
	delete(l.records, oldest.Key)
	if r.Answer != nil {
		l.answerBytes -= len(r.Answer.Body)
	}
	if r.State != NotRun {
		l.refuseLater(oldest.Key.hash())
	}
}

func (l *Ledger) refuseLater(hash uint64) {
	if _, ok := l.forgottenSet[hash]; ok {
		return
	}
	l.forgotten = append(l.forgotten, hash)
	l.forgottenSet[hash] = struct{}{}
	if len(l.forgotten) > MaxForgotten {
		delete(l.forgottenSet, l.forgotten[0])
		l.forgotten = l.forgotten[1:]
	}
}

// keepAnswer stores an answer and drops the oldest bodies over the budget.
func (l *Ledger) keepAnswer(r *Record, a *Answer) {
	if a == nil {
		return
	}
	kept := *a
	r.Answer = &kept
	if len(kept.Body) == 0 {
		return
	}
	l.answers = append(l.answers, r.Key)
	l.answerBytes += len(kept.Body)
	for l.answerBytes > MaxAnswerBytes {
		l.dropOldestBody()
	}
}

func (l *Ledger) dropOldestBody() {
	k := l.answers[0]
	l.answers = l.answers[1:]
	r, ok := l.records[k]
	if !ok || r.Answer == nil || r.Answer.BodyDropped {
		return
	}
	l.answerBytes -= len(r.Answer.Body)
	// Records handed out earlier share the old answer, which must not change.
	r.Answer = &Answer{Status: r.Answer.Status, Header: r.Answer.Header, BodyDropped: true}
}

func sortKeys(keys []Key) {
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Idempotency, b.Idempotency))
	})
}

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
