// Package dispatch decides, on one entry node, which upstream runs a call, which
// calls wait, in which order, and which are turned away.
//
// Load patterns:
//
//   - more models than fit at once: calls for a model that no upstream holds wait
//     and count as demand; a forecast of when the model can run decides whether
//     waiting can help (wait.go);
//   - more calls than slots: calls wait by priority and by what can still meet its
//     deadline, and those that cannot are turned away at once (wait.go);
//   - upstreams that differ in speed, are cold, full, failing or gone: the load
//     that upstreams state with their answers, and the outcomes of calls, steer
//     the choice (choose.go).
//
// A [Dispatcher] is owned by one goroutine. It has no clock, goroutine, I/O or
// randomness: time is an argument, and what is to be done comes back as values.
package dispatch
