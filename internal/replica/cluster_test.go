package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/agateslip/agateslip/internal/faultfs"
	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

// Tests run in a bubble of virtual time, so their timing does not depend on the
// machine.
const (
	heartbeat       = 50 * time.Millisecond
	electionTimeout = 500 * time.Millisecond
	lease           = 400 * time.Millisecond
	oneWay          = time.Millisecond
	syncDelay       = 2 * time.Millisecond
	patience        = time.Minute
)

// cluster is a group of replicas over a network in memory.
type cluster struct {
	t       *testing.T
	random  *rand.Rand
	founded []raft.MemberID

	mu      sync.Mutex
	members map[raft.MemberID]*member
	cut     map[raft.MemberID]bool
	severed map[link]bool
	// links hold the messages under way, in order.
	links map[link][][]byte
	bytes int
}

// link is one direction between two members.
type link struct{ from, to raft.MemberID }

type member struct {
	id      raft.MemberID
	fs      *faultfs.FS
	store   *storage.Store
	machine *registers
	*replica.Replica
	stop func()
}

func newCluster(t *testing.T, seed uint64, ids ...raft.MemberID) *cluster {
	c := &cluster{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 1)),
		founded: ids,
		members: map[raft.MemberID]*member{},
		cut:     map[raft.MemberID]bool{},
		severed: map[link]bool{},
		links:   map[link][][]byte{},
	}
	for _, id := range ids {
		initial, err := replica.Founding(ids, newRegisters())
		c.check(err)
		c.create(id, initial)
	}
	return c
}

