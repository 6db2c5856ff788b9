package gateway

import "expvar"

// Metrics counts outcomes of calls.
type Metrics struct {
	// Answered counts calls whose whole answer was sent.
	Answered *expvar.Int
	// Refused counts refusals by reason.
	Refused *expvar.Map
	// Broken counts answers that broke off after their start.
	Broken *expvar.Int
	// Retries counts further attempts.
	Retries *expvar.Int
	// Resumed counts streams that were resumed on another attempt.
	Resumed *expvar.Int
	// Foreign counts answers that belonged to another attempt and were dropped.
	Foreign *expvar.Int
	// Replayed counts answers taken from the ledger.
	Replayed *expvar.Int
}

// NewMetrics returns counters at zero, registered in m.
func NewMetrics(m *expvar.Map) *Metrics {
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	refused := new(expvar.Map).Init()
	m.Set("refused", refused)
	return &Metrics{
		Answered: counter("answered"),
		Refused:  refused,
		Broken:   counter("broken"),
		Retries:  counter("retries"),
		Resumed:  counter("resumed"),
		Foreign:  counter("foreign_answers"),
		Replayed: counter("replayed"),
	}
}
