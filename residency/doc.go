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
