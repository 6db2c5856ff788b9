// Package controller is a control node of a managed deployment: a member of the
// control group that keeps the configuration, and, where it leads, the registry
// of upstreams and the planner that orders models onto engines.
//
// Everything acknowledged is durable on one node more than may be lost. A member
// whose disk is gone comes back under a new identity, without an operator.
package controller
