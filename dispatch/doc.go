// Package dispatch decides, on one entry node, which upstream runs a call, which
// calls wait and in which order, and which calls are refused.
//
// It handles these load patterns:
//
//   - More models than fit into memory at once: calls for a model that no upstream
//     holds wait and count as demand. A forecast of when the model can run decides
//     whether waiting helps (wait.go).
//   - More calls than slots: calls wait in order of priority and then of the time at
//     which their answer is due. Calls that cannot start in time are refused early
//     instead of waiting until their deadline (wait.go).
//   - One of several tenants calls many times as often as the others, or urgent calls alone exceed the room: tenants
//     take turns by their weights, and none starves (fair.go).
//   - Upstreams that differ in speed, or are cold, full, failing or gone: the load
//     that upstreams report with their answers and the results of calls determine
//     the choice (choose.go).
//   - Many nodes that choose from counts which are some hundred milliseconds old: each
//     call draws among the upstreams that the calls since then would have been spread
//     over (spread.go).
//   - Demand that moves to a model which few upstreams hold: while their calls exceed what they can
//     run, those that are due soon are refused at once, the less urgent ones first (overload.go).
//   - Prompts that differ several times in length: engines get only as many as their memory holds, whatever
//     their free slots (memory.go).
//   - Upstreams that share their machines with others, which slow them down for moments (pace.go).
//   - Long prompts beside short ones, at engines that read them at different speeds: a call that is due soon goes
//     where its first event is expected in time, and patient ones gather at a part of the engines (prefill.go).
//   - Upstreams that leave or ask for a pause: what an upstream says with its answers
//     holds whatever is announced meanwhile (request.go).
//   - Upstreams that name a rate for all nodes together: calls go to other upstreams, or wait
//     for a permit of the leader in order of priority, or are refused at once with the time
//     at which one can be expected (ratelimit.go).
//   - Upstreams that are brittle: of several nodes that see the same free slots most calls would be
//     turned away. The leader grants the slots; without it, each node keeps to its part of
//     them (slots.go, brittle.go).
//   - Streams that go on: only upstreams with the software that began one are chosen, and they
//     come before new calls (version.go).
//   - Upstreams that fall silent while their connections stay open: a call that may
//     run again moves to another upstream (stall.go).
//
// A [Dispatcher] is owned by one goroutine. It has no clock, goroutine, I/O or
// randomness: the caller passes the time and carries out the returned decisions.
package dispatch
