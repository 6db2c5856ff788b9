package controller

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/origin"
	"github.com/agateslip/agateslip/quarantine"
	"github.com/agateslip/agateslip/raft"
	"github.com/agateslip/agateslip/routes"
)

// decodedConfiguration is a replicated configuration and its decoded form. It is immutable.
type decodedConfiguration struct {
	version uint64
	conf    *routes.Configuration
}

// applyResult is the result of applying a log entry.
type applyResult struct {
	index  uint64
	result confstate.Result
}

// stateMachine holds this node's copy of the replicated state. The replica applies log
// entries to it; any goroutine may read it.
type stateMachine struct {
	decode Decoder
	log    *eventlog.Log
	notify func()

	mu    sync.RWMutex
	state *confstate.State
	// active is the active configuration, or nil before the first one.
	active atomic.Pointer[confstate.Configure]
	// decoded is the decoded form of the active configuration, or of an earlier one until
	// decodeConfigurations has decoded it.
	decoded atomic.Pointer[decodedConfiguration]
	// appliedTerm is the term of the last entry that was applied.
	appliedTerm atomic.Uint64
	// termBefore is the term of the last entry before those of appliedTerm; zero if that is not known.
	termBefore atomic.Uint64
	// undecoded signals that there is another active configuration to decode.
	undecoded chan struct{}
}

func newStateMachine(decode Decoder, log *eventlog.Log, notify func()) *stateMachine {
	return &stateMachine{
		decode: decode, log: log, notify: notify, state: confstate.New(), undecoded: make(chan struct{}, 1),
	}
}

// setFounders replaces the state by that of a new group with the given members.
func (s *stateMachine) setFounders(members []confstate.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = confstate.New(members...)
}

// Apply implements replica.StateMachine.
func (s *stateMachine) Apply(e raft.Entry) any {
	// After publishConfiguration: who sees the term sees the configuration, too.
	defer s.appliedTerm.Store(e.Term)
	if last := s.appliedTerm.Load(); last != e.Term {
		s.appliedTerm.Store(0) // so that termBefore is not taken for that of the last term
		s.termBefore.Store(last)
	}
	out := applyResult{index: e.Index, result: confstate.Accepted}
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
	if c.Streams != nil && c.Streams.Bases == nil {
		return out // several a second, of which the entry nodes need not hear
	}
	s.log.Event("change applied", eventlog.Fields{
		"index": e.Index, "result": out.result.String(), "version": s.version(), "kind": commandKind(c),
	})
	s.publishConfiguration()
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
	case c.Quarantine != nil:
		return "quarantine"
	case c.Evidence != nil:
		return "evidence"
	case c.Streams != nil:
		return "streams"
	case c.Depart != nil:
		return "departure"
	default:
		return "order"
	}
}

// Snapshot implements replica.StateMachine.
func (s *stateMachine) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Marshal()
}

// Restore implements replica.StateMachine.
func (s *stateMachine) Restore(data []byte) error {
	state, err := confstate.Unmarshal(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.appliedTerm.Store(0) // the terms of the entries that the snapshot stands for are not known
	s.publishConfiguration()
	return nil
}

// publishConfiguration makes the replicated configuration the active one, unless that
// version is active already. It does not decode it: the replica, which calls it for each
// entry, sends no heartbeat meanwhile.
func (s *stateMachine) publishConfiguration() {
	s.mu.RLock()
	configure := confstate.Configure{Version: s.state.Version, Document: s.state.Document}
	s.mu.RUnlock()
	defer s.notify()
	if known := s.active.Load(); configure.Document == nil || known != nil && known.Version >= configure.Version {
		return
	}
	s.active.Store(&configure)
	select {
	case s.undecoded <- struct{}{}:
	default:
	}
}

// decodeConfigurations decodes the active configuration whenever there is another one, until
// ctx ends. Of several that become active in quick succession it decodes only the last.
func (s *stateMachine) decodeConfigurations(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.undecoded:
		}
		active := s.active.Load()
		conf, err := s.decodeDocument(active.Document)
		if err != nil {
			// The node that proposed it checked it, but may run another version of the
			// software.
			s.log.Event("configuration unreadable", eventlog.Fields{"version": active.Version, "error": err.Error()})
			continue
		}
		s.decoded.Store(&decodedConfiguration{version: active.Version, conf: conf})
		s.notify()
	}
}

func (s *stateMachine) decodeDocument(compressed []byte) (*routes.Configuration, error) {
	text, err := Decompress(compressed)
	if err != nil {
		return nil, err
	}
	return s.decode(text)
}

func (s *stateMachine) version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Version
}

// hasAppliedTerm reports whether an entry of the given term is applied, and so, at the leader of that term, every
// entry of earlier ones.
func (s *stateMachine) hasAppliedTerm(term uint64) bool { return s.appliedTerm.Load() == term }

// versionThrough returns the version of the active configuration if an entry of the given term is applied, and
// otherwise zero. At the leader of that term the version covers every change that was acknowledged before the call:
// entries of earlier terms precede its own, and it acknowledges an entry once it has applied it.
func (s *stateMachine) versionThrough(term uint64) uint64 {
	if !s.hasAppliedTerm(term) {
		return 0
	}
	if active := s.active.Load(); active != nil {
		return active.Version
	}
	return 0
}

// succession returns the term of the latest leader before that of the given term which can have acted alone, and
// versionThrough; both are zero where not known. A leader acts alone only once an entry of its term is committed, which then
// precedes those of later leaders.
func (s *stateMachine) succession(term uint64) (previous, version uint64) {
	version = s.versionThrough(term)
	previous = s.termBefore.Load()
	if version == 0 || s.appliedTerm.Load() != term {
		return 0, 0
	}
	return previous, version
}

func (s *stateMachine) members() map[uint64]confstate.Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.state.Members)
}

// memberList returns the members sorted by ID.
func (s *stateMachine) memberList() []confstate.Member {
	members := s.members()
	list := make([]confstate.Member, 0, len(members))
	for _, id := range slices.Sorted(maps.Keys(members)) {
		list = append(list, members[id])
	}
	return list
}

func (s *stateMachine) orderer() confstate.Orderer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Orderer
}

// quarantine returns the signatures in quarantine. The list is not changed.
func (s *stateMachine) quarantine() []quarantine.Signature {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Quarantine
}

// evidence returns the evidence against calls that are not in quarantine. The list is not
// changed.
func (s *stateMachine) evidence() []quarantine.Evidence {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Evidence
}

// departure returns what is known of the departure of an upstream.
func (s *stateMachine) departure(id string) (d confstate.Departure, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d, ok = s.state.Departures[id]
	return d, ok
}

// departuresSince returns the departures that were applied after a log index, in no order.
func (s *stateMachine) departuresSince(index uint64) []confstate.Departure {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var since []confstate.Departure
	for _, d := range s.state.Departures {
		if d.Index > index {
			since = append(since, d)
		}
	}
	return since
}

// streams calls fn with what is known of the origins of streams. fn must not keep the table.
func (s *stateMachine) streams(fn func(t *origin.Table)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	fn(s.state.Streams)
}

// Compress compresses a configuration document for the log. Equal documents give equal
// results.
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

// Decompress decompresses a document that Compress compressed.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	document, err := io.ReadAll(r)
	return document, errors.Wrap(err, "decompress configuration")
}
