package replica

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// catchUpPoll is how often Replace looks whether a learner has caught up.
const catchUpPoll = 50 * time.Millisecond

// change computes the wanted membership from the present one; false means that
// it is reached already.
type change func(present raft.Members) (raft.Members, bool)

// AddLearner adds a member without a vote. It does nothing for a member of the
// group. All changes return the core's refusals, for which errors.Is tells
// raft.ErrChangePending, raft.ErrNotCaughtUp and raft.ErrUnsafeChange apart.
func (r *Replica) AddLearner(ctx context.Context, id raft.MemberID) error {
	return r.changeMembers(ctx, func(m raft.Members) (raft.Members, bool) {
		if slices.Contains(m.Voters, id) || slices.Contains(m.Learners, id) {
			return m, false
		}
		m.Learners = append(m.Learners, id)
		return m, true
	})
}

// Promote gives a learner that has caught up its vote. It does nothing for a
// voter.
func (r *Replica) Promote(ctx context.Context, id raft.MemberID) error {
	return r.changeMembers(ctx, func(m raft.Members) (raft.Members, bool) {
		if slices.Contains(m.Voters, id) {
			return m, false
		}
		m.Learners = without(m.Learners, id)
		m.Voters = append(m.Voters, id)
		return m, true
	})
}

// Remove takes a voter or learner out of the group. It does nothing for other
// members.
func (r *Replica) Remove(ctx context.Context, id raft.MemberID) error {
	return r.changeMembers(ctx, func(m raft.Members) (raft.Members, bool) {
		if !slices.Contains(m.Voters, id) && !slices.Contains(m.Learners, id) {
			return m, false
		}
		m.Voters = without(m.Voters, id)
		m.Learners = without(m.Learners, id)
		return m, true
	})
}

// Replace puts a new member in the place of one that lost its disk: it adds
// the new one as a learner, waits until that has caught up, gives it its vote
// and removes the old one. After an error it can be called again.
func (r *Replica) Replace(ctx context.Context, old, replacement raft.MemberID) error {
	if err := r.AddLearner(ctx, replacement); err != nil {
		return errors.Wrapf(err, "add learner %d", replacement)
	}
	if err := r.promoteWhenCaughtUp(ctx, replacement); err != nil {
		return errors.Wrapf(err, "promote %d", replacement)
	}
	return errors.Wrapf(r.Remove(ctx, old), "remove %d", old)
}

func (r *Replica) promoteWhenCaughtUp(ctx context.Context, id raft.MemberID) error {
	ticker := time.NewTicker(catchUpPoll)
	defer ticker.Stop()
	for {
		err := r.Promote(ctx, id)
		if !errors.Is(err, raft.ErrNotCaughtUp) {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return err
		}
	}
}

// changeMembers commits a change of the membership.
func (r *Replica) changeMembers(ctx context.Context, want change) error {
	_, err := r.submit(ctx, func(core *raft.Core, now raft.Instant) (uint64, uint64, error) {
		next, needed := want(core.Status().Members)
		if !needed {
			return 0, 0, errNoChange
		}
		return core.ProposeMembers(next, now)
	})
	if errors.Is(err, errNoChange) {
		return nil
	}
	return err
}

var errNoChange = errors.New("membership is as wanted")

func without(ids []raft.MemberID, id raft.MemberID) []raft.MemberID {
	return slices.DeleteFunc(slices.Clone(ids), func(other raft.MemberID) bool { return other == id })
}

// Transfer hands leadership to the voter that holds most of the log and waits
// until this replica no longer leads. It does nothing on other members.
func (r *Replica) Transfer(ctx context.Context) error {
	var refused error
	err := r.do(ctx, func() { refused = r.startTransfer() })
	if err == nil {
		err = refused
	}
	if err != nil {
		return err
	}
	for {
		status, changed := r.Changed()
		if status.Role != raft.Leader {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.stopped:
			return ErrStopped
		}
	}
}

func (r *Replica) startTransfer() error {
	var err error
	r.withCore(func(core *raft.Core, now raft.Instant) {
		status := core.Status()
		if status.Role != raft.Leader {
			return
		}
		target := mostAdvanced(status)
		if target == 0 {
			err = ErrNoTarget
			return
		}
		err = core.Transfer(target, now)
	})
	return err
}

// mostAdvanced returns the other voter that holds most of the log, or zero.
func mostAdvanced(status raft.Status) raft.MemberID {
	var best raft.MemberID
	for _, id := range status.Members.Voters {
		if id == status.ID {
			continue
		}
		if best == 0 || status.Match[id] > status.Match[best] {
			best = id
		}
	}
	return best
}
