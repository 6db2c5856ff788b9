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
		err := retryAtLeader(ctx, nodelink.Configure, func(namedLeader) error {
			attempts++
			return unknown
		})
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(attempts, 1)
	}
	attempts := 0
	is.NoErr(retryAtLeader(ctx, nodelink.Configure, func(namedLeader) error {
		if attempts++; attempts == 1 {
			return peer.Errorf(nodelink.CodeNotLeader, "a:1")
		}
		return nil
	}))
	is.Equal(attempts, 2)
}

// TestNamedLeaderIsKeptUntilAsked has a request to a named leader fail on its way.
func TestNamedLeaderIsKeptUntilAsked(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*leaderRetryInterval)
	defer cancel()
	known, asked := "a", []string{}
	is.NoErr(retryAtLeader(ctx, nodelink.Announce, func(n namedLeader) error {
		asked = append(asked, leaderToAsk(known, "a", "self", n))
		known = "" // forgotten since an election began
		switch len(asked) {
		case 1:
			return peer.Errorf(nodelink.CodeNotLeader, "b")
		case 2:
			return errors.Mark(errors.New("no connection"), peer.ErrNotSent)
		}
		return nil
	}))
	is.Equal(asked, []string{"a", "b", "b"})
}

// TestNamedLeaderIsAsked guards against a node that keeps calling a former leader which names another.
func TestNamedLeaderIsAsked(t *testing.T) {
	is := is.New(t)
	is.Equal(leaderToAsk("", "", "self", namedLeader{}), "")
	is.Equal(leaderToAsk("", "", "self", namedLeader{link: "b"}), "b")
	is.Equal(leaderToAsk("a", "a", "self", namedLeader{}), "a")
	is.Equal(leaderToAsk("a", "a", "self", namedLeader{link: "b"}), "b")    // named by the former leader
	is.Equal(leaderToAsk("c", "a", "self", namedLeader{link: "b"}), "c")    // learned meanwhile
	is.Equal(leaderToAsk("self", "a", "self", namedLeader{link: "b"}), "b") // may be a former leader itself
	is.Equal(leaderToAsk("self", "self", "self", namedLeader{}), "self")
	is.Equal(leaderToAsk("a", "a", "self", namedLeader{link: "gone", unreached: true}), "a") // may name another by now
	is.Equal(leaderToAsk("", "a", "self", namedLeader{link: "b", unreached: true}), "b")
}
