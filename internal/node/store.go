package node

import (
	"sync"
	"sync/atomic"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/ledger"
	"github.com/agateslip/agateslip/placement"
	"github.com/agateslip/agateslip/raft"
)

// contractView is an immutable view of the contracts in force, for serving calls. byKey
// is indexed by the hexadecimal SHA-256 of the key.
type contractView struct {
	revision  uint64
	contracts []control.VersionedContract
	byKey     map[string]*contract.Contract
}

func newView(s *control.State) *contractView {
	v := &contractView{revision: s.Revision(), contracts: s.Contracts(), byKey: map[string]*contract.Contract{}}
	for i := range v.contracts {
		c := &v.contracts[i].Contract
		for _, k := range c.Keys {
			v.byKey[k.SHA256] = c
		}
	}
	return v
}

// store holds this node's copy of the replicated state. One goroutine applies entries
// to it; any goroutine may read.
type store struct {
	mu      sync.RWMutex
	state   *control.State
	view    atomic.Pointer[contractView]
	applied atomic.Uint64
	// changed is signaled when the contracts or grants may have changed.
	changed chan struct{}
}

func newStore() *store {
	s := &store{state: control.New(), changed: make(chan struct{}, 1)}
	s.view.Store(newView(s.state))
	return s
}

// Apply implements replica.StateMachine.
func (s *store) Apply(e raft.Entry) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := s.state.Apply(e)
	s.publish()
	return res
}

// Snapshot implements replica.StateMachine.
func (s *store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Snapshot()
}

// Restore implements replica.StateMachine.
func (s *store) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.state.Restore(data); err != nil {
		return err
	}
	s.publish()
	return nil
}

// restoreAt replaces the state by the snapshot taken after the entry at index. The
// founding state contains no entry, so its own index may be lower than index.
func (s *store) restoreAt(index uint64, data []byte) error {
	if err := s.Restore(data); err != nil {
		return err
	}
	s.applied.Store(max(index, s.applied.Load()))
	return nil
}

// publish makes the applied state visible to readers. The view is replaced only by one
// of a higher revision, so the visible revision never decreases.
func (s *store) publish() {
	if s.state.Revision() > s.view.Load().revision {
		s.view.Store(newView(s.state))
	}
	s.applied.Store(s.state.Index())
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *store) grants() placement.Ledger {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Grants()
}

func (s *store) members() raft.Members {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Members()
}

func (s *store) audit(since uint64, limit int) []control.AuditEntry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Audit(since, limit)
}

func (s *store) claimOwners() []ledger.Owner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.ClaimOwners()
}
