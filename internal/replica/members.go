package replica

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/raft"
)

// catchUpPollInterval is how often Replace tries to promote a learner that has not
// caught up.
const catchUpPollInterval = 50 * time.Millisecond

// membershipChange returns the desired membership, computed from the current one,
// and false if no change is needed.
type membershipChange func(current raft.Members) (raft.Members, bool)

// AddLearner adds a member without a vote. It does nothing if id is already a voter
// or learner. AddLearner, Promote and Remove return the errors of Propose. If the
// core refuses the change, the error matches raft.ErrChangePending,
// raft.ErrNotCaughtUp or raft.ErrUnsafeChange with errors.Is.
func (r *Replica) AddLearner(ctx context.Context, id raft.MemberID) error {
	return r.changeMembers(ctx, func(m raft.Members) (raft.Members, bool) {
		if slices.Contains(m.Voters, id) || slices.Contains(m.Learners, id) {
			return m, false
		}
		m.Learners = append(m.Learners, id)
		return m, true
	})
}

// Promote makes a learner that has caught up a voter. It does nothing for a voter.
func (r *Replica) Promote(ctx context.Context, id raft.MemberID) error {
	return r.changeMembers(ctx, func(m raft.Members) (raft.Members, bool) {
		if slices.Contains(m.Voters, id) {
			return m, false
		}
		m.Learners = withoutMember(m.Learners, id)
		m.Voters = append(m.Voters, id)
		return m, true
	})
}

// Remove removes a voter or learner from the group. It does nothing if id is
// neither.
func (r *Replica) Remove(ctx context.Context, id raft.MemberID) error {
	return r.changeMembers(ctx, func(m raft.Members) (raft.Members, bool) {
		if !slices.Contains(m.Voters, id) && !slices.Contains(m.Learners, id) {
			return m, false
		}
		m.Voters = withoutMember(m.Voters, id)
		m.Learners = withoutMember(m.Learners, id)
		return m, true
	})
}

// Exchange removes members and adds others without a vote in one step. At most one of those removed may be a
// voter. It returns the errors of AddLearner.
func (r *Replica) Exchange(ctx context.Context, removed, added []raft.MemberID) error {
	return r.changeMembers(ctx, func(m raft.Members) (raft.Members, bool) {
		before := len(m.Voters) + len(m.Learners)
		for _, id := range removed {
			m.Voters = withoutMember(m.Voters, id)
			m.Learners = withoutMember(m.Learners, id)
		}
		needed := len(m.Voters)+len(m.Learners) < before
		for _, id := range added {
			if !slices.Contains(m.Voters, id) && !slices.Contains(m.Learners, id) {
				m.Learners = append(m.Learners, id)
				needed = true
			}
		}
		return m, needed
	})
}

// Replace replaces a member that lost its disk. It adds the replacement as a
// learner, promotes it once it has caught up, and removes the old member. Each
// step does nothing if it is already done, so after an error Replace can be
// called again.
func (r *Replica) Replace(ctx context.Context, old, replacement raft.MemberID) error {
	if err := r.AddLearner(ctx, replacement); err != nil {
		return errors.Wrapf(err, "add learner %d", replacement)
	}
	if err := r.promoteWhenCaughtUp(ctx, replacement); err != nil {
		return errors.Wrapf(err, "promote %d", replacement)
	}
	return errors.Wrapf(r.Remove(ctx, old), "remove %d", old)
}

// promoteWhenCaughtUp retries Promote until the learner has caught up. It returns
// raft.ErrNotCaughtUp if the context ends first.
func (r *Replica) promoteWhenCaughtUp(ctx context.Context, id raft.MemberID) error {
	ticker := time.NewTicker(catchUpPollInterval)
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

// changeMembers proposes a membership change and waits until it is applied. It
// does nothing if no change is needed.
func (r *Replica) changeMembers(ctx context.Context, change membershipChange) error {
	_, err := r.submit(ctx, func(core *raft.Core, now raft.Instant) (uint64, uint64, error) {
		next, needed := change(core.Status().Members)
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

// errNoChange means that the membership needs no change, so that nothing is
// proposed.
var errNoChange = errors.New("membership needs no change")

// withoutMember returns a copy of ids that does not contain id.
func withoutMember(ids []raft.MemberID, id raft.MemberID) []raft.MemberID {
	return slices.DeleteFunc(slices.Clone(ids), func(other raft.MemberID) bool { return other == id })
}

// Transfer transfers leadership to the other voter that holds the longest part of
// the log and waits until this replica no longer leads. It does nothing if this
// replica does not lead, and returns ErrNoOtherVoter if no other voter replies.
func (r *Replica) Transfer(ctx context.Context) error {
	var startErr error
	err := r.runOnOwner(ctx, func() { startErr = r.startTransfer() })
	if err == nil {
		err = startErr
	}
	if err != nil {
		return err
	}
	for {
		status, changed := r.WatchStatus()
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

// startTransfer asks the core to transfer leadership. It runs on the owner
// goroutine.
func (r *Replica) startTransfer() error {
	var err error
	r.withCore(func(core *raft.Core, now raft.Instant) {
		status := core.Status()
		if status.Role != raft.Leader {
			return
		}
		target := mostUpToDateVoter(status)
		if target == 0 {
			err = ErrNoOtherVoter
			return
		}
		err = core.TransferLeadership(target, now)
	})
	return err
}

// mostUpToDateVoter returns the voter other than this member with the highest
// match index of those that reply, or zero if no other voter replies.
func mostUpToDateVoter(status raft.Status) raft.MemberID {
	var best raft.MemberID
	for _, id := range status.Members.Voters {
		if id == status.ID || slices.Contains(status.Unresponsive, id) {
			continue
		}
		if best == 0 || status.Match[id] > status.Match[best] {
			best = id
		}
	}
	return best
}
