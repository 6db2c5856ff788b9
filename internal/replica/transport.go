package replica

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/raft"
)

// methodMessages is the JSON-RPC method of the notification that carries raft
// messages.
const methodMessages = "raft.messages"

// NodeDirectory maps members to the nodes on which they run.
type NodeDirectory interface {
	// NodeOf returns the name of the member's node, and false for an unknown member.
	NodeOf(id raft.MemberID) (string, bool)
}

// MeshTransport sends raft messages over a peer.Mesh. Each Send makes one
// notification per receiver.
type MeshTransport struct {
	// Mesh holds the connections to the peers.
	Mesh *peer.Mesh
	// Directory maps receivers to their nodes. Messages to unknown members are
	// dropped.
	Directory NodeDirectory
}

// Send implements Transport.
func (t MeshTransport) Send(messages []raft.Message) {
	var receivers []raft.MemberID
	byReceiver := map[raft.MemberID][]raft.Message{}
	for _, m := range messages {
		if !slices.Contains(receivers, m.To) {
			receivers = append(receivers, m.To)
		}
		byReceiver[m.To] = append(byReceiver[m.To], m)
	}
	for _, id := range receivers {
		if node, ok := t.Directory.NodeOf(id); ok {
			t.Mesh.Notify(node, methodMessages, byReceiver[id])
		}
	}
}

// HandleMessages registers a handler on the mux that passes received raft messages
// to deliver. It drops a message if, by the directory, its sender does not run on
// the node that sent it.
func HandleMessages(mux *peer.Mux, directory NodeDirectory, deliver func([]raft.Message)) {
	mux.Handle(methodMessages, func(_ context.Context, from string, params json.RawMessage) (any, error) {
		var messages []raft.Message
		if err := json.Unmarshal(params, &messages); err != nil {
			return nil, err
		}
		hasForgedSender := func(m raft.Message) bool {
			node, ok := directory.NodeOf(m.From)
			return !ok || node != from
		}
		deliver(slices.DeleteFunc(messages, hasForgedSender))
		return nil, nil
	})
}
