// Package owner runs functions one after the other on one goroutine, which
// thereby owns the state that they touch.
package owner

import (
	"context"

	"github.com/cockroachdb/errors"
)

// queued bounds the functions that wait; more callers wait in Do.
const queued = 256

// ErrStopped says that the loop has ended and the function was not run.
var ErrStopped = errors.New("owner has stopped")

// Loop runs functions.
type Loop struct {
	tasks   chan func()
	stopped chan struct{}
}

// New returns a loop that does nothing before Run.
func New() *Loop { return &Loop{tasks: make(chan func(), queued), stopped: make(chan struct{})} }

// Run runs functions until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	for {
		select {
		case fn := <-l.tasks:
			fn()
		case <-ctx.Done():
			return nil
		}
	}
}

// Do runs fn and waits for its end. It returns ErrStopped, or the context's
// error if that ended before fn was queued.
func (l *Loop) Do(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	select {
	case l.tasks <- func() { defer close(done); fn() }:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return ErrStopped
	}
}

// Post queues fn. It waits while the queue is full.
func (l *Loop) Post(fn func()) {
	select {
	case l.tasks <- fn:
	case <-l.stopped:
	}
}
