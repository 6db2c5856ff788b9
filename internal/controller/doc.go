// Package controller implements a control node of a managed deployment. A control node is
// a member of the Raft group that replicates the configuration. The leader also keeps the
// registry of upstreams and runs the planner that orders engines to load and unload
// models.
//
// A configuration change is acknowledged once it is durable on one node more than the
// number of nodes that may be lost at once. A member that lost its disk rejoins under a
// new identity without an operator's help.
package controller
