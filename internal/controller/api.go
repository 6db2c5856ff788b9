package controller

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/routes"
)

// ErrUnavailable means that the control group could not confirm the request in time. A
// change that was requested may still have been applied, or be applied later.
var ErrUnavailable = errors.New("the control group cannot decide at present")

const (
	// leaderCallTimeout bounds a call to the leader. A client of this node tries the next
	// control node after one second, so this node has to answer earlier.
	leaderCallTimeout = 850 * time.Millisecond
	// configureTimeout bounds a configuration change, whose document may be large.
	configureTimeout = 2500 * time.Millisecond
	// leaderRetryInterval is the pause before the leader is looked up and called again.
	leaderRetryInterval = 20 * time.Millisecond
)

// Announce forwards an upstream's announcement to the leader and returns the leader's
// address for operators and upstreams. The error is ErrUnavailable.
func (c *Controller) Announce(ctx context.Context, u fleet.Upstream) (string, error) {
	return c.forwardAnnouncement(ctx, nodelink.AnnounceRequest{Upstream: u})
}

// Leave forwards an upstream's notice that it is gone to the leader. born identifies the
// incarnation; zero means that the upstream did not name it. The error is ErrUnavailable.
func (c *Controller) Leave(ctx context.Context, id string, born int64) error {
	_, err := c.forwardAnnouncement(ctx, nodelink.AnnounceRequest{Upstream: fleet.Upstream{ID: id, Born: born}, Leave: true})
	return err
}

// forwardAnnouncement sends an announcement or a departure to the leader and returns the
// leader's address for operators and upstreams.
func (c *Controller) forwardAnnouncement(ctx context.Context, r nodelink.AnnounceRequest) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	start := time.Now()
	var answer nodelink.AnnounceAnswer
	err := c.callLeader(ctx, nodelink.Announce, r, &answer, func() (err error) {
		answer, err = c.announceAsLeader(ctx, r)
		return err
	})
	c.metrics.Observe("announcement", time.Since(start))
	if err != nil {
		c.metrics.Count("announcement: not acknowledged")
		c.log.Event("announcement not acknowledged", eventlog.Fields{"upstream": r.Upstream.ID, "error": err.Error()})
		return "", err
	}
	return answer.Address, nil
}

