package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/internal/replica"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// followWait is how long a voter holds a request for entries that has none.
	followWait = 500 * time.Millisecond
	// followTimeout bounds one request for entries.
	followTimeout = 2 * time.Second
	// followBackoff is the wait after a failed request.
	followBackoff = 100 * time.Millisecond
)

// runFollow brings a node without a disk forward from the voters.
func (n *Node) runFollow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := n.followOnce(ctx); err != nil {
			n.log.WithError(err).WithField("part", "follow").Debug("no entries")
			pause.For(ctx, followBackoff)
		}
	}
	return nil
}

// followOnce asks the leader, or any voter where none is known, for entries.
func (n *Node) followOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	from := n.group.leader()
	if from == "" || !n.mesh.Reachable(from) {
		from = n.anyVoter()
	}
	if from == "" {
		return errors.New("no voter is known")
	}
	asked := n.now()
	var u replica.Update
	req := entriesRequest{After: n.store.applied.Load(), Wait: followWait}
	if err := n.mesh.Call(ctx, from, methodEntries, req, &u); err != nil {
		return err
	}
	if u.Confirmed {
		n.currency.offer(asked, u.Commit)
	}
	return n.takeUpdate(u)
}

// takeUpdate applies what a voter sent. A snapshot or entry older than what is
// applied here changes nothing.
func (n *Node) takeUpdate(u replica.Update) error {
	if u.Snapshot != nil && u.Snapshot.Index > n.store.applied.Load() {
		if err := n.store.restoreAt(u.Snapshot.Index, u.Snapshot.Data); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
		n.log.WithFields(logrus.Fields{"part": "follow", "index": u.Snapshot.Index}).Info("snapshot restored")
	}
	for _, e := range u.Entries {
		if e.Index <= n.store.applied.Load() {
			continue
		}
		if e.Index != n.store.applied.Load()+1 {
			return errors.Newf("entry %d does not follow %d", e.Index, n.store.applied.Load())
		}
		n.store.Apply(e)
	}
	return nil
}

// serveEntries answers a node without a disk.
func (n *Node) serveEntries(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req entriesRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode request for entries")
	}
	if n.group.replica == nil {
		return nil, errors.New("this node holds no log")
	}
	ctx, cancel := context.WithTimeout(ctx, min(req.Wait, followWait))
	defer cancel()
	return n.group.replica.Update(ctx, req.After), nil
}
