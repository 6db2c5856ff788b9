// Package engine is the protocol between entry nodes and upstreams, over HTTP
// and JSON. Both directions are here: upstreams announce themselves and their
// cache events to a node (Handler), and a node sends orders to an upstream
// (Client, OrdersHandler). The headers of proxied requests are named here too.
// docs/PROTOCOLS.md describes the protocol for the authors of upstreams.
package engine

// Paths of the protocol.
const (
	// PathAnnounce takes a directory.Announcement. A node serves it.
	PathAnnounce = "/v1/announce"
	// PathCacheEvents takes CacheEvents. A node serves it.
	PathCacheEvents = "/v1/cache-events"
	// PathOrders takes an Order. An upstream serves it.
	PathOrders = "/v1/orders"
	// PathChatCompletions takes OpenAI chat completions. An engine serves it.
	PathChatCompletions = "/v1/chat/completions"
	// PathCompletions takes OpenAI completions. An engine serves it.
	PathCompletions = "/v1/completions"
)

// Headers of requests that a node proxies to an upstream, and of its answers.
const (
	// HeaderRequest identifies the caller's request over all its attempts. An
	// engine uses it as the identity of the completion.
	HeaderRequest = "X-Request-Id"
	// HeaderAttempt identifies one attempt. The answer repeats it.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderResumeFrom is the index of the first token to send. The answer
	// repeats it if the engine resumed there.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderPriority orders requests inside an engine; larger runs first.
	HeaderPriority = "X-Priority"
	// HeaderNotRun with the value "true" on a refusal is the upstream's proof
	// that it ran nothing.
	HeaderNotRun = "X-Not-Run"
	// HeaderIdempotencyKey is the caller's key, passed on unchanged.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// NotRun is the value of HeaderNotRun.
const NotRun = "true"
