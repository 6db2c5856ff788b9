package replica_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

// nodeNames maps each member to the name of its node.
type nodeNames map[raft.MemberID]string

// NodeOf implements replica.NodeDirectory.
func (n nodeNames) NodeOf(id raft.MemberID) (string, bool) {
	name, ok := n[id]
	return name, ok
}

// meshGroup is a group of three replicas that communicate over TCP on the loopback
// interface and store their state in files.
type meshGroup struct {
	replicas []*replica.Replica
	machines []*registers
	meshes   []*peer.Mesh
}

func newMeshGroup(tb testing.TB) *meshGroup {
	tb.Helper()
	is := is.New(tb)
	ids := []raft.MemberID{1, 2, 3}
	directory := nodeNames{1: "a", 2: "b", 3: "c"}
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := &meshGroup{}
	var peers []peer.Peer
	for _, id := range ids {
		mux := peer.NewMux()
		mesh, err := peer.New(peer.Options{
			Self: directory[id], Addr: "127.0.0.1:0", Secret: "secret", Mux: mux, Log: log, Seed: uint64(id),
		})
		is.NoErr(err)
		peers = append(peers, peer.Peer{Name: directory[id], Addr: mesh.Addr()})
		initial, err := replica.InitialState(ids, newRegisters())
		is.NoErr(err)
		store, err := storage.Create(storage.Options{
			Dir: tb.TempDir(), Identity: storage.Identity{Group: "g", Member: id},
		}, initial)
		is.NoErr(err)
		tb.Cleanup(func() { store.Close() })
		machine := newRegisters()
		r, err := replica.New(replica.Config{
			Raft: raft.Config{
				ID: id, Heartbeat: heartbeat, ElectionTimeout: electionTimeout, Lease: lease,
				MaxBatchBytes: 1 << 20, MaxInflight: 16, CatchUpMargin: 16, Seed: uint64(id),
			},
			Restored: initial, Store: store, Machine: machine, Log: log,
			Transport: replica.MeshTransport{Mesh: mesh, Directory: directory},
		})
		is.NoErr(err)
		replica.HandleMessages(mux, replica.Receiver{Directory: directory, Deliver: r.Deliver})
		g.replicas = append(g.replicas, r)
		g.machines = append(g.machines, machine)
		g.meshes = append(g.meshes, mesh)
	}
	g.start(tb, peers)
	return g
}

func (g *meshGroup) start(tb testing.TB, peers []peer.Peer) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range g.meshes {
		g.meshes[i].SetPeers(peers)
		for _, run := range []func(context.Context) error{g.meshes[i].Run, g.replicas[i].Run} {
			wg.Go(func() {
				if err := run(ctx); err != nil {
					tb.Error(err)
				}
			})
		}
	}
	tb.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// waitForLeader waits until a replica leads under a valid lease and returns its
// position in replicas.
func (g *meshGroup) waitForLeader(tb testing.TB) int {
	tb.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(heartbeat) {
		for i, r := range g.replicas {
			if r.LeaseValid() {
				return i
			}
		}
	}
	tb.Fatal("no leader")
	return 0
}

func TestGroupOverMesh(t *testing.T) {
	is := is.New(t)
	g := newMeshGroup(t)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	var leader int
	for i := range 20 {
		var err error
		for done := false; !done; done = err == nil {
			leader = g.waitForLeader(t)
			_, err = g.replicas[leader].Propose(ctx, encode(command{ID: fmt.Sprint(i), Key: "k", Base: i, Value: i}))
			is.NoErr(ctx.Err())
		}
	}
	index, err := g.replicas[leader].ReadBarrier(ctx)
	is.NoErr(err)
	for i, r := range g.replicas {
		is.NoErr(r.WaitApplied(ctx, index))
		is.Equal(g.machines[i].get("k").Version, 20)
	}
}

// TestForgedSenderIsDropped sends messages from node b whose senders are a member of
// another node and an unknown member. Only b's own member's message is delivered. b counts as the
// leader of another member only once it sends that member entries; a candidate sends votes.
func TestForgedSenderIsDropped(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	directory := nodeNames{1: "a", 2: "b", 3: "c", 4: "a"}
	received, leaders := make(chan []raft.Message, 1), make(chan string, 4)
	mux := peer.NewMux()
	replica.HandleMessages(mux, replica.Receiver{
		Self: 1, Directory: directory, Deliver: func(ms []raft.Message) { received <- ms },
		LeaderOfOther: func(node string) { leaders <- node },
	})
	a, err := peer.New(peer.Options{Self: "a", Addr: "127.0.0.1:0", Secret: "s", Mux: mux, Log: log})
	is.NoErr(err)
	b, err := peer.New(peer.Options{Self: "b", Addr: "127.0.0.1:0", Secret: "s", Mux: peer.NewMux(), Log: log})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, m := range []*peer.Mesh{a, b} {
		m.SetPeers([]peer.Peer{{Name: "a", Addr: a.Addr()}, {Name: "b", Addr: b.Addr()}})
		wg.Go(func() { _ = m.Run(ctx) })
	}
	defer wg.Wait()
	defer cancel()
	for !b.Reachable("a") {
		time.Sleep(time.Millisecond)
	}
	transport := replica.MeshTransport{Mesh: b, Directory: directory}
	transport.Send([]raft.Message{{From: 3, To: 1}, {From: 2, To: 1}, {From: 9, To: 1}})
	is.Equal(<-received, []raft.Message{{From: 2, To: 1}})
	transport.Send([]raft.Message{{Kind: raft.MsgVote, From: 2, To: 4}, {Kind: raft.MsgAppend, From: 2, To: 1}})
	<-received
	<-received
	is.Equal(len(leaders), 0)
	for _, kind := range []raft.MessageKind{raft.MsgAppend, raft.MsgSnapshot} {
		transport.Send([]raft.Message{{Kind: kind, From: 2, To: 4}})
		is.Equal(<-leaders, "b")
		<-received
	}
}

// BenchmarkPropose measures proposals over TCP and files, sequential and with 64
// concurrent proposers.
func BenchmarkPropose(b *testing.B) {
	for _, parallel := range []int{1, 64} {
		b.Run(fmt.Sprintf("%d at once", parallel), func(b *testing.B) {
			g := newMeshGroup(b)
			leader := g.waitForLeader(b)
			sent := g.meshes[leader].Stats().SentBytes
			b.ResetTimer()
			var wg sync.WaitGroup
			for p := range parallel {
				wg.Go(func() {
					for i := p; i < b.N; i += parallel {
						c := command{ID: fmt.Sprint(i % 100), Key: fmt.Sprint(i % 100)}
						if _, err := g.replicas[leader].Propose(b.Context(), encode(c)); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
			bytes := g.meshes[leader].Stats().SentBytes - sent
			b.ReportMetric(float64(bytes)/float64(b.N)/2, "wire-B/op/follower")
		})
	}
}
