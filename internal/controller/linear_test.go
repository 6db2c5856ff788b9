package controller_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/confstate"
)

// request is an operation of an operator: a read if version is zero, otherwise a
// configuration change.
type request struct {
	version  uint64
	document string
}

// reply is the result of a request. A change is unclear if the node did not confirm it:
// it may be applied already, later, or never.
type reply struct {
	result  confstate.Result
	unclear bool
	// read is the configuration that a read returned.
	read request
}

// configurationModel models the configuration as a register that accepts only higher
// versions. A change with the current version is reported as repeated if its document is
// the same, and as a conflict otherwise.
var configurationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{request{}} },
	Step: func(state, input, output any) []any {
		current, asked, got := state.(request), input.(request), output.(reply)
		if asked.version == 0 {
			if got.read == current {
				return []any{current}
			}
			return nil
		}
		next, result := asked, confstate.Accepted
		switch {
		case asked.version < current.version:
			next, result = current, confstate.Overtaken
		case asked == current:
			result = confstate.Repeated
		case asked.version == current.version:
			next, result = current, confstate.Conflict
		}
		if got.unclear {
			return []any{current, next}
		}
		// A change that was accepted without a confirmation is reported as repeated when
		// it is sent again.
		if got.result == result {
			return []any{next}
		}
		return nil
	},
}

// operators issue concurrent requests through random nodes and record the history.
type operators struct {
	c     *cluster
	start time.Time

	// nodes guards the cluster's nodes, so that none is stopped or started while one is
	// being picked.
	nodes sync.RWMutex

	mu      sync.Mutex
	history []porcupine.Operation
	newest  uint64
}

// run issues changes and reads until end. Versions often equal that of another operator's
// change, or are lower. Unclear changes are sent again.
func (o *operators) run(id int, end time.Time) {
	random := rand.New(rand.NewPCG(uint64(id), 1))
	for n := 0; time.Now().Before(end); n++ {
		asked := request{} // a read
		if random.IntN(3) > 0 {
			asked = o.randomChange(random, fmt.Sprint(id, ".", n))
		}
		for try := 0; try < 3; try++ {
			if !o.send(id, random, asked) {
				break
			}
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// randomChange returns a change whose version is close to the newest one.
func (o *operators) randomChange(random *rand.Rand, document string) request {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := max(1, o.newest+uint64(random.IntN(4))-min(o.newest, 1))
	o.newest = max(o.newest, version)
	return request{version: version, document: document}
}

// send sends a request to a random node, records it, and reports whether it is an unclear
// change.
func (o *operators) send(id int, random *rand.Rand, asked request) bool {
	o.nodes.RLock()
	node := o.c.nodes[random.IntN(len(o.c.nodes))].node
	o.nodes.RUnlock()
	if node == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	call := time.Since(o.start)
	var got reply
	if asked.version == 0 {
		document, version, err := node.Configuration(ctx)
		if err != nil {
			return false // a failed read has no effect
		}
		got.read = request{version: version, document: string(document)}
	} else {
		result, err := node.Configure(ctx, asked.version, []byte(asked.document))
		got = reply{result: result, unclear: err != nil}
	}
	returned := int64(time.Since(o.start))
	if got.unclear {
		returned = math.MaxInt64
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{
		ClientId: id, Input: asked, Call: int64(call), Output: got, Return: returned,
	})
	return got.unclear
}

// restartNodes repeatedly stops one or two random nodes and starts them again until end.
func (o *operators) restartNodes(end time.Time) {
	random := rand.New(rand.NewPCG(7, 7))
	for time.Now().Before(end) {
		down := random.Perm(len(o.c.nodes))[:1+random.IntN(2)]
		o.nodes.Lock()
		o.c.kill(down...)
		o.nodes.Unlock()
		time.Sleep(time.Duration(300+random.IntN(900)) * time.Millisecond)
		o.nodes.Lock()
		o.c.start(down...)
		o.nodes.Unlock()
		time.Sleep(time.Duration(500+random.IntN(900)) * time.Millisecond)
	}
}

// TestConfigurationsAreLinearizable checks that the history of four concurrent operators
// is linearizable. They send equal, lower and repeated versions through all nodes while
// nodes stop and start.
func TestConfigurationsAreLinearizable(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17350, 5)
	c.start(0, 1, 2, 3, 4)
	c.waitForVoters(0)
	o := &operators{c: c, start: time.Now()}
	end := o.start.Add(8 * time.Second)
	var group sync.WaitGroup
	for id := range 4 {
		group.Go(func() { o.run(id, end) })
	}
	o.restartNodes(end)
	group.Wait()
	unclear := 0
	for _, op := range o.history {
		if op.Output.(reply).unclear {
			unclear++
		}
	}
	t.Logf("%d answers, %d unclear", len(o.history), unclear)
	is.True(len(o.history) > 100)
	const checkTime = 30 * time.Second
	is.Equal(porcupine.CheckOperationsTimeout(configurationModel.ToModel(), o.history, checkTime), porcupine.Ok)
}
