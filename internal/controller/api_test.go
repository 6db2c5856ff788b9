package controller

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
)

// TestUndecidedChangesAreNotRepeated checks that a change is sent again to another leader
// only if the first one certainly did not accept it.
func TestUndecidedChangesAreNotRepeated(t *testing.T) {
	is := is.New(t)
	undecided := peer.Errorf(nodelink.CodeUndecided, "the leader lost its leadership")
	unanswered := errors.Mark(errors.New("connection is closed"), peer.ErrOutcomeUnknown)
	is.True(mayHaveChanged(nodelink.Configure, undecided))
	is.True(mayHaveChanged(nodelink.Configure, unanswered))
	is.True(!mayHaveChanged(nodelink.Configure, peer.Errorf(nodelink.CodeNotLeader, "a:1")))
	is.True(!mayHaveChanged(nodelink.Configure, errors.Mark(errors.New("no connection"), peer.ErrNotSent)))
	is.True(!mayHaveChanged(nodelink.Read, unanswered)) // a read changes nothing

	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for _, unknown := range []error{undecided, unanswered} {
		attempts := 0
		err := retryAtLeader(ctx, nodelink.Configure, func(string) error {
			attempts++
			return unknown
		})
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(attempts, 1)
	}
	attempts := 0
	is.NoErr(retryAtLeader(ctx, nodelink.Configure, func(string) error {
		if attempts++; attempts == 1 {
			return peer.Errorf(nodelink.CodeNotLeader, "a:1")
		}
		return nil
	}))
	is.Equal(attempts, 2)
}

// TestNamedLeaderIsAsked guards against a node that keeps calling a former leader which names another.
func TestNamedLeaderIsAsked(t *testing.T) {
	is := is.New(t)
	is.Equal(leaderToAsk("", "", "self", ""), "")
	is.Equal(leaderToAsk("", "", "self", "b"), "b")
	is.Equal(leaderToAsk("a", "a", "self", ""), "a")
	is.Equal(leaderToAsk("a", "a", "self", "b"), "b")    // named by the former leader
	is.Equal(leaderToAsk("c", "a", "self", "b"), "c")    // learned meanwhile
	is.Equal(leaderToAsk("self", "a", "self", "b"), "b") // may be a former leader itself
	is.Equal(leaderToAsk("self", "self", "self", ""), "self")
}
