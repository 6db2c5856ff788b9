package gateway

import "expvar"

// Metrics counts requests by outcome, and the retries of their attempts.
type Metrics struct {
	// Answered counts requests whose answer was sent in full.
	Answered *expvar.Int
	// Refused counts refused requests by reason.
	Refused *expvar.Map
	// Broken counts answers that ended early after a part of them may have been sent.
	Broken *expvar.Int
	// Retries counts the retries that Router.MayRetry allowed.
	Retries *expvar.Int
	// Resumed counts those retries that were to resume a started stream.
	Resumed *expvar.Int
	// ForeignAnswers counts answers that were dropped because they carried the ID of
	// another attempt.
	ForeignAnswers *expvar.Int
	// ProvedRefusals counts answers that prove that the attempt was not run. DoubtfulRefusals
	// counts those that say so and prove nothing.
	ProvedRefusals   *expvar.Int
	DoubtfulRefusals *expvar.Int
	// ForeignEvents counts streams that were broken off because a line or a token in them was
	// not the attempt's.
	ForeignEvents *expvar.Int
	// Replayed counts recorded answers that were sent to repeated calls.
	Replayed *expvar.Int
}

// NewMetrics returns metrics with all counters at zero and registers them in m.
func NewMetrics(m *expvar.Map) *Metrics {
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	refused := new(expvar.Map).Init()
	m.Set("refused", refused)
	return &Metrics{
		Answered:         counter("answered"),
		Refused:          refused,
		Broken:           counter("broken"),
		Retries:          counter("retries"),
		Resumed:          counter("resumed"),
		ForeignAnswers:   counter("foreign_answers"),
		ForeignEvents:    counter("foreign_events"),
		ProvedRefusals:   counter("proved_refusals"),
		DoubtfulRefusals: counter("doubtful_refusals"),
		Replayed:         counter("replayed"),
	}
}
