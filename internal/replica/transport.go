package replica

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/raft"
)

// methodMessages is the notification that carries raft messages.
const methodMessages = "raft.messages"

// Directory finds the node on which a member runs.
type Directory interface {
	// NodeOf returns the node's name, or false for an unknown member.
	NodeOf(id raft.MemberID) (string, bool)
}

// MeshTransport sends messages as notifications over a peer.Mesh, one for each
// receiver.
type MeshTransport struct {
	// Mesh is the connections to the peers.
	Mesh *peer.Mesh
	// Directory finds the members.
	Directory Directory
}

// Send implements Transport.
func (t MeshTransport) Send(messages []raft.Message) {
	var order []raft.MemberID
	grouped := map[raft.MemberID][]raft.Message{}
	for _, m := range messages {
		if !slices.Contains(order, m.To) {
			order = append(order, m.To)
		}
		grouped[m.To] = append(grouped[m.To], m)
	}
	for _, id := range order {
		if node, ok := t.Directory.NodeOf(id); ok {
			t.Mesh.Notify(node, methodMessages, grouped[id])
		}
	}
}

// HandleMessages makes the mux deliver received messages. A message whose
// sender does not run on the node that it comes from is dropped.
func HandleMessages(mux *peer.Mux, directory Directory, deliver func([]raft.Message)) {
	mux.Handle(methodMessages, func(_ context.Context, from string, params json.RawMessage) (any, error) {
		var messages []raft.Message
		if err := json.Unmarshal(params, &messages); err != nil {
			return nil, err
		}
		forged := func(m raft.Message) bool {
			node, ok := directory.NodeOf(m.From)
			return !ok || node != from
		}
		deliver(slices.DeleteFunc(messages, forged))
		return nil, nil
	})
}
