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

// Cluster tests run in virtual time (testing/synctest), so that their timing does
// not depend on the machine.
const (
	heartbeat       = 50 * time.Millisecond
	electionTimeout = 500 * time.Millisecond
	lease           = 400 * time.Millisecond
	networkDelay    = time.Millisecond
	syncDelay       = 2 * time.Millisecond
	waitTimeout     = time.Minute
)

// cluster is a consensus group whose members communicate over an in-memory network
// and store their state in in-memory file systems.
type cluster struct {
	t           *testing.T
	random      *rand.Rand
	foundingIDs []raft.MemberID

	mu           sync.Mutex
	members      map[raft.MemberID]*member
	isolated     map[raft.MemberID]bool
	severedLinks map[link]bool
	// inFlight holds the encoded messages on each link that are not delivered yet,
	// oldest first.
	inFlight  map[link][][]byte
	bytesSent int
}

// link is one direction of the connection between two members.
type link struct{ from, to raft.MemberID }

type member struct {
	id      raft.MemberID
	fs      *faultfs.FS
	store   *storage.Store
	machine *registers
	*replica.Replica
	stop func()
}

// newCluster starts a cluster whose founding members have the given IDs.
func newCluster(t *testing.T, seed uint64, ids ...raft.MemberID) *cluster {
	c := &cluster{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 1)),
		foundingIDs:  ids,
		members:      map[raft.MemberID]*member{},
		isolated:     map[raft.MemberID]bool{},
		severedLinks: map[link]bool{},
		inFlight:     map[link][][]byte{},
	}
	for _, id := range ids {
		initial, err := replica.InitialState(ids, newRegisters())
		c.must(err)
		c.create(id, initial)
	}
	return c
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func storeOptions(id raft.MemberID, fs *faultfs.FS) storage.Options {
	return storage.Options{Dir: "/data", FS: fs, Identity: storage.Identity{Group: "g", Member: id}}
}

// create starts a member with an empty disk from the initial state.
func (c *cluster) create(id raft.MemberID, initial raft.DurableState) {
	c.t.Helper()
	fs := faultfs.New()
	fs.SetSyncDelay(syncDelay)
	store, err := storage.Create(storeOptions(id, fs), initial)
	c.must(err)
	c.startMember(id, fs, store, initial)
}

// restart starts a killed member from its disk.
func (c *cluster) restart(id raft.MemberID) {
	c.t.Helper()
	fs := c.member(id).fs
	store, state, err := storage.Open(storeOptions(id, fs))
	c.must(err)
	c.startMember(id, fs, store, state)
}

// startMember runs a member with the given store and the state loaded from it.
func (c *cluster) startMember(id raft.MemberID, fs *faultfs.FS, store *storage.Store, state raft.DurableState) {
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
	c.must(err)
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

// kill stops a member without any further write. A random part of what it had not
// synced survives on its disk.
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

// isolate starts or stops dropping all messages from and to a member.
func (c *cluster) isolate(id raft.MemberID, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[id] = isolated
}

// sever drops all messages between two members.
func (c *cluster) sever(a, b raft.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.severedLinks[link{a, b}] = true
	c.severedLinks[link{b, a}] = true
}

// Send implements replica.Transport.
func (c *cluster) Send(messages []raft.Message) {
	for _, m := range messages {
		data, err := json.Marshal(m)
		if err != nil {
			panic(err)
		}
		c.mu.Lock()
		c.bytesSent += len(data)
		c.inFlight[link{m.From, m.To}] = append(c.inFlight[link{m.From, m.To}], data)
		c.mu.Unlock()
		time.AfterFunc(networkDelay, func() { c.deliver(link{m.From, m.To}) })
	}
}

func (c *cluster) sentBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesSent
}

// deliver removes the oldest message from a link. It delivers the message unless either
// member is isolated or the link is severed.
func (c *cluster) deliver(l link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data := c.inFlight[l][0]
	c.inFlight[l] = c.inFlight[l][1:]
	to := c.members[l.to]
	if to == nil || c.isolated[l.from] || c.isolated[l.to] || c.severedLinks[l] {
		return
	}
	var m raft.Message
	if err := json.Unmarshal(data, &m); err != nil {
		panic(err)
	}
	to.Deliver([]raft.Message{m})
}

// waitForLeader waits until one of the given members leads under a valid lease and
// returns it. Without ids, it accepts any founding member.
func (c *cluster) waitForLeader(ids ...raft.MemberID) *member {
	c.t.Helper()
	if len(ids) == 0 {
		ids = c.foundingIDs
	}
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(heartbeat) {
		for _, id := range ids {
			if m := c.member(id); m.LeaseValid() {
				return m
			}
		}
	}
	c.t.Fatal("no leader")
	return nil
}

// put proposes through m to set a key if its version is base, and returns the
// result.
func (c *cluster) put(m *member, key string, base, value int) answer {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	result, err := m.Propose(ctx, encode(command{ID: fmt.Sprintf("%s-%d", key, value), Key: key, Base: base, Value: value}))
	c.must(err)
	return result.(answer)
}

// converge waits until the given members have applied the same entries.
func (c *cluster) converge(ids ...raft.MemberID) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(heartbeat) {
		equal := true
		want := c.member(ids[0]).machine.dump()
		for _, id := range ids[1:] {
			equal = equal && c.member(id).machine.dump() == want
		}
		if equal {
			return
		}
	}
	c.t.Fatal("members did not converge")
}

// command sets a key if its version is Base. A resent command keeps its ID and is
// applied once.
type command struct {
	ID    string
	Key   string
	Base  int
	Value int
}

// answer is the result of a command or read: the key's version and value, and
// whether the command set them.
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

// registers is a state machine of versioned registers. It remembers the result of
// each command ID.
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
	current := r.state.Keys[c.Key]
	result := answer{Version: current.Version, Value: current.Value}
	if current.Version == c.Base {
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