// Configure proposes a checked configuration, which becomes active unless a higher
// version already is. The document is in the encoding that operators use; equal
// configurations must have equal documents. If the error is ErrUnavailable, the change
// may or may not have been accepted.
func (c *Controller) Configure(ctx context.Context, version uint64, document []byte) (confstate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	compressed, err := Compress(document)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	r := confstate.Configure{Version: version, Document: compressed}
	var answer nodelink.ConfigureAnswer
	err = c.callLeader(ctx, nodelink.Configure, r, &answer, func() (err error) {
		answer.Result, err = c.configureAsLeader(ctx, r)
		return err
	})
	took := time.Since(start)
	c.metrics.Observe("configuration", took)
	c.metrics.Count("configuration: " + answer.Result.String())
	fields := eventlog.Fields{
		"version": version, "bytes": len(document), "result": answer.Result.String(), "millis": took.Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.log.Event("configuration decided", fields)
	return answer.Result, err
}

// Configuration returns the active configuration as the operators wrote it. The read is
// linearizable: it reflects every change accepted before the call. The error is
// ErrUnavailable if this cannot be confirmed. The document is nil if there is no
// configuration yet.
func (c *Controller) Configuration(ctx context.Context) (document []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	start := time.Now()
	var answer nodelink.ReadAnswer
	err = c.callLeader(ctx, nodelink.Read, struct{}{}, &answer, func() (err error) {
		answer.Index, err = c.raftReplica.ReadBarrier(ctx)
		return err
	})
	if err == nil {
		err = c.raftReplica.WaitApplied(ctx, answer.Index)
	}
	c.metrics.Observe("read", time.Since(start))
	if err != nil {
		c.metrics.Count("read: refused")
		fields := replica.StatusFields(c.raftReplica.Status())
		fields["error"] = err.Error()
		c.log.Event("configuration read failed", fields)
		return nil, 0, errors.Mark(err, ErrUnavailable)
	}
	c.metrics.Count("read: served")
	v := c.stateMachine.active.Load()
	if v == nil {
		return nil, 0, nil
	}
	document, err = Decompress(v.Document)
	return document, v.Version, err
}

// callLeader calls a method on the leader, or runs local if this node is the leader. It
// retries after errors until ctx ends, except that it does not repeat a Configure call
// whose outcome is unknown. The error is ErrUnavailable.
func (c *Controller) callLeader(ctx context.Context, method string, request, answer any, local func() error) error {
	believed := ""
	return retryAtLeader(ctx, method, func(named namedLeader) error {
		known := c.leader()
		target := leaderToAsk(known, believed, c.cfg.Listen.Links, named)
		believed = known
		return c.callLeaderOnce(ctx, target, method, request, answer, local)
	})
}

// namedLeader is the leader that a called node named.
type namedLeader struct {
	// link is its link address; "" if none was named.
	link string
	// unreached is set if the latest request was not sent.
	unreached bool
}

// leaderToAsk returns the leader to call, or "". known is the leader as this node, self, knows
// it now, believed as it knew it when it called the node that named another. Until the next
// leader's messages reach it, a node knows only the former one, which may name its successor. If
// that cannot be reached, the one that this node knows is asked again.
func leaderToAsk(known, believed, self string, named namedLeader) string {
	if named.link != "" && (known == "" || (known == self || known == believed) && !named.unreached) {
		return named.link
	}
	return known
}

// retryAtLeader is the loop of callLeader. attempt gets the leader that was named last, until a
// request has reached it.
func retryAtLeader(ctx context.Context, method string, attempt func(named namedLeader) error) error {
	var named namedLeader
	for {
		err := attempt(named)
		if err == nil {
			return nil
		}
		if mayHaveChanged(method, err) {
			// The operator sends the change again.
			return errors.Mark(err, ErrUnavailable)
		}
		if named.unreached = errors.Is(err, peer.ErrNotSent); !named.unreached {
			named.link = leaderHintFrom(err)
		}
		select {
		case <-time.After(leaderRetryInterval):
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(err, "ask the leader"), ErrUnavailable)
		}
	}
}

// mayHaveChanged reports whether a failed call may have changed the configuration. Such a
// call must not be repeated here: the first one may have been accepted and overtaken
// since, and the second one would report only that.
func mayHaveChanged(method string, err error) bool {
	if method != nodelink.Configure {
		return false
	}
	code, ok := peer.CodeOf(err)
	return errors.Is(err, peer.ErrOutcomeUnknown) || ok && code == nodelink.CodeUndecided
}

// callLeaderOnce makes one attempt of callLeader.
func (c *Controller) callLeaderOnce(ctx context.Context, leader, method string, request, answer any, local func() error) error {
	switch leader {
	case "":
		return errors.New("no leader is known")
	case c.cfg.Listen.Links:
		return local()
	}
	return c.mesh.Call(ctx, leader, method, request, answer)
}

// leaderHintFrom returns the leader address carried by a not-leader error, or "".
func leaderHintFrom(err error) string {
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Code == nodelink.CodeNotLeader {
		return remote.Message
	}
	return ""
}

// Serves reports whether the active configuration contains a service. known is false while
// there is no configuration yet or the active one is still being decoded.
func (c *Controller) Serves(service string) (serves, known bool) {
	active, decoded := c.stateMachine.active.Load(), c.stateMachine.decoded.Load()
	if decoded == nil || decoded.version != active.Version {
		return false, false
	}
	return slices.ContainsFunc(decoded.conf.Services, func(s routes.Service) bool { return s.Name == service }), true
}

// Members returns the numbers of voters and learners of the control group as this node
// knows them.
func (c *Controller) Members() (voters, learners int) {
	members := c.raftReplica.Status().Members
	return len(members.Voters), len(members.Learners)
}
