package detour

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

const (
	// helperTimeout bounds the connection to another entry node.
	helperTimeout = 250 * time.Millisecond
	// helperPatience is how long another entry node may take to connect to an upstream.
	helperPatience = 400 * time.Millisecond
	// maxHelpers is the number of entry nodes that are tried for one connection.
	maxHelpers = 6
	// maxFailed is the number of entry nodes that must have failed to connect to an upstream for it
	// to count as unreachable.
	maxFailed = 2
	// helperPause is how long an entry node that did not help is not asked again.
	helperPause = time.Second
)

// errNoHelper means that no other entry node could be asked for a detour.
var errNoHelper = errors.New("no other entry node connects to the upstream")

// Client opens connections to upstreams through other entry nodes. It is safe for concurrent use.
type Client struct {
	secret []byte
	dial   upstreamconn.Dial

	mu      sync.Mutex
	helpers []string
	// pausedUntil is the time before which a helper is not asked.
	pausedUntil map[string]time.Duration
}

// NewClient returns a client that knows no other entry nodes. secret is the one that all nodes share.
func NewClient(secret string) *Client {
	return &Client{secret: []byte(secret), dial: upstreamconn.NewDial(helperTimeout), pausedUntil: map[string]time.Duration{}}
}

// SetHelpers replaces the addresses at which other entry nodes accept detours.
func (c *Client) SetHelpers(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.helpers = addrs
	clear(c.pausedUntil)
}

// candidates returns the entry nodes to try, in a random order so that all of them help.
func (c *Client) candidates() []string {
	now := boottime.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, i := range rand.Perm(len(c.helpers)) {
		if h := c.helpers[i]; c.pausedUntil[h] <= now {
			out = append(out, h)
		}
	}
	return out[:min(len(out), maxHelpers)]
}

func (c *Client) pause(helper string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil[helper] = boottime.Now() + helperPause
}

// Dial connects to an upstream through one of the other entry nodes. No byte reaches the upstream
// before it returns. It implements upstreamconn.Dial.
func (c *Client) Dial(ctx context.Context, addr string) (net.Conn, error) {
	err, failed := errNoHelper, 0
	for _, helper := range c.candidates() {
		asked := time.Now()
		conn, failure := c.dialThrough(ctx, helper, addr)
		if failure == nil {
			return conn, nil
		}
		err = errors.Wrapf(failure, "through %s", helper)
		if ctx.Err() != nil && time.Since(asked) < helperPatience {
			break // that says nothing about the helper
		}
		if !errors.Is(failure, errUpstreamFailed) {
			c.pause(helper)
		} else if failed++; failed == maxFailed {
			break
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// dialThrough connects to an upstream through one entry node.
func (c *Client) dialThrough(ctx context.Context, helper, addr string) (net.Conn, error) {
	conn, err := c.dial(ctx, helper)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	nonce, err := readLine(conn)
	framed := strings.HasSuffix(nonce, offersFrames)
	if err == nil {
		_, err = fmt.Fprintf(conn, "%s %s\n", addr, proof(c.secret, nonce, addr, framed))
	}
	answer := ""
	if err == nil {
		answer, err = readLine(conn)
	}
	switch {
	case err != nil:
	case answer == answerConnected && framed:
		return &framedConn{Conn: conn}, nil
	case answer == answerConnected:
		return &unframedConn{Conn: conn}, nil
	case answer == answerFailed:
		err = errUpstreamFailed
	default:
		err = errors.Newf("answered %q", answer)
	}
	conn.Close()
	return nil, err
}
