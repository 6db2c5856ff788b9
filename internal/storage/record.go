package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/agateslip/agateslip/raft"
)

const (
	// frameHeaderBytes is the size of the header before each payload. The header
	// holds the payload's length and a checksum, both little-endian uint32.
	frameHeaderBytes = 8
	// maxPayloadBytes bounds the encoded size of one record or snapshot.
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one write to the log.
type record struct {
	// Seq is the sequence number. It is consecutive across segments, so that a
	// missing record or segment is detected.
	Seq uint64 `cbor:"1,keyasint"`
	// Checkpoint is set on the first record of a segment from which a replay can
	// start. The whole durable state is then Hard, Entries and the snapshot that
	// Base identifies.
	Checkpoint bool              `cbor:"2,keyasint,omitempty"`
	Base       *snapshotPosition `cbor:"3,keyasint,omitempty"`
	Hard       *raft.HardState   `cbor:"4,keyasint,omitempty"`
	Entries    []raft.Entry      `cbor:"5,keyasint,omitempty"`
}

// snapshotPosition identifies the snapshot before the start of the log. Index and Term
// are those of the last entry that the snapshot covers.
type snapshotPosition struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// frame returns the payload preceded by its length and a CRC32C checksum of both.
func frame(payload []byte) []byte {
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.LittleEndian.PutUint32(buf, uint32(len(payload)))
	buf = append(buf, payload...)
	binary.LittleEndian.PutUint32(buf[4:], checksum(buf))
	return buf
}

// checksum returns the CRC32C of the length field and the payload of a framed record.
func checksum(framed []byte) uint32 {
	sum := crc32.Update(0, castagnoli, framed[:4])
	return crc32.Update(sum, castagnoli, framed[frameHeaderBytes:])
}

// unframe returns the payload of the first record in buf and the record's size in
// bytes including its header. It returns false if buf does not start with a complete
// record whose checksum matches. An empty payload is invalid, so that a run of zeros
// is not taken for a record.
func unframe(buf []byte) (payload []byte, size int, ok bool) {
	if len(buf) < frameHeaderBytes {
		return nil, 0, false
	}
	n := int64(binary.LittleEndian.Uint32(buf))
	if n == 0 || n > maxPayloadBytes || n > int64(len(buf)-frameHeaderBytes) {
		return nil, 0, false
	}
	size = frameHeaderBytes + int(n)
	if binary.LittleEndian.Uint32(buf[4:]) != checksum(buf[:size]) {
		return nil, 0, false
	}
	return buf[frameHeaderBytes:size], size, true
}

// encodeFramed returns the CBOR encoding of v as one framed record.
func encodeFramed(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(payload) > maxPayloadBytes {
		return nil, errors.Newf("record of %d bytes exceeds the limit of %d", len(payload), maxPayloadBytes)
	}
	return frame(payload), nil
}
