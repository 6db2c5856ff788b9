package node

import (
	"sync"
	"time"
)

// freshFor is how long a proof that this node's contracts are in force counts.
const freshFor = 2 * time.Second

// maxOpenProofs bounds the proofs that wait for entries to be applied.
const maxOpenProofs = 16

// openProof becomes a proof once the entry at commit is applied here.
type openProof struct {
	asked  time.Duration
	commit uint64
}

// currency knows since when this node's contracts are proved to be in force.
// A proof counts from when it was asked for, never from when it came.
type currency struct {
	mu     sync.Mutex
	proved time.Duration
	any    bool
	open   []openProof
}

// offer takes the word of a confirmed leader, or of a majority of voters, that
// the entries up to commit were all that was accepted at the instant asked.
func (c *currency) offer(asked time.Duration, commit uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) == maxOpenProofs {
		c.open = c.open[1:]
	}
	c.open = append(c.open, openProof{asked: asked, commit: commit})
}

// age is the age of the best proof, given what is applied. It is false where
// there has been none.
func (c *currency) age(now time.Duration, applied uint64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.open[:0]
	for _, p := range c.open {
		if p.commit > applied {
			kept = append(kept, p)
			continue
		}
		if !c.any || p.asked > c.proved {
			c.proved = p.asked
			c.any = true
		}
	}
	c.open = kept
	return now - c.proved, c.any
}
