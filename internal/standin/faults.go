package standin

import (
	"sync"

	"github.com/agateslip/agateslip/internal/engine"
)

// Faults are the scripted faults of a stand-in.
type Faults struct {
	// Slow multiplies the duration of loads and fetches. Values below 1 have no effect.
	Slow float64 `json:"slow,omitempty"`
	// FailLoads is the number of upcoming loads that fail.
	FailLoads int `json:"failLoads,omitempty"`
	// DieInLoad kills the engine halfway through its next load.
	DieInLoad bool `json:"dieInLoad,omitempty"`
	// StallAfter stalls an answer after this many tokens until the client disconnects;
	// zero means never.
	StallAfter int `json:"stallAfter,omitempty"`
	// CutAfter resets the connection after this many tokens. For a call to a Service,
	// any positive value resets it after the work and before the answer. Zero means
	// never.
	CutAfter int `json:"cutAfter,omitempty"`
	// CutAnswer resets the connection in the middle of a Service's answer.
	CutAnswer bool `json:"cutAnswer,omitempty"`
	// AnswerDelay is added after the run was recorded in the journal and before the answer
	// starts.
	AnswerDelay engine.Millis `json:"answerDelay,omitempty"`
	// Pause is added before the first token of a generation, after the header of a
	// stream. Heartbeats are still sent.
	Pause engine.Millis `json:"pause,omitempty"`
	// NoAnswer accepts requests but neither runs nor answers them.
	NoAnswer bool `json:"noAnswer,omitempty"`
	// Refuse refuses requests with the header that proves that they did not run.
	Refuse bool `json:"refuse,omitempty"`
}

// faultState guards the active faults.
type faultState struct {
	mu    sync.Mutex
	value Faults
}

// set replaces the active faults.
func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = f
}

// get returns the active faults.
func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// consumeLoadFaults returns the faults that apply to the load that starts now, and
// consumes them.
func (s *faultState) consumeLoadFaults() (fail, die bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	die = s.value.DieInLoad
	s.value.DieInLoad = false
	if s.value.FailLoads > 0 {
		s.value.FailLoads--
		fail = true
	}
	return fail, die
}
