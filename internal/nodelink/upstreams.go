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

// packAbove is the size in bytes from which a list of upstreams is compressed.
// Shorter ones fit into one packet or two.
const packAbove = 3000

// writers are kept because a new one takes nearly a megabyte.
var writers = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "gzip level"))
	}
	return w
}}

// UpstreamList is a list of upstreams as it is sent, encoded once for all nodes
// that get it: plain while it is short, compressed where it is long.
type UpstreamList struct {
	Plain  json.RawMessage `json:"plain,omitempty"`
	Packed []byte          `json:"packed,omitempty"`
}

// EncodeUpstreams encodes a list.
func EncodeUpstreams(list []fleet.Upstream) (UpstreamList, error) {
	if len(list) == 0 {
		return UpstreamList{}, nil
	}
	plain, err := json.Marshal(list)
	if err != nil {
		return UpstreamList{}, errors.Wrap(err, "encode upstreams")
	}
	if len(plain) <= packAbove {
		return UpstreamList{Plain: plain}, nil
	}
	var packed bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&packed)
	if _, err = w.Write(plain); err == nil {
		err = w.Close()
	}
	return UpstreamList{Packed: packed.Bytes()}, errors.Wrap(err, "compress upstreams")
}

// Decode returns the list.
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
