package raft

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of the groups under test.
const (
	testHeartbeat = 100 * time.Millisecond
	testElection  = 500 * time.Millisecond
	testLease     = 490 * time.Millisecond
	testStep      = 10 * time.Millisecond
)

// testConfig returns a Config whose limits are low enough to be reached.
func testConfig() Config {
	return Config{
		ID: 1, Heartbeat: testHeartbeat, ElectionTimeout: testElection, Lease: testLease,
		MaxBatchBytes: 512, MaxInflight: 4,
	}
}

// founding returns the initial durable state in a group of voters 1 to n.
func founding(n int) DurableState {
	s := Snapshot{Index: 1, Term: 1, Data: make([]byte, 8)}
	for id := MemberID(1); id <= MemberID(n); id++ {
		s.Members.Voters = append(s.Members.Voters, id)
	}
	return DurableState{Snapshot: s}
}

// host runs one Core as a replica does: it writes its output, sends messages and applies
// entries.
type host struct {
	id     MemberID
	core   *Core
	down   bool
	frozen bool
	// offset is the difference between the member's clock and the network's time.
	offset Instant
	// disk is the state that survives a crash.
	disk DurableState
	// writing is the Output whose write is not finished, or nil.
	writing *Output
	// state is a hash of the applied entries.
	state []byte
}

// packet is a message in transit.
type packet struct {
	due     Instant
	message Message
}

// network simulates a group in virtual time.
type network struct {
	now     Instant
	rng     *rand.Rand
	hosts   []*host
	packets []packet
	// cutLinks holds the directed links, as sender and receiver, that drop all messages.
	cutLinks map[[2]MemberID]bool
	// lossShare and duplicateShare are the probabilities that a message is lost or sent
	// twice.
	lossShare, duplicateShare float64
	// maxDelay is the upper bound of the random delay of a message.
	maxDelay Instant
	// slowWriteShare is the probability that a write is unfinished, drawn anew at each
	// step.
	slowWriteShare float64
	// background is set if members go on while they write: they send what doesn't depend on the
	// write, and apply committed entries.
	background bool
	// messages and entryBytes count the messages sent and the bytes of their entries.
	messages, entryBytes int
	// onSend, if set, is called for each message sent.
	onSend func(Message)
	cfg    Config
	checker
}

// newNetwork returns a group of the given number of voters, with IDs from 1.
func newNetwork(voters int, seed uint64) *network {
	n := &network{
		rng:      rand.New(rand.NewPCG(seed, 0)),
		cutLinks: map[[2]MemberID]bool{},
		cfg:      testConfig(),
		checker:  newChecker(),
	}
	from := founding(voters)
	for _, id := range from.Snapshot.Members.Voters {
		n.addHost(id, from)
	}
	return n
}

// addHost starts a new member.
func (n *network) addHost(id MemberID, from DurableState) {
	h := &host{id: id, disk: from, offset: Instant(n.rng.Int64N(int64(time.Hour)))}
	n.hosts = append(n.hosts, h)
	n.start(h)
}

// start creates a member's Core from its disk.
func (n *network) start(h *host) {
	cfg := n.cfg
	cfg.ID, cfg.Seed = h.id, n.rng.Uint64()
	core, err := New(cfg, h.disk, n.clock(h))
	if err != nil {
		panic(err)
	}
	h.core, h.down, h.frozen = core, false, false
	h.state = h.disk.Snapshot.Data
}

// clock returns a member's own monotonic time.
func (n *network) clock(h *host) Instant { return n.now + h.offset }

