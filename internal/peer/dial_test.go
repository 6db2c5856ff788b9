package peer_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/internal/peer"
)

// TestPeerThatConnectsIsDialledAtOnce guards against a node that waits out its backoff though the peer, which was down,
// is back and has connected.
func TestPeerThatConnectsIsDialledAtOnce(t *testing.T) {
	is := is.New(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := free.Addr().String()
	is.NoErr(free.Close())
	log := logrus.New()
	log.SetOutput(io.Discard)
	options := func(self, listen string, of peer.Peer) peer.Options {
		return peer.Options{
			Self: self, Addr: listen, Peers: []peer.Peer{of}, Secret: "secret", Mux: peer.NewMux(), Log: log,
			Timing: peer.Timing{Heartbeat: 50 * time.Millisecond, BackoffMin: time.Hour, BackoffMax: time.Hour},
		}
	}
	waiting := runMesh(t, options("a", "127.0.0.1:0", peer.Peer{Name: "b", Addr: addr}))
	waitUntil(t, func() bool { return waiting.Stats().DialFailures > 0 })
	runMesh(t, options("b", addr, peer.Peer{Name: "a", Addr: waiting.Addr()}))
	waitUntil(t, func() bool { return waiting.Reachable("b") })
}
