// Package supervisor runs the parts of a process as a tree. It starts the parts in list
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

// Backoff before the restart of a part. The wait is a random time between one and two
// times the backoff.
const (
	// minBackoff is the backoff before the first restart of a part.
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds the backoff, which doubles with each restart.
	maxBackoff = 5 * time.Second
	// stableAfter is how long a part must run before a failure resets its backoff
	// to minBackoff.
	stableAfter = 30 * time.Second
)

// ErrPermanent marks an error after which the part is not restarted and the whole tree
// stops.
var ErrPermanent = errors.New("permanent failure")

// Permanent marks err with ErrPermanent.
func Permanent(err error) error { return errors.Mark(err, ErrPermanent) }

// Part is one supervised part of a process. It may itself run a Tree.
type Part struct {
	// Name identifies the part in logs and errors.
	Name string
	// Run works until ctx ends. Returning nil earlier means that the part is done.
	// An error means that it failed; it is restarted unless the error is marked
	// with ErrPermanent.
	Run func(ctx context.Context) error
}

// Tree supervises a list of parts. It stops them in reverse order and waits for each
// part to end before it stops the one listed before it.
type Tree struct {
	Parts []Part
	Log   logrus.FieldLogger
}

// Run runs the tree until ctx ends or a part fails permanently. It returns the error of
// that part, or nil.
func (t Tree) Run(ctx context.Context) error {
	group, failedCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	cancels := make([]context.CancelFunc, len(t.Parts))
	done := make([]chan struct{}, len(t.Parts))
	for i, p := range t.Parts {
		partCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
		cancels[i] = stop
		done[i] = make(chan struct{})
		group.Go(func() error {
			defer close(done[i])
			return t.runWithRestarts(partCtx, p)
		})
	}
	select {
	case <-ctx.Done():
	case <-failedCtx.Done():
	}
	for i := len(t.Parts) - 1; i >= 0; i-- {
		cancels[i]()
		<-done[i]
	}
	return group.Wait()
}

// runWithRestarts runs p and restarts it with exponential backoff after each failure,
// until p is done, fails permanently or ctx ends.
func (t Tree) runWithRestarts(ctx context.Context, p Part) error {
	backoff := minBackoff
	for {
		start := time.Now()
		err := runRecovered(ctx, p)
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

// logFailure logs the error of a part, at debug level only if the part was told to stop.
func (t Tree) logFailure(ctx context.Context, p Part, err error) {
	log := t.Log.WithError(err).WithField("part", p.Name)
	if ctx.Err() != nil {
		log.Debug("part returned an error while stopping")
		return
	}
	log.Error("part failed, restarting it after a backoff")
}

// runRecovered runs p once and turns a panic into a permanent failure, because a panic
// means a broken invariant.
func runRecovered(ctx context.Context, p Part) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = Permanent(errors.AssertionFailedf("part %s: %s", p.Name, fmt.Sprint(v)))
		}
	}()
	return p.Run(ctx)
}
