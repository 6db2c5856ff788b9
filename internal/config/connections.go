package config

import (
	"cmp"

	"github.com/agateslip/agateslip/internal/connlimit"
)

// Connections limits the connections to a process. Zero fields mean a part of the process's memory and descriptors.
type Connections struct {
	// Max is the number of connections of callers, or of operators and upstreams, that may be open at once.
	Max int `yaml:"max,omitempty" validate:"gte=0"`
	// PerAddress is the number of open connections of callers from one IP address; zero means that it is not limited,
	// since a load balancer may forward all callers from its own.
	PerAddress int `yaml:"perAddress,omitempty" validate:"gte=0"`
	// HeadsMB is the memory that the heads of all requests may take together, in MiB.
	HeadsMB int `yaml:"headsMB,omitempty" validate:"gte=0"`
}

// Shares returns the limits for a process with the given memory, in MiB, and descriptors. Zero means that they are not known.
func (c Connections) Shares(memoryMB, descriptors int) connlimit.Shares {
	s := connlimit.SharesOf(memoryMB, descriptors)
	s.Callers, s.Operators = cmp.Or(c.Max, s.Callers), cmp.Or(c.Max, s.Operators)
	s.HeadMemory = cmp.Or(int64(c.HeadsMB)<<20, s.HeadMemory)
	return s
}
