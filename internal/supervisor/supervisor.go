// Package supervisor runs the parts of a process as a tree: it starts parts in
// order, restarts a part that fails, and stops the parts in reverse order.
package supervisor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/agateslip/agateslip/internal/pause"
)

// Restart bounds.
const (
	// minBackoff is the wait before the first restart of a part.
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds the wait between restarts.
	maxBackoff = 5 * time.Second
	// stableAfter is how long a part must run for its backoff to start anew.
	stableAfter = 30 * time.Second
)

// ErrPermanent marks an error after which a part is not restarted: the whole
// tree stops with it.
var ErrPermanent = errors.New("permanent failure")

// Permanent marks err so that the supervisor stops the tree.
func Permanent(err error) error { return errors.Mark(err, ErrPermanent) }

// Part is one supervised part. It may itself run a Tree.
type Part struct {
	// Name is the part's name in logs.
	Name string
	// Run works until ctx ends. Returning nil earlier means the part is done; an
	// error means that it failed and is started again.
	Run func(ctx context.Context) error
}

// Tree runs parts. Parts are stopped in the reverse order of the list, each
// before the one it was listed after.
type Tree struct {
	Parts []Part
	Log   logrus.FieldLogger
}

// Run runs the tree until ctx ends or a part fails for good. It returns the
// error of that part, or nil.
func (t Tree) Run(ctx context.Context) error {
	group, failed := errgroup.WithContext(context.WithoutCancel(ctx))
	stops := make([]context.CancelFunc, len(t.Parts))
	done := make([]chan struct{}, len(t.Parts))
	for i, p := range t.Parts {
		partCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
		stops[i] = stop
		done[i] = make(chan struct{})
		group.Go(func() error {
			defer close(done[i])
			return t.keepRunning(partCtx, p)
		})
	}
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	for i := len(t.Parts) - 1; i >= 0; i-- {
		stops[i]()
		<-done[i]
	}
	return group.Wait()
}

// keepRunning restarts p with growing backoff until ctx ends.
func (t Tree) keepRunning(ctx context.Context, p Part) error {
	backoff := minBackoff
	for {
		start := time.Now()
		err := runGuarded(ctx, p)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrPermanent) {
			return errors.Wrapf(err, "part %s", p.Name)
		}
		if time.Since(start) > stableAfter {
			backoff = minBackoff
		}
		t.logFailure(ctx, p, err)
		if !pause.For(ctx, backoff+rand.N(backoff)) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// logFailure logs an error loudly unless the part was told to stop.
func (t Tree) logFailure(ctx context.Context, p Part, err error) {
	log := t.Log.WithError(err).WithField("part", p.Name)
	if ctx.Err() != nil {
		log.Debug("part ended with an error when it was stopped")
		return
	}
	log.Error("part failed and is restarted")
}

// runGuarded turns a panic into a permanent failure: a panic means a broken
// invariant.
func runGuarded(ctx context.Context, p Part) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = Permanent(errors.AssertionFailedf("part %s: %s", p.Name, fmt.Sprint(v)))
		}
	}()
	return p.Run(ctx)
}
