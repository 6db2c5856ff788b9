package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/engine"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startEngine starts an engine with short durations and a copy of model m on disk.
func startEngine(t *testing.T, modify func(*EngineConfig)) *Engine {
	t.Helper()
	config := EngineConfig{
		ID: "e1", Domain: "muc", Incarnation: 1, Memory: 100, ChecksFencing: true,
		Copies:     []directory.Copy{{Model: "m", Tier: directory.TierDisk}},
		LeaveGrace: time.Millisecond, Scale: 0.002,
	}
	if modify != nil {
		modify(&config)
	}
	e := NewEngine(config)
	is.New(t).NoErr(e.Start(t.Context()))
	t.Cleanup(e.Kill)
	return e
}

// sendOrder sends a load order for a grant. modify, if not nil, alters it first.
func sendOrder(e *Engine, grant uint64, modify func(*engine.Order)) engine.Result {
	o := engine.Order{
		ID: "o" + string(rune('0'+grant)), Kind: engine.Load, Upstream: "e1", Incarnation: 1, Fencing: 5,
		Grant: grant, Model: "m", Memory: 60, Deadline: engine.Millis(5 * time.Second),
	}
	if modify != nil {
		modify(&o)
	}
	var client engine.Client
	return client.Send(context.Background(), e.Addr(), o)
}

// waitForState waits until the replica with the given grant has the given state.
func waitForState(t *testing.T, e *Engine, grant uint64, state directory.ReplicaState) {
	t.Helper()
	waitFor(t, func() bool {
		for _, r := range e.Replicas() {
			if r.Grant == grant && r.State == state {
				return true
			}
		}
		return false
	})
}

// waitFor polls a condition and fails the test if it does not hold within about 10 s.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("timed out waiting for a condition")
}

// requestChat sends a chat completion request. headers holds alternating names and
// values.
func requestChat(t *testing.T, addr string, stream bool, tokens int, headers ...string) (*http.Response, error) {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": "m", "stream": stream, "max_tokens": tokens,
		"messages": []Message{{Role: "user", Content: "hello"}},
	})
	is.New(t).NoErr(err)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+engine.PathChatCompletions, bytes.NewReader(body))
	is.New(t).NoErr(err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return transport.RoundTrip(r)
}

// readStream reads a stream and returns its text and event ids, and whether the end marker
// came.
func readStream(r io.Reader) (text string, ids []string, done bool) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			return text, ids, true
		}
		var c completion
		if ok && json.Unmarshal([]byte(data), &c) == nil {
			text += c.Choices[0].Delta.Content
		}
	}
	return text, ids, false
}

// prompt is the prompt text of the messages that requestChat sends.
const prompt = "user: hello\n"

func TestOverCommitIsRefused(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, nil)
	is.Equal(sendOrder(e, 1, nil).Outcome, engine.Accepted)
	is.Equal(sendOrder(e, 2, nil).Reason, engine.OutOfMemory) // the load for grant 1 holds the memory
	waitForState(t, e, 1, directory.Ready)
	is.Equal(sendOrder(e, 1, func(o *engine.Order) { o.ID, o.Kind = "u1", engine.Unload }).Outcome, engine.Accepted)
	waitForState(t, e, 1, directory.Unloaded)
	is.Equal(sendOrder(e, 2, nil).Outcome, engine.Accepted)
	is.Equal(e.Stats().OverCommits, 1)
	is.Equal(e.Stats().Loads, 2)
}

func TestRepeatedLoadRunsOnce(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, nil)
	is.Equal(sendOrder(e, 1, nil).Outcome, engine.Accepted)
	is.Equal(sendOrder(e, 1, nil).Outcome, engine.Accepted)
	is.Equal(e.Stats().Loads, 1)
}

