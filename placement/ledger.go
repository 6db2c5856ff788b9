package placement

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/directory"
)

// Reasons for which the ledger refuses a change.
var (
	ErrReplicaLimit     = errors.New("placement: the model's replica limit is reached")
	ErrCustomerLimit    = errors.New("placement: the customer's replica limit is reached")
	ErrMemory           = errors.New("placement: the upstream's memory is fully charged")
	ErrUnknownGrant     = errors.New("placement: no such grant")
	ErrWrongIncarnation = errors.New("placement: the report is of another incarnation")
	ErrUnknownChange    = errors.New("placement: unknown kind of change")
)

// GrantState is the state of a grant in the ledger.
type GrantState uint8

// Grant states. A released grant leaves the ledger.
const (
	// Granted means that the upstream may load and hold the replica.
	Granted GrantState = iota
	// Withdrawn means that the replica is to be unloaded. It stays charged until then.
	Withdrawn
)

// Grant is the right of one upstream incarnation to hold one replica.
type Grant struct {
	// ID identifies the grant. IDs are never reused.
	ID uint64 `json:"id"`
	Key
	// Upstream and Incarnation identify the holder.
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
	// Memory is the charged accelerator memory in bytes.
	Memory int64 `json:"memory"`
	// Tier is the tier that the load reads the checkpoint from.
	Tier  directory.Tier `json:"tier"`
	State GrantState     `json:"state"`
}

// ChangeKind is the kind of a ledger change.
type ChangeKind uint8

// Kinds of change.
const (
	// Add adds a grant and charges it.
	Add ChangeKind = iota + 1
	// Withdraw marks a grant's replica to be unloaded.
	Withdraw
	// Release removes a grant whose replica its own incarnation reported as failed or
	// unloaded.
	Release
	// RemoveIncarnations removes every grant of an upstream's incarnations below Incarnation.
	RemoveIncarnations
)

// Change is an entry of the replicated log that alters the ledger.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Grant is the new grant of Add. The ledger sets its ID and State.
	Grant Grant `json:"grant,omitzero"`
	// UpstreamMemory is, for Add, the accelerator memory in bytes that the upstream
	// announced.
	UpstreamMemory int64 `json:"upstreamMemory,omitempty"`
	// ID identifies the grant of Withdraw and Release.
	ID uint64 `json:"id,omitempty"`
	// Upstream is the upstream of Release and RemoveIncarnations.
	Upstream string `json:"upstream,omitempty"`
	// Incarnation is the reporting incarnation for Release, and the lowest incarnation that
	// may still be alive for RemoveIncarnations.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Limits bound the number of replicas that may be charged when a grant is added.
type Limits struct {
	// Model bounds the customer's replicas of the model.
	Model int
	// Customer bounds the customer's replicas over all its models.
	Customer int
}

// Ledger holds every charged grant. It is part of the replicated state, and its zero value
// is an empty ledger. Apply is deterministic.
type Ledger struct {
	// Last counts the grants added and withdrawn. It supplies the IDs of new grants and is
	// the fencing number of every order sent under this state: an unload order carries a
	// higher number than any load order sent before the withdrawal, whichever leader sent it.
	Last uint64 `json:"last"`
	// Grants are in ascending order of ID.
	Grants []Grant `json:"grants"`
}

// Clone returns a copy that shares no memory with the ledger.
func (l *Ledger) Clone() Ledger {
	return Ledger{Last: l.Last, Grants: slices.Clone(l.Grants)}
}

// Find returns the charged grant with the given ID, and whether there is one.
func (l *Ledger) Find(id uint64) (Grant, bool) {
	at, found := l.search(id)
	if !found {
		return Grant{}, false
	}
	return l.Grants[at], true
}

// Apply applies one committed change and returns the grant that it added, altered or
// removed; for RemoveIncarnations the zero Grant. The limits are those of the contract in
// force; only Add uses them. A refused change leaves the ledger unchanged and returns one
// of the package's errors.
func (l *Ledger) Apply(c Change, limits Limits) (Grant, error) {
	switch c.Kind {
	case Add:
		return l.add(c, limits)
	case Withdraw:
		return l.withdraw(c.ID)
	case Release:
		return l.release(c)
	case RemoveIncarnations:
		l.removeBefore(c.Upstream, c.Incarnation)
		return Grant{}, nil
	default:
		return Grant{}, ErrUnknownChange
	}
}

// add appends a new grant unless it exceeds a replica limit or the upstream's memory. The
// grants of all incarnations of the upstream count.
func (l *Ledger) add(c Change, limits Limits) (Grant, error) {
	modelReplicas, customerReplicas := 0, 0
	charged := c.Grant.Memory
	for i := range l.Grants {
		g := &l.Grants[i]
		if g.Customer == c.Grant.Customer {
			customerReplicas++
		}
		if g.Key == c.Grant.Key {
			modelReplicas++
		}
		if g.Upstream == c.Grant.Upstream {
			charged += g.Memory
		}
	}
	if modelReplicas >= limits.Model {
		return Grant{}, ErrReplicaLimit
	}
	if customerReplicas >= limits.Customer {
		return Grant{}, ErrCustomerLimit
	}
	if charged > c.UpstreamMemory {
		return Grant{}, ErrMemory
	}
	l.Last++
	g := c.Grant
	g.ID, g.State = l.Last, Granted
	l.Grants = append(l.Grants, g)
	return g, nil
}

// withdraw marks a grant as withdrawn and raises the fencing number.
func (l *Ledger) withdraw(id uint64) (Grant, error) {
	at, found := l.search(id)
	if !found {
		return Grant{}, ErrUnknownGrant
	}
	l.Last++
	l.Grants[at].State = Withdrawn
	return l.Grants[at], nil
}

// release removes a grant if its own incarnation reported the end.
func (l *Ledger) release(c Change) (Grant, error) {
	at, found := l.search(c.ID)
	if !found {
		return Grant{}, ErrUnknownGrant
	}
	g := l.Grants[at]
	if g.Upstream != c.Upstream || g.Incarnation != c.Incarnation {
		return Grant{}, ErrWrongIncarnation
	}
	l.Grants = slices.Delete(l.Grants, at, at+1)
	return g, nil
}

// removeBefore removes the grants of an upstream's incarnations below the given one.
func (l *Ledger) removeBefore(upstream string, incarnation uint64) {
	l.Grants = slices.DeleteFunc(l.Grants, func(g Grant) bool {
		return g.Upstream == upstream && g.Incarnation < incarnation
	})
}

// search returns the index of the grant with the given ID, and whether there is one.
func (l *Ledger) search(id uint64) (int, bool) {
	return slices.BinarySearchFunc(l.Grants, id, func(g Grant, id uint64) int {
		switch {
		case g.ID < id:
			return -1
		case g.ID > id:
			return 1
		default:
			return 0
		}
	})
}
