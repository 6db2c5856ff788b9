package demo

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// TestRun runs the three nodes of the demonstration in this process, so that the race
// detector covers their interaction.
func TestRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var out bytes.Buffer
	is.NoErr(Run(ctx, &out, log))
	is.True(strings.Contains(out.String(), "the service ran 1 call(s) for the three sendings"))
	is.Equal(strings.Count(out.String(), "recorded answer"), 1)
	is.True(strings.Contains(out.String(), "all nodes stopped"))
}
