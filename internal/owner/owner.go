// Package owner runs functions one at a time on a single goroutine, which thereby owns
// the state that they access.
package owner

import (
	"context"

	"github.com/cockroachdb/errors"
)

// queueSize limits the queued functions. Do and Post block while the queue is full.
const queueSize = 256

// ErrStopped is the error of Do when the loop has stopped. The function was not run,
// unless it was the last one that the loop ran: Do may then report the stop although the
// function has returned.
var ErrStopped = errors.New("owner has stopped")

// Loop runs queued functions in order, on the goroutine that calls Run.
type Loop struct {
	tasks   chan func()
	stopped chan struct{}
}

// New returns a loop that runs nothing until Run is called.
func New() *Loop { return &Loop{tasks: make(chan func(), queueSize), stopped: make(chan struct{})} }

// Run runs queued functions until the context ends. Functions that are still queued
// then are not run.
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

// Do runs fn on the loop and waits until it returns. The error is ErrStopped if the
// loop has stopped, or the context's error if the context ended before fn was queued.
// Once fn is queued, the end of the context does not end the wait.
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

// Post queues fn and does not wait for it to run. It blocks while the queue is full.
// After the loop has stopped, fn is never run.
func (l *Loop) Post(fn func()) {
	select {
	case l.tasks <- fn:
	case <-l.stopped:
	}
}
