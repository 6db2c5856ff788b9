package ledger

// Image is the whole ledger in a form that encodes deterministically.
type Image struct {
	Records   []Record     `cbor:"1,keyasint"`
	Settled   []settledKey `cbor:"2,keyasint"`
	NextSeq   uint64       `cbor:"3,keyasint"`
	Answers   []Key        `cbor:"4,keyasint"`
	Forgotten []uint64     `cbor:"5,keyasint"`
}

// Image returns a copy of the ledger for a snapshot.
func (l *Ledger) Image() Image {
	keys := make([]Key, 0, len(l.records))
	for k := range l.records {
		keys = append(keys, k)
	}
	sortKeys(keys)
	img := Image{NextSeq: l.nextSeq}
	for _, k := range keys {
		img.Records = append(img.Records, *l.records[k])
	}
	for _, s := range l.settled {
		if l.settledAt[s.Key] == s.Seq {
			img.Settled = append(img.Settled, s)
		}
	}
	img.Answers = append(img.Answers, l.answers...)
	img.Forgotten = append(img.Forgotten, l.forgotten...)
	return img
}

// FromImage rebuilds a ledger.
func FromImage(img Image) *Ledger {
	l := New()
	l.nextSeq = img.NextSeq
	for _, r := range img.Records {
		l.records[r.Key] = &r
		if r.Answer != nil {
			l.answerBytes += len(r.Answer.Body)
		}
	}
	l.settled = append(l.settled, img.Settled...)
	for _, s := range img.Settled {
		l.settledAt[s.Key] = s.Seq
	}
	l.answers = append(l.answers, img.Answers...)
	l.forgotten = append(l.forgotten, img.Forgotten...)
	for _, h := range img.Forgotten {
		l.forgottenSet[h] = struct{}{}
	}
	return l
}
