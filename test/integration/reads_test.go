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

// operatorReads are the reads of replicated state. Each returns the version of the test
// contract in the answer, zero if there is none; status returns the revision instead.
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

// isUnavailable reports whether a node could not show the current state: it answered 503,
// or sent no complete answer, for example because it does not listen yet.
func isUnavailable(err error) bool {
	var api *operator.APIError
	if errors.As(err, &api) {
		return api.Status == 503
	}
	return errors.Is(err, operator.ErrUnavailable)
}

// minimumShown returns the oldest version that a read may show once newest is accepted; for
// status, the oldest revision.
func minimumShown(name string, newest control.ChangeResult) uint64 {
	if name == "status" {
		return newest.Revision
	}
	return newest.Version
}

// checkReads sends every kind of read to a node several times at once. No answer may be
// older than newest, the latest accepted change. release is called once the reads are
// started and lets the node answer. checkReads returns the number of reads served.
func checkReads(t *testing.T, n *node, newest control.ChangeResult, release func()) int {
	t.Helper()
	const readsOfEach = 6
	type answer struct {
		name    string
		version uint64
		err     error
	}
	answers := make(chan answer, readsOfEach*len(operatorReads))
	for name, read := range operatorReads {
		for range readsOfEach {
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
		case got.err == nil && got.version < minimumShown(got.name, newest):
			t.Errorf("%s showed %d after %d was accepted", got.name, got.version, minimumShown(got.name, newest))
		case got.err == nil:
			served++
		case !isUnavailable(got.err):
			t.Errorf("%s: %v", got.name, got.err)
		}
	}
	return served
}

// TestResumedNodeServesNoStaleReads guards against a node that answers from old state when
// it resumes after a suspension during which a change was accepted elsewhere. The reads are
// the first requests that it sees.
func TestResumedNodeServesNoStaleReads(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t)
			var ch contractChanger
			ch.applyNext(t, c.nodes)
			suspended := c.waitLeader(t)
			if role == "follower" {
				suspended = c.others(suspended)[0]
			}
			suspended.suspend(t)
			newest := ch.applyNext(t, c.others(suspended))
			served := checkReads(t, suspended, newest, func() {
				time.Sleep(3 * time.Second)
				suspended.signal(syscall.SIGCONT)
			})
			t.Logf("%d reads were served", served)
		})
	}
}

// TestRestartedNodeServesNoStaleReads reads from a restarted node from the first moment on,
// while it has not applied its log yet.
func TestRestartedNodeServesNoStaleReads(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	var ch contractChanger
	for range 5 {
		ch.applyNext(t, c.nodes)
	}
	restarted := c.others(c.waitLeader(t))[0]
	restarted.kill()
	newest := ch.applyNext(t, c.others(restarted))
	restarted.start(t)
	eventually(t, "reads served", func() bool {
		return checkReads(t, restarted, newest, func() {}) > 0
	})
}

// TestStaleReadsAreMarked reads from a node that lost its peers. It must refuse normal reads
// and answer only clients that accept stale state.
func TestStaleReadsAreMarked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	var ch contractChanger
	newest := ch.applyNext(t, c.nodes)
	isolated := c.nodes[0]
	waitInForce(t, c.nodes, newest.Revision)
	for _, other := range c.others(isolated) {
		other.kill()
	}
	for name, read := range operatorReads {
		_, err := read(t.Context(), isolated.client)
		if !isUnavailable(err) {
			t.Errorf("%s: %v", name, err)
		}
		var age time.Duration
		stale := operator.NewClient(isolated.operatorAddr, operatorToken, "integration")
		stale.OnStale = func(proofAge time.Duration, proved bool) {
			is.True(proved)
			age = proofAge
		}
		version, err := read(t.Context(), stale)
		is.NoErr(err)
		is.Equal(version, minimumShown(name, newest))
		is.True(age > 0)
	}
}

// TestChangeVisibleOnAnsweringNode makes changes through followers. When a follower answers
// a change, its own state must already include the change.
func TestChangeVisibleOnAnsweringNode(t *testing.T) {
	t.Parallel()
	const rounds = 40
	is := is.New(t)
	c := startCluster(t)
	var ch contractChanger
	for round := range rounds {
		followers := c.others(c.waitLeader(t))
		follower := followers[round%len(followers)]
		res := ch.applyNext(t, []*node{follower})
		staleClient := operator.NewClient(follower.operatorAddr, operatorToken, "integration")
		staleClient.OnStale = func(time.Duration, bool) {}
		status, err := staleClient.Status(t.Context())
		is.NoErr(err)
		is.True(status.Revision >= res.Revision)
	}
}
