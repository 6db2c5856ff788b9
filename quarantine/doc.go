// Package quarantine finds the parts of prompts that crash engines, so that calls with them
// are refused before they reach another engine.
//
// Load pattern: one part of a prompt crashes every engine that begins to answer it, whatever
// else the prompt contains. Calls with it arrive at any entry node, a few a second, among
// sound calls that share all of their other parts. Each crash also ends the sound calls that
// run on the engine.
//
// An engine that crashed is evidence against every part of the calls on it that had not
// begun to answer. A call that is answered clears its parts; an engine that still sends bytes
// has not crashed. A part that is present in
// several crashes and that nothing clears is quarantined, together with the parts that were
// present each time: one call is refused only if it has all of them.
//
// A [Detector] is owned by one goroutine. It has no clock, goroutine, I/O or randomness.
package quarantine
