package ledger

// Image is the whole ledger in a form that encodes deterministically. Its fields
// correspond to those of Ledger.
type Image struct {
	// Records are sorted by key.
	Records []Record `cbor:"1,keyasint"`
	// SettledQueue omits the entries whose calls were claimed again later.
	SettledQueue   []settledEntry `cbor:"2,keyasint"`
	LastSeq        uint64         `cbor:"3,keyasint"`
	BodyQueue      []Key          `cbor:"4,keyasint"`
	ForgottenQueue []uint64       `cbor:"5,keyasint"`
}

// Image returns a copy of the ledger for a snapshot.
func (l *Ledger) Image() Image {
	keys := make([]Key, 0, len(l.records))
	for k := range l.records {
		keys = append(keys, k)
	}
	sortKeys(keys)
	img := Image{LastSeq: l.lastSeq}
	for _, k := range keys {
		img.Records = append(img.Records, *l.records[k])
	}
	for _, s := range l.settledQueue {
		if l.settledSeq[s.Key] == s.Seq {
			img.SettledQueue = append(img.SettledQueue, s)
		}
	}
	img.BodyQueue = append(img.BodyQueue, l.bodyQueue...)
	img.ForgottenQueue = append(img.ForgottenQueue, l.forgottenQueue...)
	return img
}

// FromImage returns the ledger that img was taken from.
func FromImage(img Image) *Ledger {
	l := New()
	l.lastSeq = img.LastSeq
	for _, r := range img.Records {
		l.records[r.Key] = &r
		if r.Answer != nil {
			l.bodyBytes += len(r.Answer.Body)
		}
	}
	l.settledQueue = append(l.settledQueue, img.SettledQueue...)
	for _, entry := range img.SettledQueue {
		l.settledSeq[entry.Key] = entry.Seq
	}
	l.bodyQueue = append(l.bodyQueue, img.BodyQueue...)
	l.forgottenQueue = append(l.forgottenQueue, img.ForgottenQueue...)
	for _, h := range img.ForgottenQueue {
		l.forgottenSet[h] = struct{}{}
	}
	return l
}
