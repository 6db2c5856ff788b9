package placement

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// addChange returns an Add change for an upstream with 100 bytes of memory.
func addChange(model, upstream string, incarnation uint64, memory int64) Change {
	return Change{
		Kind:           Add,
		Grant:          Grant{Key: Key{Customer: "c", Model: model}, Upstream: upstream, Incarnation: incarnation, Memory: memory},
		UpstreamMemory: 100,
	}
}

// TestLedgerReleaseNeedsOwnIncarnation checks that a grant stays charged until the
// incarnation that holds it reports the end, also while its replica is being unloaded.
func TestLedgerReleaseNeedsOwnIncarnation(t *testing.T) {
	is := is.New(t)
	var l Ledger
	limits := Limits{Model: 1, Customer: 2}
	g, err := l.Apply(addChange("a", "u1", 5, 60), limits)
	is.NoErr(err)
	is.Equal(g.ID, uint64(1))

	_, err = l.Apply(addChange("a", "u2", 1, 10), limits)
	is.True(errors.Is(err, ErrReplicaLimit))
	_, err = l.Apply(addChange("b", "u1", 6, 60), limits)
	is.True(errors.Is(err, ErrMemory)) // the older incarnation's grant is still charged
	_, err = l.Apply(Change{Kind: Release, ID: 1, Upstream: "u1", Incarnation: 4}, limits)
	is.True(errors.Is(err, ErrWrongIncarnation))

	w, err := l.Apply(Change{Kind: Withdraw, ID: 1}, limits)
	is.NoErr(err)
	is.Equal(w.State, Withdrawn)
	is.Equal(l.Last, uint64(2)) // the unload order carries a higher fencing number
	_, err = l.Apply(addChange("a", "u2", 1, 10), limits)
	is.True(errors.Is(err, ErrReplicaLimit)) // a replica being unloaded counts against the limit
	_, err = l.Apply(addChange("b", "u1", 5, 50), limits)
	is.True(errors.Is(err, ErrMemory)) // and its memory is still charged

	_, err = l.Apply(Change{Kind: Release, ID: 1, Upstream: "u1", Incarnation: 5}, limits)
	is.NoErr(err)
	_, err = l.Apply(Change{Kind: Release, ID: 1, Upstream: "u1", Incarnation: 5}, limits)
	is.True(errors.Is(err, ErrUnknownGrant)) // a repeated report has no effect
	g, err = l.Apply(addChange("a", "u2", 1, 10), limits)
	is.NoErr(err)
	is.Equal(g.ID, uint64(3))
}

// TestLedgerGoneRemovesOlderIncarnations checks that RemoveIncarnations removes the grants
// of older incarnations only, and that unknown kinds of change are refused.
func TestLedgerGoneRemovesOlderIncarnations(t *testing.T) {
	is := is.New(t)
	var l Ledger
	limits := Limits{Model: 9, Customer: 2}
	_, _ = l.Apply(addChange("a", "u1", 1, 10), limits)
	_, _ = l.Apply(addChange("a", "u1", 2, 10), limits)
	_, err := l.Apply(addChange("a", "u1", 2, 10), limits)
	is.True(errors.Is(err, ErrCustomerLimit))
	_, err = l.Apply(Change{Kind: RemoveIncarnations, Upstream: "u1", Incarnation: 2}, limits)
	is.NoErr(err)
	is.Equal(len(l.Grants), 1)
	is.Equal(l.Grants[0].Incarnation, uint64(2))
	_, err = l.Apply(Change{Kind: ChangeKind(99)}, limits)
	is.True(errors.Is(err, ErrUnknownChange))
}