// host returns the member with the given ID, or nil.
func (n *network) host(id MemberID) *host {
	for _, h := range n.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// crash stops a member. An unfinished write may be lost or may have reached the disk in
// part.
func (n *network) crash(h *host) {
	if w := h.writing; w != nil && n.rng.IntN(2) == 0 {
		part := Output{Hard: w.Hard, Snapshot: w.Snapshot}
		if n.rng.IntN(2) == 0 {
			part.Entries = w.Entries[:n.rng.IntN(len(w.Entries)+1)]
		}
		h.persist(&part)
	}
	h.writing, h.down = nil, true
}

// persist writes the durable part of an Output to the disk.
func (h *host) persist(out *Output) {
	if out.Hard != nil {
		h.disk.Hard = *out.Hard
	}
	if out.Snapshot != nil {
		h.disk.Snapshot, h.disk.Entries = *out.Snapshot, nil
	}
	if len(out.Entries) > 0 {
		keep := out.Entries[0].Index - h.disk.Snapshot.Index - 1
		h.disk.Entries = append(slices.Clone(h.disk.Entries[:keep]), out.Entries...)
	}
}

// drainOutput carries out what the member's Core asks for, until it has no more output or
// a write is left unfinished.
func (n *network) drainOutput(h *host) {
	if n.background {
		n.drainInBackground(h)
		return
	}
	for !h.down && !h.frozen {
		if h.writing == nil {
			n.checkMember(h)
			if !h.core.HasOutput() {
				return
			}
			out := h.core.Take(n.clock(h))
			h.writing = &out
			if n.slowWriteShare > 0 && n.rng.Float64() < n.slowWriteShare {
				return
			}
		}
		n.finishWrite(h)
	}
}

// drainInBackground carries out what the member's Core asks for as a replica does that writes in
// the background: messages that Take returns with state wait until that is written.
func (n *network) drainInBackground(h *host) {
	for !h.down && !h.frozen {
		n.checkMember(h)
		out := h.core.TakeUnblocked(n.clock(h), h.writing != nil)
		n.carryOut(h, &out)
		if h.writing != nil || !h.core.HasOutput() {
			return
		}
		out = h.core.Take(n.clock(h))
		h.writing = &Output{Hard: out.Hard, Snapshot: out.Snapshot, Entries: out.Entries, Messages: out.Messages}
		out.Messages = nil
		n.carryOut(h, &out)
		if n.rng.Float64() >= n.slowWriteShare {
			n.finishWrite(h)
		}
	}
}

// finishWrite completes a write and carries out the rest of its Output.
func (n *network) finishWrite(h *host) {
	out := h.writing
	h.writing = nil
	h.persist(out)
	last := h.disk.Snapshot.Index + uint64(len(h.disk.Entries))
	h.core.Persisted(last, n.clock(h))
	if n.background {
		out.Snapshot = nil // restored when it was taken
	}
	n.carryOut(h, out)
}

// carryOut sends the messages of an Output, restores its snapshot, applies its entries and
// checks its reads.
func (n *network) carryOut(h *host, out *Output) {
	for _, m := range out.Messages {
		n.send(m)
	}
	if out.Snapshot != nil {
		h.state = out.Snapshot.Data
		h.core.Applied(out.Snapshot.Index)
	}
	for _, e := range out.Committed {
		h.apply(e)
		n.checkApplied(h, e)
		h.core.Applied(e.Index)
	}
	for _, r := range out.Reads {
		n.checkRead(h, r)
	}
	n.checkMember(h)
}

// apply updates the member's state with an entry.
func (h *host) apply(e Entry) {
	sum := fnv.New64a()
	_, _ = sum.Write(h.state)
	_, _ = fmt.Fprintf(sum, "%d/%d/%d/%s", e.Index, e.Term, e.Kind, e.Data)
	h.state = binary.BigEndian.AppendUint64(nil, sum.Sum64())
}

// compact takes a snapshot of the member's applied state and compacts its log and disk.
// It does nothing if the member is not running or is writing.
func (n *network) compact(h *host) {
	if h.down || h.frozen || h.writing != nil {
		return
	}
	index := h.core.Status().Applied
	if index <= h.disk.Snapshot.Index {
		return
	}
	s, err := h.core.SnapshotAt(index, h.state)
	if err != nil {
		panic(err)
	}
	if err := h.core.Compact(s); err != nil {
		panic(err)
	}
	h.disk.Entries = slices.Clone(h.disk.Entries[index-h.disk.Snapshot.Index:])
	h.disk.Snapshot = s
}

// send puts a message in transit, subject to loss, duplication, cut links and delay.
func (n *network) send(m Message) {
	n.messages++
	if n.onSend != nil {
		n.onSend(m)
	}
	for i := range m.Entries {
		n.entryBytes += entrySize(&m.Entries[i])
	}
	copies := 1
	if n.rng.Float64() < n.duplicateShare {
		copies = 2
	}
	for range copies {
		if n.cutLinks[[2]MemberID{m.From, m.To}] || n.rng.Float64() < n.lossShare {
			continue
		}
		due := n.now
		if n.maxDelay > 0 {
			due += Instant(n.rng.Int64N(int64(n.maxDelay)))
		}
		n.packets = append(n.packets, packet{due: due, message: m})
	}
}

// maxDeliveryRounds limits how often messages are delivered within a step, and so the
// chain of messages that one message can cause in it.
const maxDeliveryRounds = 8

// deliver delivers the packets that are due and reports whether there were any. Packets
// for frozen members wait until the member is thawed; those for members that are down are
// lost.
func (n *network) deliver() bool {
	var due []packet
	keep := n.packets[:0]
	for _, p := range n.packets {
		h := n.host(p.message.To)
		switch {
		case h == nil || h.down:
		case p.due <= n.now && !h.frozen:
			due = append(due, p)
		default:
			keep = append(keep, p)
		}
	}
	n.packets = keep
	for _, p := range due {
		h := n.host(p.message.To)
		h.core.Step(p.message, n.clock(h))
		n.drainOutput(h)
	}
	return len(due) > 0
}

// step advances the time by testStep.
func (n *network) step() {
	n.now += testStep
	for round := 0; round < maxDeliveryRounds && n.deliver(); round++ {
		n.checkInstant(n)
	}
	for _, h := range n.hosts {
		if h.down || h.frozen {
			continue
		}
		if h.writing != nil && n.rng.Float64() >= n.slowWriteShare {
			n.finishWrite(h)
		}
		h.core.Tick(n.clock(h))
		n.drainOutput(h)
	}
	n.checkInstant(n)
}

// run advances the time by d.
func (n *network) run(d Instant) {
	for end := n.now + d; n.now < end; {
		n.step()
	}
}

// isolate cuts all links to and from a member.
func (n *network) isolate(id MemberID) {
	for _, h := range n.hosts {
		if h.id != id {
			n.cutLinks[[2]MemberID{h.id, id}] = true
			n.cutLinks[[2]MemberID{id, h.id}] = true
		}
	}
}

// heal ends all faults and starts the members that are down.
func (n *network) heal() {
	n.cutLinks = map[[2]MemberID]bool{}
	n.lossShare, n.duplicateShare, n.maxDelay, n.slowWriteShare = 0, 0, 0, 0
	for _, h := range n.hosts {
		h.frozen = false
		if h.down {
			n.start(h)
		}
	}
}

// leader returns the leader of the newest term that is not down, or nil.
func (n *network) leader() *host {
	var best *host
	for _, h := range n.hosts {
		if h.down || h.core.role != Leader {
			continue
		}
		if best == nil || h.core.term > best.core.term {
			best = h
		}
	}
	return best
}
