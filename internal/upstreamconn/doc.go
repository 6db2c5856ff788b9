// Package upstreamconn manages connections to upstreams and runs one HTTP/1.1 call at a
// time on each. Unlike a general HTTP client it never resends a call by itself, reports
// with each failure whether a byte of the call was written, recognizes answers that
// belong to another call, and never reuses a connection on which unexpected bytes
// arrived.
//
// An upstream may answer a call a second time, late, when the next answer is expected on the
// connection. Answers are told apart by the ID of their call, so that no connection carries two
// calls with one ID, and none is used again unless its upstream names the calls in its answers.
package upstreamconn
