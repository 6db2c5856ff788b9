// Package boottime is a clock that also counts the time for which the VM was
// suspended. The steady clock of package time stands still then, so that a lease
// counted on it would still look valid on waking.
package boottime

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Now is the time since the VM started, suspended time included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "read CLOCK_BOOTTIME"))
	}
	return time.Duration(ts.Nano())
}
