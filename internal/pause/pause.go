// Package pause waits for a time that the end of a context cuts short.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true, or false if the context ends before.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
