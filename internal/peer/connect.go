package peer

import (
	"context"
	"net"
	"time"
)

// reconnectInterval is the interval of further attempts to open a connection. The packets that open one are sent again
// only after a second if they are lost.
const reconnectInterval = 250 * time.Millisecond

// connect opens a connection with dial. At each interval for which no attempt has an outcome, it begins another one beside
// the earlier ones, which may only be slow. It returns the first connection, or an error once every attempt begun has
// failed or the context has ended.
func connect(ctx context.Context, interval time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	type outcome struct {
		conn net.Conn
		err  error
	}
	outcomes, pending := make(chan outcome), 0
	attemptCtx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		for range pending {
			if late := <-outcomes; late.conn != nil {
				late.conn.Close()
			}
		}
	}()
	begin := func() {
		pending++
		go func() {
			conn, err := dial(attemptCtx)
			outcomes <- outcome{conn, err}
		}()
	}
	begin()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			begin()
		case o := <-outcomes:
			if pending--; o.err == nil || pending == 0 {
				return o.conn, o.err
			}
		}
	}
}
