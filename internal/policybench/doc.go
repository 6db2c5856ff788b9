// Package policybench is a discrete-event simulation that compares placement policies on
// the same seeded calls. It runs package placement, or one of the baseline policies,
// against simulated engines with tiers of checkpoint copies and a weight store whose
// throughput a few loads saturate. Processes, the network and consensus are modeled only
// as fixed delays.
package policybench
