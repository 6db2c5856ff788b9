// Package residency decides which models and adapters each engine holds when calls
// ask for more models than fit at once.
//
// Load patterns:
//
//   - Many models that are each asked for now and then: calls for a model that no
//     engine holds wait together. An engine with a near copy evicts other models,
//     loads this one, and gives it up again for the next (choose.go).
//   - Models of which no engine has a copy: the weight store is slow and limited, so
//     first copies are made in order of demand, also before traffic begins
//     (choose.go, store.go, storelimiter.go).
//   - Traffic that begins at full strength: a platform places busy models on many engines,
//     so a model's holders tell its rate before any call has. Engines that are taken from
//     a busy model before its rate is learned cannot be given back, because copies are
//     few and the weight store is slow (prior.go).
//   - More calls for a model than its engines have slots for: other engines with a copy
//     load it too (slowdown.go).
//   - Demand that moves between models: arrival rates follow within seconds
//     (demand.go).
//   - Adapters of models that engines hold: they are small and quick to load, and the
//     least recently used are evicted (adapters.go).
//   - Orders that are lost, answered late or carried out late: each order states how
//     many orders the engine has accepted before it, and an engine whose state is
//     unclear must report before it gets another order (orders.go).
//
// A [Planner] is owned by one goroutine, on the node that may send orders. It has no
// clock, goroutine, I/O or randomness.
package residency
