// Package quarantine finds what crashes upstreams: requests, and parts of prompts. Calls that
// have it are refused before they reach another upstream.
//
// Load pattern: one request crashes every upstream that runs it. It comes again and again, at any
// entry node, also while all upstreams of its service are down; the repeats that wait meanwhile
// all start when the first upstream returns. Or one part of a prompt does, whatever else the prompt
// contains, among sound calls that share all of their other parts. Each crash also ends the sound
// calls that run on the upstream.
//
// What calls have in common is a [Trait]: being the same request, or a shared part of the prompt.
// An upstream that crashed is evidence against the traits of the calls that were lost with it. A
// call that is answered clears its traits; an upstream that still sends bytes has not crashed.
// Three crashes that nothing explains otherwise put a trait in quarantine:
//
//   - A request at once. Only its own repeats are refused.
//   - A part of prompts only if the service serves other calls, as an outage of all upstreams must
//     not shut out what happened to run. The parts that were present each time go with it:
//     a call is refused only if it has all of them.
//
// Evidence by chance is possible: calls that were lost beside the one that crashes, or in
// three outages. So single calls are let through on trial, a few at increasing intervals;
// a trial that is answered ends the quarantine on all nodes.
//
// A [Detector] is owned by one goroutine. It has no clock, goroutine, I/O or randomness.
package quarantine
