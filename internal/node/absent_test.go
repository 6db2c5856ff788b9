package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDeniedGrantIsReleasedAfterTheHold(t *testing.T) {
	is := is.New(t)
	a := newAbsences()
	is.True(!a.deny(7, time.Second)) // its load order may still be on the way
	is.True(!a.deny(7, time.Second+absenceHold-1))
	is.True(!a.deny(8, time.Second+absenceHold)) // another grant's answer proves nothing
	is.True(a.deny(7, time.Second+absenceHold))
	is.True(!a.deny(7, time.Second+absenceHold)) // asked for once
}
