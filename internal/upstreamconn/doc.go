// Package upstreamconn manages connections to upstreams and runs one HTTP/1.1 call at a
// time on each. Unlike a general HTTP client it never resends a call by itself, reports
// with each failure whether a byte of the call was written, recognizes answers that
// belong to another call, and never reuses a connection on which unexpected bytes
// arrived.
package upstreamconn
