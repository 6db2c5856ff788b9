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
	// followWait limits how long a voter holds a request for entries while it has no
	// newer ones.
	followWait = 500 * time.Millisecond
	// followTimeout limits one request for entries.
	followTimeout = 2 * time.Second
	// followBackoff is the wait after a failed request.
	followBackoff = 100 * time.Millisecond
)

// runFollow keeps the state of a node without a data folder up to date by fetching
// entries from the voters.
func (n *Node) runFollow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := n.followOnce(ctx); err != nil {
			n.log.WithError(err).WithField("part", "follow").Debug("fetching entries failed")
			pause.For(ctx, followBackoff)
		}
	}
	return nil
}

// followOnce fetches entries from the leader, or from any voter if the leader is
// unknown or unreachable, and applies them.
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
	var update replica.Update
	req := entriesRequest{After: n.store.applied.Load(), Wait: followWait}
	if err := n.mesh.Call(ctx, from, methodEntries, req, &update); err != nil {
		return err
	}
	if update.Confirmed {
		n.proofs.Add(asked, update.Commit)
	}
	return n.applyUpdate(update)
}

// applyUpdate applies a voter's snapshot and entries and skips those that are already
// applied. It returns an error if an entry is missing in between.
func (n *Node) applyUpdate(update replica.Update) error {
	if update.Snapshot != nil && update.Snapshot.Index > n.store.applied.Load() {
		if err := n.store.restoreAt(update.Snapshot.Index, update.Snapshot.Data); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
		n.log.WithFields(logrus.Fields{"part": "follow", "index": update.Snapshot.Index}).Info("snapshot restored")
	}
	for _, e := range update.Entries {
		if e.Index <= n.store.applied.Load() {
			continue
		}
		if e.Index != n.store.applied.Load()+1 {
			return errors.Newf("entry %d does not follow the last applied entry %d", e.Index, n.store.applied.Load())
		}
		n.store.Apply(e)
	}
	return nil
}

// serveEntries handles methodEntries, the request of a node without a data folder.
func (n *Node) serveEntries(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req entriesRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode request for entries")
	}
	if n.group.replica == nil {
		return nil, errors.New("this node runs no member of the control group and holds no log")
	}
	ctx, cancel := context.WithTimeout(ctx, min(req.Wait, followWait))
	defer cancel()
	return n.group.replica.Update(ctx, req.After), nil
}
