package dispatch_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
)

// TestTokensOfRunningCalls follows what a call takes of its engine, from its start to its end.
func TestTokensOfRunningCalls(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(engine("a", 8, "m"))
	c := call(1, "m", 1, 0)
	c.PromptTokens, c.OutputTokens = 1000, 200
	is.Equal(len(started(d.Submit(c, 0))), 1)
	use := func() dispatch.Use { return d.Running()["a"][dispatch.ModelKey{Service: c.Service, Model: "m"}] }
	is.Equal(use(), dispatch.Use{Calls: 1, EngineTokens: dispatch.EngineTokens{Unread: 1000, Held: 1200}})
	d.FirstEvent(1, 100*ms)
	d.FirstEvent(1, 200*ms)
	is.Equal(use().EngineTokens, dispatch.EngineTokens{Held: 1200})
	d.Finish(1, dispatch.Served, second)
	is.Equal(use(), dispatch.Use{})
}
