// Package boottime provides a clock that keeps counting while the VM is suspended.
// The monotonic clock of package time stops during a suspension, so a lease measured
// with it would still look valid after the VM resumes.
package boottime

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including the time it was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "read CLOCK_BOOTTIME"))
	}
	return time.Duration(ts.Nano())
}
