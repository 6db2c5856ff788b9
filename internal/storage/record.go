package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/agateslip/agateslip/raft"
)

const (
	// frameHeaderBytes is the length and the checksum before each payload.
	frameHeaderBytes = 8
	// maxPayloadBytes bounds one record or snapshot.
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one write to the log. Sequence numbers are consecutive over all
// segments, which shows a missing record or segment.
type record struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Checkpoint is set on the first record of a segment from which a restart
	// can begin: Base, Hard and Entries are then the whole durable state.
	Checkpoint bool            `cbor:"2,keyasint,omitempty"`
	Base       *position       `cbor:"3,keyasint,omitempty"`
	Hard       *raft.HardState `cbor:"4,keyasint,omitempty"`
	Entries    []raft.Entry    `cbor:"5,keyasint,omitempty"`
}

// position names the snapshot that the log follows.
type position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// frame prepends length and CRC32C to a payload. The checksum covers the
// length too.
func frame(payload []byte) []byte {
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.LittleEndian.PutUint32(buf, uint32(len(payload)))
	buf = append(buf, payload...)
	binary.LittleEndian.PutUint32(buf[4:], checksum(buf))
	return buf
}

// checksum covers the length field and the payload of a framed record.
func checksum(framed []byte) uint32 {
	sum := crc32.Update(0, castagnoli, framed[:4])
	return crc32.Update(sum, castagnoli, framed[frameHeaderBytes:])
}

// unframe returns the first payload in buf and the bytes that it takes, or
// false when there is no whole, intact record. An empty payload is invalid, so
// that a run of zeros is.
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

// encodeFramed encodes a value as one framed record.
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
