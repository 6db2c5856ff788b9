package controller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
)

// ErrUnavailable says that no decision could be had; what was asked for may have
// happened.
var ErrUnavailable = errors.New("the control group cannot decide at present")

const (
	// askTime bounds a question to the leader: callers of a control node go on to
	// the next one after a second.
	askTime = 850 * time.Millisecond
	// configureTime bounds a change, which may be large.
	configureTime = 2500 * time.Millisecond
	// askPause is the pause before the leader is looked for again.
	askPause = 20 * time.Millisecond
)

// Announce takes what an upstream says of itself and returns the operators'
// address of the leader. The error is ErrUnavailable.
func (c *Controller) Announce(ctx context.Context, u fleet.Upstream) (string, error) {
	return c.passAnnouncement(ctx, nodelink.AnnounceRequest{Upstream: u})
}

// Leave takes an upstream's word that it is gone. born is zero where it did not
// say which incarnation it is.
func (c *Controller) Leave(ctx context.Context, id string, born int64) error {
	_, err := c.passAnnouncement(ctx, nodelink.AnnounceRequest{Upstream: fleet.Upstream{ID: id, Born: born}, Leave: true})
	return err
}

func (c *Controller) passAnnouncement(ctx context.Context, r nodelink.AnnounceRequest) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	start := time.Now()
	var answer nodelink.AnnounceAnswer
	err := c.ask(ctx, nodelink.Announce, r, &answer, func() (err error) {
		answer, err = c.announce(ctx, r)
		return err
	})
	c.metrics.Observe("announcement", time.Since(start))
	if err != nil {
		c.metrics.Count("announcement: not acknowledged")
		c.log.Event("announcement not acknowledged", eventlog.Fields{"upstream": r.Upstream.ID, "error": err.Error()})
		return "", err
	}
	return answer.Operators, nil
}

// Configure puts a checked configuration in force, unless a higher version is.
// The document is in the operators' encoding, in which equal configurations must
// be equal. The error is ErrUnavailable: the change may or may not be accepted.
func (c *Controller) Configure(ctx context.Context, version uint64, document []byte) (confstate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, configureTime)
	defer cancel()
	compressed, err := Compress(document)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	r := confstate.Configure{Version: version, Document: compressed}
	var answer nodelink.ConfigureAnswer
	err = c.ask(ctx, nodelink.Configure, r, &answer, func() (err error) {
		answer.Result, err = c.configure(ctx, r)
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

// Configuration returns the configuration in force, as the operators wrote it.
// It covers all that was accepted before the call; the error is ErrUnavailable
// where that cannot be shown. The document is nil before the first one.
func (c *Controller) Configuration(ctx context.Context) (document []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	start := time.Now()
	var answer nodelink.ReadAnswer
	err = c.ask(ctx, nodelink.Read, struct{}{}, &answer, func() (err error) {
		answer.Index, err = c.rep.ReadBarrier(ctx)
		return err
	})
	if err == nil {
		err = c.rep.WaitApplied(ctx, answer.Index)
	}
	c.metrics.Observe("read", time.Since(start))
	if err != nil {
		c.metrics.Count("read: refused")
		c.log.Event("read refused", eventlog.Fields{"error": err.Error()})
		return nil, 0, errors.Mark(err, ErrUnavailable)
	}
	c.metrics.Count("read: served")
	v := c.store.view.Load()
	if v == nil {
		return nil, 0, nil
	}
	document, err = Expand(v.configure.Document)
	return document, v.configure.Version, err
}

// ask puts a question to the leader, which may be this node, until it has an
// answer or the context ends.
func (c *Controller) ask(ctx context.Context, method string, request, answer any, here func() error) error {
	hint := ""
	for {
		err := c.askOnce(ctx, hint, method, request, answer, here)
		if err == nil {
			return nil
		}
		hint = ""
		if code, ok := peer.CodeOf(err); ok && code == nodelink.CodeNotLeader {
			hint = hintOf(err)
		} else if errors.Is(err, peer.ErrUnknown) && method == nodelink.Configure {
			// It may be decided; the operator sends it again.
			return errors.Mark(err, ErrUnavailable)
		}
		select {
		case <-time.After(askPause):
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(err, "ask the leader"), ErrUnavailable)
		}
	}
}

func (c *Controller) askOnce(ctx context.Context, hint, method string, request, answer any, here func() error) error {
	leader := c.leader()
	if leader == "" || leader == c.cfg.Listen.Links && hint != "" {
		leader = hint
	}
	switch leader {
	case "":
		return errors.New("no leader is known")
	case c.cfg.Listen.Links:
		return here()
	}
	return c.mesh.Call(ctx, leader, method, request, answer)
}

// hintOf is the leader that a node named in its refusal.
func hintOf(err error) string {
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Code == nodelink.CodeNotLeader {
		return remote.Message
	}
	return ""
}

// Serves reports whether the configuration in force has a service; known is
// false before there is one.
func (c *Controller) Serves(service string) (serves, known bool) {
	v := c.store.view.Load()
	if v == nil {
		return false, false
	}
	for i := range v.conf.Services {
		if v.conf.Services[i].Name == service {
			return true, true
		}
	}
	return false, true
}

// Members counts the members of the control group as this node knows them.
func (c *Controller) Members() (voters, learners int) {
	members := c.rep.Status().Members
	return len(members.Voters), len(members.Learners)
}
