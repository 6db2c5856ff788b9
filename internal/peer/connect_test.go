package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestLostAttemptToConnectIsRepeated has the first attempts get no answer, as if their packets were lost.
func TestLostAttemptToConnectIsRepeated(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	var attempts atomic.Int64
	conn, err := connect(t.Context(), time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		if attempts.Add(1) < 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return near, nil
	})
	is.NoErr(err)
	is.Equal(conn, near)
	conn.Close()

	refused := errors.New("connection refused")
	_, err = connect(t.Context(), time.Hour, func(context.Context) (net.Conn, error) { return nil, refused })
	is.Equal(err, refused) // at once

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err = connect(ctx, time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// TestSlowAttemptToConnectIsNotGivenUp has every attempt take longer than the interval.
func TestSlowAttemptToConnectIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	var closed atomic.Int64
	conn, err := connect(t.Context(), time.Millisecond, func(context.Context) (net.Conn, error) {
		time.Sleep(20 * time.Millisecond)
		near, _ := net.Pipe()
		return &countedConn{Conn: near, closed: &closed}, nil
	})
	is.NoErr(err)
	others := closed.Load()
	is.True(others > 0) // the later ones
	conn.Close()
	is.Equal(closed.Load(), others+1)
}

type countedConn struct {
	net.Conn
	closed *atomic.Int64
}

func (c *countedConn) Close() error {
	c.closed.Add(1)
	return c.Conn.Close()
}
