package nodelink

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/fleet"
)

// compressThreshold is the size in bytes above which an encoded list is compressed.
// Shorter lists fit into one or two packets.
const compressThreshold = 3000

// gzipWriters are reused because a new one allocates nearly a megabyte.
var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "gzip level"))
	}
	return w
}}

// UpstreamList is an encoded list of upstreams. It is encoded once for all receiving
// nodes: as plain JSON if it is short, compressed with gzip if it is long.
type UpstreamList struct {
	Plain  json.RawMessage `json:"plain,omitempty"`
	Packed []byte          `json:"packed,omitempty"`
}

// EncodeUpstreams encodes a list of upstreams.
func EncodeUpstreams(list []fleet.Upstream) (UpstreamList, error) {
	if len(list) == 0 {
		return UpstreamList{}, nil
	}
	plain, err := json.Marshal(list)
	if err != nil {
		return UpstreamList{}, errors.Wrap(err, "encode upstreams")
	}
	if len(plain) <= compressThreshold {
		return UpstreamList{Plain: plain}, nil
	}
	var packed bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&packed)
	if _, err = w.Write(plain); err == nil {
		err = w.Close()
	}
	return UpstreamList{Packed: packed.Bytes()}, errors.Wrap(err, "compress upstreams")
}

// Decode returns the decoded list; nil if it is empty.
func (l *UpstreamList) Decode() ([]fleet.Upstream, error) {
	plain := []byte(l.Plain)
	if len(l.Packed) > 0 {
		r, err := gzip.NewReader(bytes.NewReader(l.Packed))
		if err != nil {
			return nil, errors.Wrap(err, "expand upstreams")
		}
		if plain, err = io.ReadAll(r); err != nil {
			return nil, errors.Wrap(err, "expand upstreams")
		}
	}
	if len(plain) == 0 {
		return nil, nil
	}
	var list []fleet.Upstream
	return list, errors.Wrap(json.Unmarshal(plain, &list), "decode upstreams")
}
