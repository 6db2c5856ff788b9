package supervisor

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// blockingPart returns a part that runs until it is stopped and then appends its name to
// stopped. The tree stops one part at a time, so stopped needs no lock.
func blockingPart(name string, stopped *[]string) Part {
	return Part{Name: name, Run: func(ctx context.Context) error {
		<-ctx.Done()
		*stopped = append(*stopped, name)
		return ctx.Err()
	}}
}

// newTree returns a tree whose log is discarded.
func newTree(parts ...Part) Tree {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Tree{Parts: parts, Log: log}
}

func TestPartsStopInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var stopped []string
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() {
			ended <- newTree(blockingPart("a", &stopped), blockingPart("b", &stopped), blockingPart("c", &stopped)).Run(ctx)
		}()
		synctest.Wait()
		stop()
		is.NoErr(<-ended)
		is.True(slices.Equal(stopped, []string{"c", "b", "a"}))
	})
}

func TestFailedPartIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		runs := 0
		err := newTree(Part{Name: "p", Run: func(context.Context) error {
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

func TestPermanentFailureStopsTree(t *testing.T) {
	cases := map[string]func(context.Context) error{
		"permanent error": func(context.Context) error { return Permanent(errors.New("disk lost")) },
		"panic":           func(context.Context) error { panic("disk lost") },
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var stopped []string
				err := newTree(blockingPart("a", &stopped), Part{Name: "broken", Run: run}, blockingPart("c", &stopped)).Run(t.Context())
				is.True(errors.Is(err, ErrPermanent))
				is.True(strings.Contains(err.Error(), "part broken") && strings.Contains(err.Error(), "disk lost"))
				is.True(slices.Equal(stopped, []string{"c", "a"}))
			})
		})
	}
}