func TestFencing(t *testing.T) {
	stale := func(o *engine.Order) { o.Fencing = 4 }
	small := func(o *engine.Order) { o.Memory = 10 }
	t.Run("checked", func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, nil)
		sendOrder(e, 1, small)
		is.Equal(sendOrder(e, 2, stale).Reason, engine.StaleFencing)
		is.Equal(len(e.Replicas()), 1)
	})
	t.Run("ignored", func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, func(c *EngineConfig) { c.ChecksFencing = false; c.Memory = 200 })
		sendOrder(e, 1, small)
		is.Equal(sendOrder(e, 2, stale).Outcome, engine.Accepted)
		is.Equal(e.Stats().StaleOrders, 1)
	})
	t.Run("another incarnation", func(t *testing.T) {
		is := is.New(t)
		e := startEngine(t, nil)
		is.Equal(sendOrder(e, 1, func(o *engine.Order) { o.Incarnation = 2 }).Reason, engine.WrongUpstream)
	})
}

func TestLoadFaults(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, nil)
	e.SetFaults(Faults{FailLoads: 1})
	sendOrder(e, 1, nil)
	waitForState(t, e, 1, directory.Failed)
	is.Equal(sendOrder(e, 2, nil).Outcome, engine.Accepted) // a failed load holds no memory
	waitForState(t, e, 2, directory.Ready)

	died := make(chan struct{})
	e = startEngine(t, func(c *EngineConfig) { c.OnDeath = func() { close(died) } })
	e.SetFaults(Faults{DieInLoad: true})
	sendOrder(e, 1, nil)
	<-died
	is.Equal(e.Replicas()[0].State, directory.Loading)
}

func TestNotRunWithoutReplica(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, nil)
	r, err := requestChat(t, e.Addr(), false, 3, engine.HeaderAttempt, "a1")
	is.NoErr(err)
	defer r.Body.Close()
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.Equal(r.Header.Get(engine.HeaderNotRun), engine.NotRun)
	is.Equal(r.Header.Get(engine.HeaderAttempt), "a1") // or the refusal would prove nothing
	is.Equal(len(e.Journal()), 0)
}

func TestFullAndResumedAnswers(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, func(c *EngineConfig) { c.HeartbeatEvery = time.Millisecond; c.Prefill = 5 * time.Second })
	sendOrder(e, 1, nil)
	waitForState(t, e, 1, directory.Ready)

	r, err := requestChat(t, e.Addr(), false, 10)
	is.NoErr(err)
	defer r.Body.Close()
	var whole completion
	is.NoErr(json.NewDecoder(r.Body).Decode(&whole))
	is.Equal(whole.Choices[0].Message.Content, Answer("m", prompt, 10))

	e.SetFaults(Faults{CutAfter: 4})
	r, err = requestChat(t, e.Addr(), true, 10, engine.HeaderAttempt, "a1")
	is.NoErr(err)
	defer r.Body.Close()
	is.Equal(r.Header.Get(engine.HeaderAttempt), "a1")
	head, ids, done := readStream(r.Body)
	is.True(!done)
	is.Equal(ids, []string{"0", "1", "2", "3"})

	e.SetFaults(Faults{})
	r, err = requestChat(t, e.Addr(), true, 10, engine.HeaderAttempt, "a2", engine.HeaderResumeFrom, "4")
	is.NoErr(err)
	defer r.Body.Close()
	tail, ids, done := readStream(r.Body)
	is.True(done)
	is.Equal(ids, []string{"4", "5", "6", "7", "8", "9"})
	is.Equal(head+tail, Answer("m", prompt, 10))

	waitFor(t, func() bool { return e.Journal()[2].End == Finished })
	journal := e.Journal()
	is.Equal(journal[1].End, Broken)
	is.Equal(journal[2].ResumeFrom, 4)
	is.Equal(journal[2].Tokens, 6)
}

func TestCanceledRequestFreesItsSlot(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, func(c *EngineConfig) { c.Slots = 1 })
	sendOrder(e, 1, nil)
	waitForState(t, e, 1, directory.Ready)
	e.SetFaults(Faults{StallAfter: 2})
	r, err := requestChat(t, e.Addr(), true, 10)
	is.NoErr(err)
	is.NoErr(r.Body.Close())
	waitFor(t, func() bool { return e.Journal()[0].End != Running })
	e.SetFaults(Faults{})
	r, err = requestChat(t, e.Addr(), true, 3)
	is.NoErr(err)
	defer r.Body.Close()
	_, _, done := readStream(r.Body)
	is.True(done)
}

