package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/pause"
)

func TestForReturnsEarlyOnCancel(t *testing.T) {
	is := is.New(t)
	is.True(pause.For(context.Background(), time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	is.True(!pause.For(ctx, time.Minute))
}
