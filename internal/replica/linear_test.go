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

// operation is one client's call on one register: a command, or a read where
// it is nil.
type operation struct {
	key     string
	command *command
}

// model is a register with a version that each change must name.
var model = porcupine.Model{
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
		now, got, c := state.(answer), output.(answer), input.(operation).command
		if c == nil {
			return got.Version == now.Version && got.Value == now.Value, now
		}
		if c.Base != now.Version {
			return got == answer{Version: now.Version, Value: now.Value}, now
		}
		next := answer{OK: true, Version: c.Base + 1, Value: c.Value}
		return got == next, next
	},
}

// clients race each other on few registers through any member.
type clients struct {
	c       *cluster
	clock   atomic.Int64
	resends atomic.Int64
	// disturbed counts the leaders killed or cut off.
	disturbed int
	mu        sync.Mutex
	history   []porcupine.Operation
}

// run is one client that makes changes at the version it last saw, and reads.
// Some answers are lost on purpose; the change is then sent again.
func (cs *clients) run(id int, count int, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, uint64(id)))
	seen := map[string]answer{}
	for i := range count {
		key := fmt.Sprintf("r%d", random.IntN(3))
		op := operation{key: key}
		if random.IntN(3) > 0 {
			op.command = &command{ID: fmt.Sprintf("%d-%d", id, i), Key: key, Base: seen[key].Version, Value: id*1000 + i}
		}
		call := cs.clock.Add(1)
		got, err := cs.retry(op, random)
		if err != nil {
			return err
		}
		cs.mu.Lock()
		cs.history = append(cs.history, porcupine.Operation{
			ClientId: id, Input: op, Call: call, Output: got, Return: cs.clock.Add(1),
		})
		cs.mu.Unlock()
		seen[key] = got
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
	return nil
}

// retry tries members in random order until one answers.
func (cs *clients) retry(op operation, random *rand.Rand) (answer, error) {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		m := cs.c.member(cs.c.founded[random.IntN(len(cs.c.founded))])
		got, err := cs.try(m, op)
		lost := random.IntN(8) == 0
		if err == nil && !lost {
			return got, nil
		}
		if op.command != nil && (err == nil || errors.Is(err, replica.ErrUnknown)) {
			cs.resends.Add(1)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return answer{}, errors.New("no member answered")
}

func (cs *clients) try(m *member, op operation) (answer, error) {
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

// TestChangesAreLinearizable races clients while leaders are killed and cut
// off.
func TestChangesAreLinearizable(t *testing.T) {
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			cs := &clients{}
			synctest.Test(t, func(t *testing.T) { cs.race(t, seed) })
			is := is.New(t)
			is.True(cs.resends.Load() > 50)
			is.True(cs.disturbed >= 6)
			is.Equal(porcupine.CheckOperationsTimeout(model, cs.history, 10*time.Second), porcupine.Ok)
		})
	}
}

func (cs *clients) race(t *testing.T, seed uint64) {
	cs.c = newCluster(t, seed, 1, 2, 3)
	defer cs.c.stopAll()
	var wg sync.WaitGroup
	done := make(chan struct{})
	for id := range 6 {
		wg.Go(func() {
			if err := cs.run(id, 250, seed); err != nil {
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
			cs.disturb(round)
		}
	}
}

// disturb kills the leader, or cuts it off for longer than its lease.
func (cs *clients) disturb(round int) {
	leader := cs.c.leader().id
	cs.disturbed++
	if round%2 == 0 {
		cs.c.kill(leader)
		time.Sleep(electionTimeout)
		cs.c.restart(leader)
		return
	}
	cs.c.isolate(leader, true)
	cs.c.leader(others(cs.c, leader)...)
	cs.c.isolate(leader, false)
}
