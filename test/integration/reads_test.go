package integration

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/operator"
)

// operatorReads ask a node for replicated state. Each reports the version of the
// test contract that the answer shows, zero for none; status the revision.
var operatorReads = map[string]func(ctx context.Context, c *operator.Client) (uint64, error){
	"contract list": func(ctx context.Context, c *operator.Client) (uint64, error) {
		list, err := c.Contracts(ctx)
		if err != nil || len(list) == 0 {
			return 0, err
		}
		return list[0].Version, nil
	},
	"contract get": func(ctx context.Context, c *operator.Client) (uint64, error) {
		v, err := c.Contract(ctx, "studio")
		return v.Version, err
	},
	"audit": func(ctx context.Context, c *operator.Client) (uint64, error) {
		entries, err := c.Audit(ctx, 0, 1000)
		newest := uint64(0)
		for _, e := range entries {
			if e.Action == "contract.apply" && e.Outcome == string(control.Accepted) {
				newest = e.To
			}
		}
		return newest, err
	},
	"status": func(ctx context.Context, c *operator.Client) (uint64, error) {
		status, err := c.Status(ctx)
		return status.Revision, err
	},
}

// unavailable says whether a node answered that it cannot show the present state.
// A node that does not listen yet answers nothing, which is none either.
func unavailable(err error) bool {
	var api *operator.APIError
	if errors.As(err, &api) {
		return api.Status == 503
	}
	return errors.Is(err, operator.ErrUnavailable)
}

// shows is what the answer to a read must show at least once a change is accepted.
func shows(name string, newest control.ChangeResult) uint64 {
	if name == "status" {
		return newest.Revision
	}
	return newest.Version
}

// checkReads asks a node at once for everything, several times; no answer may be
// older than the newest accepted change. release lets the node answer. It returns
// how many reads were served.
func checkReads(t *testing.T, n *node, newest control.ChangeResult, release func()) int {
	t.Helper()
	const times = 6
	type answer struct {
		name    string
		version uint64
		err     error
	}
	answers := make(chan answer, times*len(operatorReads))
	for name, read := range operatorReads {
		for range times {
			go func() {
				got, err := read(t.Context(), n.client)
				answers <- answer{name, got, err}
			}()
		}
	}
	release()
	served := 0
	for range cap(answers) {
		got := <-answers
		switch {
		case got.err == nil && got.version < shows(got.name, newest):
			t.Errorf("%s showed %d after %d was accepted", got.name, got.version, shows(got.name, newest))
		case got.err == nil:
			served++
		case !unavailable(got.err):
			t.Errorf("%s: %v", got.name, got.err)
		}
	}
	return served
}

// TestReadsOfAFrozenNodeAreNeverOld reads at a node that stood still while a
// change was accepted elsewhere: the requests are the first that it sees.
func TestReadsOfAFrozenNodeAreNeverOld(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t)
			var ch changes
			ch.make(t, c.nodes)
			frozen := c.leader(t)
			if role == "follower" {
				frozen = c.other(frozen)[0]
			}
			frozen.signal(syscall.SIGSTOP)
			newest := ch.make(t, c.other(frozen))
			served := checkReads(t, frozen, newest, func() {
				time.Sleep(3 * time.Second)
				frozen.signal(syscall.SIGCONT)
			})
			t.Logf("%d reads were served", served)
		})
	}
}

// TestReadsOfARestartedNodeAreNeverOld reads at a node from the first moment after
// it was killed and started again, while it has not applied its log yet.
func TestReadsOfARestartedNodeAreNeverOld(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	var ch changes
	for range 5 {
		ch.make(t, c.nodes)
	}
	restarted := c.other(c.leader(t))[0]
	restarted.kill()
	newest := ch.make(t, c.other(restarted))
	restarted.start(t)
	eventually(t, "reads served", func() bool {
		return checkReads(t, restarted, newest, func() {}) > 0
	})
}

// TestStaleReadsAreMarked asks a node that lost the others: it shows nothing as
// the present state, and what it knows only to those who ask for that.
func TestStaleReadsAreMarked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	var ch changes
	newest := ch.make(t, c.nodes)
	alone := c.nodes[0]
	inForce(t, c.nodes, newest.Revision)
	for _, other := range c.other(alone) {
		other.kill()
	}
	for name, read := range operatorReads {
		_, err := read(t.Context(), alone.client)
		if !unavailable(err) {
			t.Errorf("%s: %v", name, err)
		}
		var age time.Duration
		stale := operator.NewClient(alone.operator, operatorToken, "integration")
		stale.Stale = func(proofAge time.Duration, proved bool) {
			is.True(proved)
			age = proofAge
		}
		version, err := read(t.Context(), stale)
		is.NoErr(err)
		is.Equal(version, shows(name, newest))
		is.True(age > 0)
	}
}

// TestAChangeIsInForceAtTheNodeThatAnsweredIt makes changes through followers: what
// each serves callers by covers a change as soon as it has answered it.
func TestAChangeIsInForceAtTheNodeThatAnsweredIt(t *testing.T) {
	t.Parallel()
	const rounds = 40
	is := is.New(t)
	c := startCluster(t)
	var ch changes
	for round := range rounds {
		followers := c.other(c.leader(t))
		asked := followers[round%len(followers)]
		res := ch.make(t, []*node{asked})
		own := operator.NewClient(asked.operator, operatorToken, "integration")
		own.Stale = func(time.Duration, bool) {}
		status, err := own.Status(t.Context())
		is.NoErr(err)
		is.True(status.Revision >= res.Revision)
	}
}
