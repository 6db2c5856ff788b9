package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDenialTrackerReleasesAfterInterval checks that a grant is released only by a
// second denial after the interval in which its load order could still arrive.
func TestDenialTrackerReleasesAfterInterval(t *testing.T) {
	is := is.New(t)
	a := newDenialTracker()
	is.True(!a.recordDenial(7, time.Second)) // its load order may still arrive
	is.True(!a.recordDenial(7, time.Second+minDenialInterval-1))
	is.True(!a.recordDenial(8, time.Second+minDenialInterval)) // the first denial of another grant
	is.True(a.recordDenial(7, time.Second+minDenialInterval))
	is.True(!a.recordDenial(7, time.Second+minDenialInterval)) // released only once
}
