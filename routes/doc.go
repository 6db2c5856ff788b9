// Package routes defines the configuration that operators set: routes by host and path
// prefix, what each route promises its callers, the services behind the routes with their
// weights, and limits for callers. It validates a configuration and finds the route of a
// request.
//
// A [Configuration] is immutable once it is active. A [Table] is built from a
// configuration and is safe for concurrent use. The package has no clock, goroutine, I/O
// or randomness.
package routes
