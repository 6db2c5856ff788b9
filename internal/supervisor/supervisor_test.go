package supervisor

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// journal lists what parts did, in order.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) add(line string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, line)
}

// steady runs until it is told to stop.
func (j *journal) steady(name string) Part {
	return Part{Name: name, Run: func(ctx context.Context) error {
		<-ctx.Done()
		j.add(name + " stopped")
		return ctx.Err()
	}}
}

func tree(parts ...Part) Tree {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Tree{Parts: parts, Log: log}
}

func TestPartsStopInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var j journal
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- tree(j.steady("a"), j.steady("b"), j.steady("c")).Run(ctx) }()
		synctest.Wait()
		stop()
		is.NoErr(<-ended)
		is.True(slices.Equal(j.lines, []string{"c stopped", "b stopped", "a stopped"}))
	})
}

func TestFailedPartIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		runs := 0
		err := tree(Part{Name: "p", Run: func(context.Context) error {
			if runs++; runs == 4 {
				stop()
				return nil
			}
			return errors.New("transient")
		}}).Run(ctx)
		is.NoErr(err)
		is.Equal(runs, 4)
	})
}

func TestFailureForGoodStopsTheTree(t *testing.T) {
	cases := map[string]func(context.Context) error{
		"permanent error": func(context.Context) error { return Permanent(errors.New("disk lost")) },
		"panic":           func(context.Context) error { panic("disk lost") },
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var j journal
				err := tree(j.steady("a"), Part{Name: "broken", Run: run}, j.steady("c")).Run(t.Context())
				is.True(errors.Is(err, ErrPermanent))
				is.True(strings.Contains(err.Error(), "part broken") && strings.Contains(err.Error(), "disk lost"))
				is.True(slices.Equal(j.lines, []string{"c stopped", "a stopped"}))
			})
		})
	}
}
