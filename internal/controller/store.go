package controller

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/raft"
	"github.com/agateslip/agateslip/routes"
)

// view is the configuration in force. It never changes.
type view struct {
	configure confstate.Configure
	conf      *routes.Configuration
}

// applied is the result of an entry.
type applied struct {
	index  uint64
	result confstate.Result
}

// store holds this node's copy of the replicated state. The replica applies
// entries to it; any goroutine may read.
type store struct {
	decode Decoder
	log    *eventlog.Log
	wake   func()

	mu    sync.RWMutex
	state *confstate.State
	view  atomic.Pointer[view]
}

func newStore(decode Decoder, log *eventlog.Log, wake func()) *store {
	return &store{decode: decode, log: log, wake: wake, state: confstate.New()}
}

// found sets the state of a new group.
func (s *store) found(members []confstate.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = confstate.New(members...)
}

// Apply implements replica.StateMachine.
func (s *store) Apply(e raft.Entry) any {
	out := applied{index: e.Index, result: confstate.Accepted}
	if e.Kind != raft.EntryCommand {
		return out
	}
	var c confstate.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "entry %d of the log", e.Index))
	}
	s.mu.Lock()
	out.result = s.state.Apply(e.Index, c)
	s.mu.Unlock()
	s.log.Event("change applied", eventlog.Fields{
		"index": e.Index, "result": out.result.String(), "version": s.version(), "kind": commandKind(c),
	})
	s.publish()
	return out
}

func commandKind(c confstate.Command) string {
	switch {
	case c.Configure != nil:
		return "configure"
	case c.Join != nil:
		return "join"
	case c.Retire != nil:
		return "retire"
	default:
		return "order"
	}
}

// Snapshot implements replica.StateMachine.
func (s *store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Marshal()
}

// Restore implements replica.StateMachine.
func (s *store) Restore(data []byte) error {
	state, err := confstate.Unmarshal(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.publish()
	return nil
}

// publish makes the configuration visible that is in force.
func (s *store) publish() {
	s.mu.RLock()
	configure := confstate.Configure{Version: s.state.Version, Document: s.state.Document}
	s.mu.RUnlock()
	defer s.wake()
	if known := s.view.Load(); configure.Document == nil || known != nil && known.configure.Version >= configure.Version {
		return
	}
	v, err := newView(configure, s.decode)
	if err != nil {
		// It was checked before it was proposed, by a node of another version.
		s.log.Event("configuration unreadable", eventlog.Fields{"version": configure.Version, "error": err.Error()})
		return
	}
	s.view.Store(v)
}

func newView(c confstate.Configure, decode Decoder) (*view, error) {
	text, err := Expand(c.Document)
	if err != nil {
		return nil, err
	}
	conf, err := decode(text)
	if err != nil {
		return nil, err
	}
	return &view{configure: c, conf: conf}, nil
}

func (s *store) version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Version
}

func (s *store) members() map[uint64]confstate.Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.state.Members)
}

// memberList returns the members in a fixed order.
func (s *store) memberList() []confstate.Member {
	members := s.members()
	list := make([]confstate.Member, 0, len(members))
	for _, id := range slices.Sorted(maps.Keys(members)) {
		list = append(list, members[id])
	}
	return list
}

func (s *store) orderer() confstate.Orderer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Orderer
}

// Compress encodes a document for the log. Equal documents have equal encodings.
func Compress(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(document); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return out.Bytes(), nil
}

// Expand decodes what Compress returned.
func Expand(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "expand configuration")
	}
	document, err := io.ReadAll(r)
	return document, errors.Wrap(err, "expand configuration")
}
