package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of silence on a connection to an upstream.
const (
	// defaultReusedStallTimeout is how long a reused connection may be silent before
	// the header of the answer: the network may have silently dropped it. A new
	// connection has just been shown to work, so an attempt on it waits until the
	// deadline.
	defaultReusedStallTimeout = time.Second
	// defaultStreamStallTimeout is how long a stream may be silent between two events
	// before the rest of it is requested on another connection. It doubles with each
	// further stall without an event in between, so that a generation that is slow by
	// nature can finish.
	defaultStreamStallTimeout = 3 * time.Second
	// maxStreamStallTimeout is the limit of this doubling.
	maxStreamStallTimeout = 60 * time.Second
)

// errStalled is the cancel cause of an attempt whose connection stalled.
var errStalled = errors.New("connection to the upstream is silent")

// watchdog cancels an attempt whose connection stays silent for too long.
type watchdog struct {
	timer   *time.Timer
	cancel  context.CancelCauseFunc
	timeout time.Duration
}

// newWatchdog returns a watchdog that is not armed.
func newWatchdog(cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(maxStreamStallTimeout, func() { cancel(errStalled) })
	w.timer.Stop()
	return w
}

// arm cancels the attempt unless reset or disarm is called within timeout.
func (w *watchdog) arm(timeout time.Duration) {
	w.timeout = timeout
	w.timer.Reset(timeout)
}

// reset restarts the timeout of the last arm. It does nothing without a watchdog.
func (w *watchdog) reset() {
	if w != nil {
		w.timer.Reset(w.timeout)
	}
}

// disarm stops the timer. It does nothing without a watchdog.
func (w *watchdog) disarm() {
	if w != nil {
		w.timer.Stop()
	}
}
