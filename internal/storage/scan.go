package storage

import (
	"github.com/fxamacker/cbor/v2"
)

// segment is one log file as read.
type segment struct {
	file    string
	records []record
	// intact is the length in bytes of the records; what follows is torn.
	intact int
	data   []byte
}

// scanSegment reads the records of a segment. Only the last segment may end in
// a torn record, because each write is synced before the next one.
func (f folder) scanSegment(number uint64, last bool) (segment, error) {
	s := segment{file: f.path(segmentName(number))}
	data, err := f.fs.ReadFile(s.file)
	if err != nil {
		return s, err
	}
	s.data = data
	for s.intact < len(data) {
		payload, size, ok := unframe(data[s.intact:])
		if !ok {
			return s, s.checkTorn(last)
		}
		if err := s.add(payload, number); err != nil {
			return s, err
		}
		s.intact += size
	}
	if len(s.records) == 0 {
		return s, s.damaged("segment is empty")
	}
	return s, nil
}

// add decodes the next record and checks that it is the next in sequence.
func (s *segment) add(payload []byte, number uint64) error {
	var r record
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return s.damaged(err.Error())
	}
	if r.Seq != number+uint64(len(s.records)) {
		return s.damaged("record is out of sequence")
	}
	s.records = append(s.records, r)
	return nil
}

// checkTorn decides whether an invalid record is the torn end of the log. The
// first record is written with the file, so it cannot be torn.
func (s *segment) checkTorn(last bool) error {
	if !last {
		return s.damaged("invalid record before a later segment")
	}
	if len(s.records) == 0 {
		return s.damaged("invalid first record")
	}
	if s.validRecordAfter(s.intact + 1) {
		return s.damaged("invalid record before a valid one")
	}
	return nil
}

// validRecordAfter looks for a later record of the log at any offset.
func (s *segment) validRecordAfter(from int) bool {
	for at := from; at+frameHeaderBytes < len(s.data); at++ {
		payload, _, ok := unframe(s.data[at:])
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

func (s *segment) damaged(reason string) error {
	return &DamagedError{File: s.file, Offset: int64(s.intact), Reason: reason}
}
