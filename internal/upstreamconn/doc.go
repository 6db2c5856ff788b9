// Package upstreamconn keeps connections to upstreams and runs one HTTP/1.1 call
// at a time on each. Unlike a general HTTP client it never sends a call again by
// itself, says of each failure whether a byte of the call was written, tells an
// answer to another call from the one expected, and never reuses a connection
// on which bytes came that belong to no call.
package upstreamconn
