package node

import (
	"cmp"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/peer"
)

// TestLeaderHintIsKeptUntilAnother has a node know a leader that it does not reach, and ask a voter that knows none at
// first, then another one, and then leads.
func TestLeaderHintIsKeptUntilAnother(t *testing.T) {
	is := is.New(t)
	names := make(chan string, 1)
	mux := peer.NewMux()
	mux.Handle(methodSync, func(context.Context, string, json.RawMessage) (any, error) {
		named := <-names
		return syncReply{Leader: named, Leads: named == "voter"}, nil
	})
	n := newIdleNode()
	voter := startTestMesh(t, n, peer.Options{Self: "voter", Mux: mux, AcceptUnlisted: true})
	n.mesh = startTestMesh(t, n, peer.Options{Self: "n", Mux: peer.NewMux(), Peers: []peer.Peer{{Name: "voter", Addr: voter.Addr()}}})
	n.cfg.Peers = []config.Peer{{Node: "voter", Voter: 1}}
	n.members.set(1, "voter")
	go func() { _ = n.loop.run(t.Context()) }()
	for start := time.Now(); !n.mesh.Reachable("voter"); time.Sleep(time.Millisecond) {
		is.True(time.Since(start) < 5*time.Second)
	}
	n.group.setLeaderHint("unreachable")
	for _, named := range []string{"", "successor", "voter"} {
		names <- named
		is.Equal(n.syncOnce(t.Context()), named == "voter")
		is.Equal(n.group.leader(), cmp.Or(named, "unreachable"))
	}
}

func startTestMesh(t *testing.T, n *Node, o peer.Options) *peer.Mesh {
	t.Helper()
	o.Addr, o.Secret, o.Log = "127.0.0.1:0", "secret", n.log
	mesh, err := peer.New(o)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = mesh.Run(t.Context()) }()
	return mesh
}

// TestVotersAreSelectedFromSeveralParts guards, under the race detector, against a turn that two parts share.
func TestVotersAreSelectedFromSeveralParts(t *testing.T) {
	is := is.New(t)
	n := newIdleNode()
	n.cfg.Peers = []config.Peer{{Node: "a", Voter: 1}, {Node: "b", Voter: 2}}
	n.members.set(1, "a")
	n.members.set(2, "b")
	selected := make(chan string)
	for range 2 {
		go func() { selected <- n.anyVoter() }()
	}
	first, second := <-selected, <-selected
	is.True(first != second) // takes turns
}
