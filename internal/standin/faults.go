package standin

import (
	"sync"

	"github.com/agateslip/agateslip/internal/engine"
)

// Faults script how a stand-in misbehaves from now on.
type Faults struct {
	// Slow multiplies the time of loads and fetches; zero means 1.
	Slow float64 `json:"slow,omitempty"`
	// FailLoads is the number of next loads that end as failed.
	FailLoads int `json:"failLoads,omitempty"`
	// DieInLoad kills the engine halfway through its next load.
	DieInLoad bool `json:"dieInLoad,omitempty"`
	// StallAfter stops streams after this many tokens; zero means never.
	StallAfter int `json:"stallAfter,omitempty"`
	// CutAfter resets the connection after this many tokens, or after the work
	// of a plain call is done and before its answer; zero means never.
	CutAfter int `json:"cutAfter,omitempty"`
	// CutAnswer resets the connection in the middle of a plain answer.
	CutAnswer bool `json:"cutAnswer,omitempty"`
	// AnswerDelay is held before an answer starts, after the work is begun.
	AnswerDelay engine.Millis `json:"answerDelay,omitempty"`
	// Pause is held before the first token of a generation, after the header of
	// a stream; heartbeats go on.
	Pause engine.Millis `json:"pause,omitempty"`
	// NoAnswer takes requests, runs nothing and never answers.
	NoAnswer bool `json:"noAnswer,omitempty"`
	// Refuse refuses requests with proof that they did not run.
	Refuse bool `json:"refuse,omitempty"`
}

// faultBox holds the faults in force.
type faultBox struct {
	mu    sync.Mutex
	value Faults
}

// set replaces the faults.
func (b *faultBox) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.value = f
}

// get is the faults in force.
func (b *faultBox) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value
}

// takeLoad uses up the faults of one load.
func (b *faultBox) takeLoad() (fail, die bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	die = b.value.DieInLoad
	b.value.DieInLoad = false
	if b.value.FailLoads > 0 {
		b.value.FailLoads--
		fail = true
	}
	return fail, die
}
