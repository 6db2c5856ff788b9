// Package engine implements the HTTP and JSON protocol between entry nodes and
// upstreams. Upstreams send announcements and cache events to a node, which serves them
// with Handler. A node sends orders with Client to an upstream, which may serve them
// with OrdersHandler. The package also names the headers of proxied requests.
// docs/PROTOCOLS.md describes the protocol for authors of upstreams.
package engine

// Paths of the protocol.
const (
	// PathAnnounce accepts a directory.Announcement. Nodes serve it.
	PathAnnounce = "/v1/announce"
	// PathCacheEvents accepts CacheEvents. Nodes serve it.
	PathCacheEvents = "/v1/cache-events"
	// PathOrders accepts an Order. Upstreams serve it.
	PathOrders = "/v1/orders"
	// PathChatCompletions accepts OpenAI chat completions. Engines serve it.
	PathChatCompletions = "/v1/chat/completions"
	// PathCompletions accepts OpenAI completions. Engines serve it.
	PathCompletions = "/v1/completions"
)

// Headers of requests that a node proxies to an upstream, and of its answers.
const (
	// HeaderRequest identifies the caller's request across all its attempts. An engine
	// uses it as the ID of the completion.
	HeaderRequest = "X-Request-Id"
	// HeaderAttempt identifies one attempt. The answer repeats it.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderResumeFrom is the index of the first token to send. The answer
	// repeats it if the engine resumed there.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderPriority orders requests inside an engine; larger values run first.
	HeaderPriority = "X-Priority"
	// HeaderNotRun with the value NotRun on a refusal states that the upstream ran
	// nothing.
	HeaderNotRun = "X-Not-Run"
	// HeaderIdempotencyKey is the caller's key, passed on unchanged.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// NotRun is the value of HeaderNotRun.
const NotRun = "true"
