// Package residency decides which models and adapters each engine holds, where
// more models are asked for than fit at once.
//
// Load patterns:
//
//   - many models that are asked for now and then: calls for a model that no
//     engine holds wait together; an engine whose own copy is nearest makes room
//     and loads it, and yields it to the next (choose.go);
//   - models that no engine has a copy of: the weight store is slow and limited,
//     so first copies are made in the order of what is asked for, and before
//     traffic begins (choose.go, store.go);
//   - demand that moves between models: rates follow within seconds (demand.go);
//   - adapters of a model that engines hold: small, quick, kept by last use
//     (adapters.go);
//   - orders that are lost, answered late or carried out late: each order states
//     how many orders the engine has accepted before it, and an engine whose
//     state is unclear is asked before it gets another one (orders.go).
//
// A [Planner] is owned by one goroutine, on the node that may send orders. It has
// no clock, goroutine, I/O or randomness.
package residency
