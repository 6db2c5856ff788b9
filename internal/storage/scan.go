package storage

import (
	"github.com/fxamacker/cbor/v2"
)

// segment holds the contents of one log file.
type segment struct {
	// file is the path.
	file    string
	records []record
	// intactBytes is the total size of records in data. Any bytes after it are a
	// torn record.
	intactBytes int
	data        []byte
}

// scanSegment reads the segment whose first record has sequence number firstSeq.
// Only the last segment may end in a torn record, because each write is synced before
// the next one. Any other invalid record is a DamagedError.
func (f folder) scanSegment(firstSeq uint64, isLast bool) (segment, error) {
	s := segment{file: f.path(segmentName(firstSeq))}
	data, err := f.fs.ReadFile(s.file)
	if err != nil {
		return s, err
	}
	s.data = data
	for s.intactBytes < len(data) {
		payload, size, ok := unframe(data[s.intactBytes:])
		if !ok {
			return s, s.checkTorn(isLast)
		}
		if err := s.addRecord(payload, firstSeq); err != nil {
			return s, err
		}
		s.intactBytes += size
	}
	if len(s.records) == 0 {
		return s, s.damaged("segment is empty")
	}
	return s, nil
}

// addRecord decodes a record and appends it. It returns a DamagedError if the record
// does not have the next sequence number.
func (s *segment) addRecord(payload []byte, firstSeq uint64) error {
	var r record
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return s.damaged(err.Error())
	}
	if r.Seq != firstSeq+uint64(len(s.records)) {
		return s.damaged("record is out of sequence")
	}
	s.records = append(s.records, r)
	return nil
}

// checkTorn returns nil if the invalid record at intactBytes can be the torn end of
// the log, and a DamagedError otherwise. The first record of a segment cannot be torn,
// because it is written together with the file.
func (s *segment) checkTorn(isLast bool) error {
	if !isLast {
		return s.damaged("invalid record before a later segment")
	}
	if len(s.records) == 0 {
		return s.damaged("invalid first record")
	}
	if s.validRecordAfter(s.intactBytes + 1) {
		return s.damaged("invalid record before a valid one")
	}
	return nil
}

// validRecordAfter reports whether a valid record starts at any offset at or after
// from. A torn record is always the last one, so a valid record after an invalid one
// shows damage.
func (s *segment) validRecordAfter(from int) bool {
	for offset := from; offset+frameHeaderBytes < len(s.data); offset++ {
		if !startsLikeRecord(s.data[offset+frameHeaderBytes:]) {
			continue
		}
		payload, _, ok := unframe(s.data[offset:])
		if !ok {
			continue
		}
		var r record
		if cbor.Unmarshal(payload, &r) == nil {
			return true
		}
	}
	return false
}

// startsLikeRecord reports whether payload starts with a CBOR map of less than 24 fields whose first key is that of
// Seq, as each record does. It spares most checksums, of which each may cover the rest of the segment.
func startsLikeRecord(payload []byte) bool {
	const smallMap, smallMapMask, seqKey = 0xa0, 0xe0, 1
	return len(payload) > 1 && payload[0]&smallMapMask == smallMap && payload[1] == seqKey
}

// damaged returns a DamagedError for the record after the intact ones.
func (s *segment) damaged(reason string) error {
	return &DamagedError{File: s.file, Offset: int64(s.intactBytes), Reason: reason}
}
