package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/replica"
)

// operation is a client's call on one register: a command, or a read if command is
// nil.
type operation struct {
	key     string
	command *command
}

// registerModel is the sequential specification of the registers: a command sets a
// register only if it names the register's current version.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return answer{} },
	Step: func(state, input, output any) (bool, any) {
		current, got, c := state.(answer), output.(answer), input.(operation).command
		if c == nil {
			return got.Version == current.Version && got.Value == current.Value, current
		}
		if c.Base != current.Version {
			return got == answer{Version: current.Version, Value: current.Value}, current
		}
		next := answer{OK: true, Version: c.Base + 1, Value: c.Value}
		return got == next, next
	},
}

// clients runs concurrent clients that change the same few registers through random
// members, and records their calls.
type clients struct {
	c *cluster
	// clock orders the starts and ends of the recorded calls.
	clock   atomic.Int64
	resends atomic.Int64
	// disruptions counts the leaders that were killed or isolated.
	disruptions int
	mu          sync.Mutex
	history     []porcupine.Operation
}

// runClient makes count calls as one client: reads, and changes that name the
// version the client last saw.
func (cs *clients) runClient(id int, count int, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, uint64(id)))
	lastSeen := map[string]answer{}
	for i := range count {
		key := fmt.Sprintf("r%d", random.IntN(3))
		op := operation{key: key}
		if random.IntN(3) > 0 {
			op.command = &command{ID: fmt.Sprintf("%d-%d", id, i), Key: key, Base: lastSeen[key].Version, Value: id*1000 + i}
		}
		call := cs.clock.Add(1)
		got, err := cs.callWithRetry(op, random)
		if err != nil {
			return err
		}
		cs.mu.Lock()
		cs.history = append(cs.history, porcupine.Operation{
			ClientId: id, Input: op, Call: call, Output: got, Return: cs.clock.Add(1),
		})
		cs.mu.Unlock()
		lastSeen[key] = got
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
	return nil
}

// callWithRetry calls random members until one answers. It ignores some answers on
// purpose, so that the client resends a command that was applied.
func (cs *clients) callWithRetry(op operation, random *rand.Rand) (answer, error) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		m := cs.c.member(cs.c.foundingIDs[random.IntN(len(cs.c.foundingIDs))])
		got, err := cs.attempt(m, op)
		dropAnswer := random.IntN(8) == 0
		if err == nil && !dropAnswer {
			return got, nil
		}
		if op.command != nil && (err == nil || errors.Is(err, replica.ErrOutcomeUnknown)) {
			cs.resends.Add(1)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return answer{}, errors.New("no member answered")
}

// attempt makes one call on m.
func (cs *clients) attempt(m *member, op operation) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*electionTimeout)
	defer cancel()
	if op.command == nil {
		_, err := m.ReadBarrier(ctx)
		got := m.machine.get(op.key)
		got.OK = false
		return got, err
	}
	result, err := m.Propose(ctx, encode(*op.command))
	if err != nil {
		return answer{}, err
	}
	return result.(answer), nil
}

// TestChangesAreLinearizable checks the history of concurrent clients while leaders
// are killed and isolated.
func TestChangesAreLinearizable(t *testing.T) {
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			cs := &clients{}
			synctest.Test(t, func(t *testing.T) { cs.raceClients(t, seed) })
			is := is.New(t)
			is.True(cs.resends.Load() > 50)
			is.True(cs.disruptions >= 6)
			is.Equal(porcupine.CheckOperationsTimeout(registerModel, cs.history, 10*time.Second), porcupine.Ok)
		})
	}
}

// raceClients runs six clients on a new cluster, and disrupts the leader at every election
// timeout until they are done.
func (cs *clients) raceClients(t *testing.T, seed uint64) {
	cs.c = newCluster(t, seed, 1, 2, 3)
	defer cs.c.stopAll()
	var wg sync.WaitGroup
	done := make(chan struct{})
	for id := range 6 {
		wg.Go(func() {
			if err := cs.runClient(id, 250, seed); err != nil {
				t.Error(err)
			}
		})
	}
	go func() {
		wg.Wait()
		close(done)
	}()
	for round := 0; ; round++ {
		select {
		case <-done:
			return
		case <-time.After(electionTimeout):
			cs.disruptLeader(round)
		}
	}
}

// disruptLeader kills and restarts the leader, or isolates it until another member
// leads, and so for longer than its lease.
func (cs *clients) disruptLeader(round int) {
	leader := cs.c.waitForLeader().id
	cs.disruptions++
	if round%2 == 0 {
		cs.c.kill(leader)
		time.Sleep(electionTimeout)
		cs.c.restart(leader)
		return
	}
	cs.c.isolate(leader, true)
	cs.c.waitForLeader(others(cs.c, leader)...)
	cs.c.isolate(leader, false)
}
