// Package policybench drives the placement decisions in virtual time against
// small fakes: engines with tiers of checkpoint copies, a weight store that
// serves a few loads at full speed, and seeded arrivals. Baseline policies run
// on the same arrivals. It measures decisions; it does not model a network,
// processes or consensus beyond fixed delays.
package policybench
