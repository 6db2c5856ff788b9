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

// Receiver takes the messages that a node receives.
type Receiver struct {
	// Self is the member on this node.
	Self raft.MemberID
	// Directory maps senders to their nodes.
	Directory NodeDirectory
	// Deliver takes the messages whose sender, by the directory, runs on the node that sent them. The
	// others are dropped.
	Deliver func([]raft.Message)
	// Learn, unless nil, adds the sender of a message to Self to the directory if it is unknown there. A
	// member that was down has to vote for and follow members that joined meanwhile.
	Learn func(id raft.MemberID, node string)
	// LeaderOfOther, unless nil, is called with the name of a node that sends entries or heartbeats to
	// another member at this node's address: it leads a group that counts a member whose log is not here.
	// It must not block.
	LeaderOfOther func(node string)
}

// HandleMessages registers a handler on the mux that passes received raft messages to a receiver.
func HandleMessages(mux *peer.Mux, to Receiver) {
	mux.Handle(methodMessages, func(_ context.Context, from string, params json.RawMessage) (any, error) {
		var messages []raft.Message
		if err := json.Unmarshal(params, &messages); err != nil {
			return nil, err
		}
		if to.LeaderOfOther != nil && slices.ContainsFunc(messages, to.isFromLeaderOfOther) {
			to.LeaderOfOther(from)
		}
		hasForgedSender := func(m raft.Message) bool {
			node, ok := to.Directory.NodeOf(m.From)
			if !ok && to.Learn != nil && m.To == to.Self {
				to.Learn(m.From, from)
				return false
			}
			return !ok || node != from
		}
		to.Deliver(slices.DeleteFunc(messages, hasForgedSender))
		return nil, nil
	})
}

func (r *Receiver) isFromLeaderOfOther(m raft.Message) bool {
	return m.To != r.Self && (m.Kind == raft.MsgAppend || m.Kind == raft.MsgSnapshot)
}