func TestUnloadWaitsForRunningRequests(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, nil)
	sendOrder(e, 1, nil)
	waitForState(t, e, 1, directory.Ready)
	e.SetFaults(Faults{StallAfter: 1})
	r, err := requestChat(t, e.Addr(), true, 10)
	is.NoErr(err)
	defer r.Body.Close()
	waitFor(t, func() bool { return len(e.Journal()) == 1 })
	sendOrder(e, 1, func(o *engine.Order) { o.ID, o.Kind = "u1", engine.Unload })
	waitForState(t, e, 1, directory.Unloading)
	is.Equal(sendOrder(e, 2, nil).Reason, engine.OutOfMemory)
	is.NoErr(r.Body.Close())
	waitForState(t, e, 1, directory.Unloaded)
}

func TestStoreSharesThroughput(t *testing.T) {
	is := is.New(t)
	s := NewStore(StoreConfig{Fetch: 100 * time.Millisecond, Rate: 10000})
	is.NoErr(s.Start(t.Context()))
	t.Cleanup(s.Kill)
	fetchConcurrently := func(n int) time.Duration {
		start := time.Now()
		var group sync.WaitGroup
		for range n {
			group.Go(func() { _ = s.fetch(t.Context()) })
		}
		group.Wait()
		return time.Since(start)
	}
	alone := fetchConcurrently(1)
	is.True(fetchConcurrently(16) > 2*alone) // 16 fetches share a width of 4
	is.Equal(s.Stats().PeakFetches, 16)
	is.Equal(s.Stats().Fetches, 17)
}

func TestRemoteLoadGoesThroughStore(t *testing.T) {
	is := is.New(t)
	s := NewStore(StoreConfig{Scale: 0.002})
	is.NoErr(s.Start(t.Context()))
	t.Cleanup(s.Kill)
	e := startEngine(t, func(c *EngineConfig) { c.Copies = nil; c.Store = s.Addr() })
	sendOrder(e, 1, nil)
	waitForState(t, e, 1, directory.Ready)
	is.Equal(s.Stats().Fetches, 1)
	is.Equal(e.announcement().Copies, []directory.Copy{{Model: "m", Tier: directory.TierDisk}})
	adapter := func(o *engine.Order) { o.ID, o.Kind, o.Adapter = "a1", engine.LoadAdapter, "m-a" }
	is.Equal(sendOrder(e, 1, adapter).Outcome, engine.Accepted)
	waitFor(t, func() bool { return len(e.Replicas()[0].Adapters) == 1 })
	is.Equal(s.Stats().Adapters, 1)
}

func TestCacheEventsLagAndGap(t *testing.T) {
	is := is.New(t)
	var seen engine.Sequence
	c := newPrefixCache(4, time.Hour, 2)
	text := bytes.Repeat([]byte("x"), 2*engine.PrefixBlock)
	is.Equal(c.addPrompt("m", text), 0)
	is.Equal(c.addPrompt("m", text), len(text)) // both blocks are cached
	is.Equal(len(c.takeDueBatches()), 0)        // the lag has not passed
	c.lag = 0
	c.addPrompt("m", bytes.Repeat([]byte("y"), engine.PrefixBlock)) // the second batch, which is dropped
	c.addPrompt("m", bytes.Repeat([]byte("z"), engine.PrefixBlock))
	batches := c.takeDueBatches()
	is.Equal(len(batches), 2)
	batches[0].Incarnation, batches[1].Incarnation = 1, 1
	is.Equal(seen.Observe(&batches[0]), engine.Apply)
	is.Equal(seen.Observe(&batches[1]), engine.Gap)
	c.requestFullList()
	full := c.takeDueBatches()
	full[0].Incarnation = 1
	is.Equal(seen.Observe(&full[0]), engine.Replace)
	is.Equal(len(full[0].Events), 4)
}
