// Package origin tells at which software version a stream began, so that it goes on at no other.
//
// Load pattern: upstreams of several software versions serve side by side, and what two of them
// write does not fit together. A stream that breaks off is taken up again within seconds, at any
// node, perhaps after the node that began it, all entry nodes or the leader were killed.
//
// Each service has a base version. A stream that begins at any other version is recorded in the
// replicated state before the caller receives its first event. A stream without a record therefore
// began at the base version. While one version serves, nothing is recorded.
//
// The base version may change only when no stream without a record can be left that began at the
// old one. An entry node may take a version for the base for BaseLease after it asked the leader; a
// caller may take a stream up until Lifetime after it began, or longer where its route lets it wait longer.
//
// [Table] is the replicated part, [Tracker] decides on the leader when the base changes and when
// records expire, and [View] is an entry node's part. None has a clock, goroutine or I/O.
package origin