func (c *cluster) check(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func storeOptions(id raft.MemberID, fs *faultfs.FS) storage.Options {
	return storage.Options{Dir: "/data", FS: fs, Identity: storage.Identity{Group: "g", Member: id}}
}

// create starts a member with an empty disk.
func (c *cluster) create(id raft.MemberID, initial raft.Restored) {
	c.t.Helper()
	fs := faultfs.New()
	fs.SetSyncDelay(syncDelay)
	store, err := storage.Create(storeOptions(id, fs), initial)
	c.check(err)
	c.run(id, fs, store, initial)
}

// restart starts a member from its disk.
func (c *cluster) restart(id raft.MemberID) {
	c.t.Helper()
	fs := c.member(id).fs
	store, state, err := storage.Open(storeOptions(id, fs))
	c.check(err)
	c.run(id, fs, store, state)
}

func (c *cluster) run(id raft.MemberID, fs *faultfs.FS, store *storage.Store, state raft.Restored) {
	c.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	machine := newRegisters()
	r, err := replica.New(replica.Config{
		Raft: raft.Config{
			ID: id, Heartbeat: heartbeat, ElectionTimeout: electionTimeout, Lease: lease,
			MaxBatchBytes: 1 << 20, MaxInflight: 16, CatchUpMargin: 16, Seed: c.random.Uint64(),
		},
		Restored: state, Store: store, Machine: machine, Transport: c, Log: log,
	})
	c.check(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	m := &member{id: id, fs: fs, store: store, machine: machine, Replica: r}
	m.stop = func() {
		cancel()
		<-done
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[id] = m
}

func (c *cluster) member(id raft.MemberID) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[id]
}

// kill stops a member at once; parts of what it did not sync may survive.
func (c *cluster) kill(id raft.MemberID) {
	m := c.member(id)
	m.fs.Die()
	m.stop()
	m.fs.Crash(c.random)
}

func (c *cluster) stopAll() {
	for _, m := range c.members {
		m.stop()
	}
}

// isolate drops all messages from and to a member, or lets them pass again.
func (c *cluster) isolate(id raft.MemberID, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[id] = cut
}

// sever drops all messages between two members.
func (c *cluster) sever(a, b raft.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.severed[link{a, b}] = true
	c.severed[link{b, a}] = true
}

// Send implements replica.Transport.
func (c *cluster) Send(messages []raft.Message) {
	for _, m := range messages {
		data, err := json.Marshal(m)
		if err != nil {
			panic(err)
		}
		c.mu.Lock()
		c.bytes += len(data)
		c.links[link{m.From, m.To}] = append(c.links[link{m.From, m.To}], data)
		c.mu.Unlock()
		time.AfterFunc(oneWay, func() { c.deliver(link{m.From, m.To}) })
	}
}

func (c *cluster) sentBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// deliver hands over the oldest message on a link.
func (c *cluster) deliver(l link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data := c.links[l][0]
	c.links[l] = c.links[l][1:]
	to := c.members[l.to]
	if to == nil || c.cut[l.from] || c.cut[l.to] || c.severed[l] {
		return
	}
	var m raft.Message
	if err := json.Unmarshal(data, &m); err != nil {
		panic(err)
	}
	to.Deliver([]raft.Message{m})
}

// leader waits until one of these members, or any, leads with a lease.
func (c *cluster) leader(ids ...raft.MemberID) *member {
	c.t.Helper()
	if len(ids) == 0 {
		ids = c.founded
	}
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(heartbeat) {
		for _, id := range ids {
			if m := c.member(id); m.LeaseValid() {
				return m
			}
		}
	}
	c.t.Fatal("no leader")
	return nil
}

// put sets a key through the leader.
func (c *cluster) put(m *member, key string, base, value int) answer {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	result, err := m.Propose(ctx, encode(command{ID: fmt.Sprintf("%s-%d", key, value), Key: key, Base: base, Value: value}))
	c.check(err)
	return result.(answer)
}

// converge waits until these members have applied the same entries.
func (c *cluster) converge(ids ...raft.MemberID) {
	c.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(heartbeat) {
		same := true
		want := c.member(ids[0]).machine.dump()
		for _, id := range ids[1:] {
			same = same && c.member(id).machine.dump() == want
		}
		if same {
			return
		}
	}
	c.t.Fatal("members did not converge")
}

// command sets a key if its version is Base; resends have the same ID.
type command struct {
	ID    string
	Key   string
	Base  int
	Value int
}

// answer is the result of a command, or a read.
type answer struct {
	OK      bool
	Version int
	Value   int
}

func encode(c command) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

// registers is a state machine of versioned registers.
type registers struct {
	mu    sync.Mutex
	state registerState
	// delay is how long Apply takes.
	delay time.Duration
}

type registerState struct {
	Keys    map[string]answer
	Answers map[string]answer
	Applied uint64
}

func newRegisters() *registers {
	return &registers{state: registerState{Keys: map[string]answer{}, Answers: map[string]answer{}}}
}

// Apply implements replica.StateMachine.
func (r *registers) Apply(e raft.Entry) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Index <= r.state.Applied {
		panic(errors.AssertionFailedf("entry %d applied after %d", e.Index, r.state.Applied))
	}
	r.state.Applied = e.Index
	time.Sleep(r.delay)
	if e.Kind != raft.EntryCommand {
		return nil
	}
	var c command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		panic(err)
	}
	if old, ok := r.state.Answers[c.ID]; ok {
		return old
	}
	now := r.state.Keys[c.Key]
	result := answer{Version: now.Version, Value: now.Value}
	if now.Version == c.Base {
		result = answer{OK: true, Version: c.Base + 1, Value: c.Value}
		r.state.Keys[c.Key] = result
	}
	r.state.Answers[c.ID] = result
	return result
}

// Snapshot implements replica.StateMachine.
func (r *registers) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.state)
}

// Restore implements replica.StateMachine.
func (r *registers) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = newRegisters().state
	return json.Unmarshal(data, &r.state)
}

func (r *registers) setDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *registers) get(key string) answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Keys[key]
}

func (r *registers) dump() string {
	data, err := r.Snapshot()
	if err != nil {
		panic(err)
	}
	return string(data)
}
