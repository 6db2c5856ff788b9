package controller

import (
	"context"
)

// PromoteLearners makes all learners voters.
func (c *Controller) PromoteLearners(ctx context.Context) error {
	for _, id := range c.raftReplica.Status().Members.Learners {
		if err := c.raftReplica.Promote(ctx, id); err != nil {
			return err
		}
	}
	return nil
}
