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

// request is what an operator asks of a node: a read where version is zero, else
// that a configuration is put in force.
type request struct {
	version  uint64
	document string
}

// reply is what the operator hears. It is unclear where nothing was decided: the
// configuration may be in force, now or later.
type reply struct {
	result  confstate.Result
	unclear bool
	// shown is the answer to a read.
	shown request
}

// inForce is a register that takes the highest version, and each version once.
var inForce = porcupine.NondeterministicModel{
	Init: func() []any { return []any{request{}} },
	Step: func(state, input, output any) []any {
		now, asked, got := state.(request), input.(request), output.(reply)
		if asked.version == 0 {
			if got.shown == now {
				return []any{now}
			}
			return nil
		}
		next, result := asked, confstate.Accepted
		switch {
		case asked.version < now.version:
			next, result = now, confstate.Overtaken
		case asked == now:
			result = confstate.Repeated
		case asked.version == now.version:
			next, result = now, confstate.Conflict
		}
		if got.unclear {
			return []any{now, next}
		}
		// What was accepted and not told is said to be repeated when it is sent again.
		if got.result == result {
			return []any{next}
		}
		return nil
	},
}

// operators race each other for a register through any node.
type operators struct {
	c     *cluster
	start time.Time

	// nodes guards the nodes against being stopped while one is picked.
	nodes sync.RWMutex

	mu      sync.Mutex
	history []porcupine.Operation
	newest  uint64
}

// run makes changes and reads until the time is over. Versions are often those of
// another operator's change, or older, and unclear changes are sent again.
func (o *operators) run(id int, end time.Time) {
	random := rand.New(rand.NewPCG(uint64(id), 1))
	for n := 0; time.Now().Before(end); n++ {
		asked := request{} // a read
		if random.IntN(3) > 0 {
			asked = o.draw(random, fmt.Sprint(id, ".", n))
		}
		for try := 0; try < 3; try++ {
			if !o.ask(id, random, asked) {
				break
			}
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// draw is a configuration with a version near the newest one.
func (o *operators) draw(random *rand.Rand, document string) request {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := max(1, o.newest+uint64(random.IntN(4))-min(o.newest, 1))
	o.newest = max(o.newest, version)
	return request{version: version, document: document}
}

// ask sends one request and reports whether a change is unclear.
func (o *operators) ask(id int, random *rand.Rand, asked request) bool {
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
			return false // nothing was shown
		}
		got.shown = request{version: version, document: string(document)}
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

// disturb stops one or two nodes at a time and starts them again, the leader as
// likely as others, until the time is over.
func (o *operators) disturb(end time.Time) {
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

// TestConfigurationsAreLinearizable has four operators race each other with equal,
// older and repeated versions through all nodes while nodes stop and start.
func TestConfigurationsAreLinearizable(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17350, 5)
	c.start(0, 1, 2, 3, 4)
	c.settled(0)
	o := &operators{c: c, start: time.Now()}
	end := o.start.Add(8 * time.Second)
	var group sync.WaitGroup
	for id := range 4 {
		group.Go(func() { o.run(id, end) })
	}
	o.disturb(end)
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
	is.Equal(porcupine.CheckOperationsTimeout(inForce.ToModel(), o.history, checkTime), porcupine.Ok)
}
