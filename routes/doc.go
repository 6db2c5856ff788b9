// Package routes is the part of a configuration that says which service answers
// a request: routes by host and path prefix, weights over services, and what a
// route promises its callers. It checks a whole configuration and finds the
// route of a request.
//
// A [Configuration] never changes once it is in force. A [Table] is built from
// it once and may be read from any goroutine. The package has no clock,
// goroutine, I/O or randomness.
package routes
