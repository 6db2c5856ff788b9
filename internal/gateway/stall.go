package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of silence on a connection to an upstream.
const (
	// defaultReusedStall is how long a reused connection may be silent before the
	// answer's header: it may be one that the network has forgotten. A new
	// connection has proved its way and waits until the deadline.
	defaultReusedStall = time.Second
	// defaultStreamStall is how long a stream may be silent between two events before
	// the rest of it is asked for on another connection. It doubles with each
	// silence without an event between, for generations that are slow by nature.
	defaultStreamStall = 3 * time.Second
	// maxStreamStall bounds the doubling.
	maxStreamStall = 60 * time.Second
)

// errStalled is the cause of an attempt that was given up as silent.
var errStalled = errors.New("connection to the upstream is silent")

// watchdog cancels an attempt whose connection is silent.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	limit  time.Duration
}

// watch starts a watchdog that is at rest.
func watch(cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(maxStreamStall, func() { cancel(errStalled) })
	w.timer.Stop()
	return w
}

// expect cancels the attempt unless alive or rest is called within limit.
func (w *watchdog) expect(limit time.Duration) {
	w.limit = limit
	w.timer.Reset(limit)
}

// alive starts the time anew.
func (w *watchdog) alive() { w.timer.Reset(w.limit) }

// rest stops the watching.
func (w *watchdog) rest() { w.timer.Stop() }
