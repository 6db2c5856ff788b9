package controller

import (
	"context"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

// groupName is the group name in the identity files of managed deployments.
const groupName = "managed"

// memberIDBits is the size of a member ID. It is less than 53 bits, so that a JSON number
// represents the ID exactly.
const memberIDBits = 48

// founderID returns the member ID of a founding member, derived from its link address, so
// that all founders compute the same IDs.
func founderID(link string) raft.MemberID {
	return raft.MemberID(xxhash.Sum64String("founder "+link)>>(64-memberIDBits) | 1)
}

// newMemberID returns a random ID for a member that joins an existing group.
func newMemberID() raft.MemberID {
	id := raft.MemberID(0)
	raw := uuid.New()
	for _, b := range raw[:memberIDBits/8] {
		id = id<<8 | raft.MemberID(b)
	}
	return max(id, 1)
}

// foundingMembers returns the member entries of the seeds. links holds their link
// addresses in the order of cfg.Seeds.
func foundingMembers(cfg config.Managed, links []string) []confstate.Member {
	members := make([]confstate.Member, len(links))
	for i, link := range links {
		members[i] = confstate.Member{ID: uint64(founderID(link)), Link: link, Operators: cfg.Seeds[i]}
	}
	return members
}

// isFounder reports whether this node is a founding member of a new group.
func (c *Controller) isFounder() bool {
	if !c.cfg.FirstStart {
		return false
	}
	for _, s := range c.cfg.Seeds {
		if s == c.cfg.Listen.Operators {
			return true
		}
	}
	return false
}

// diskFullRetryInterval is the pause between attempts to open the log while the disk has no
// room.
const diskFullRetryInterval = 300 * time.Millisecond

// waitForDisk opens or creates the log and retries while the disk has no room. Exiting
// instead would only cause the process to be restarted, which a supervisor may give up.
func (c *Controller) waitForDisk(ctx context.Context) (raft.DurableState, error) {
	for {
		restored, err := c.openOrCreateLog()
		if !lacksRoom(err) {
			return restored, err
		}
		c.log.Event("disk is full", eventlog.Fields{"folder": c.cfg.Data, "error": err.Error()})
		select {
		case <-time.After(diskFullRetryInterval):
		case <-ctx.Done():
			return raft.DurableState{}, ctx.Err()
		}
	}
}

// lacksRoom reports whether a write failed because the disk is full or a quota is used up.
func lacksRoom(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// openOrCreateLog opens the log in the data folder, or creates one if there is none or it
// is damaged. At the first start of the deployment a new log is that of a founder if this
// node is a seed; otherwise, or after damage, it gets a new member ID. A node never reuses
// an ID whose votes may be lost.
func (c *Controller) openOrCreateLog() (raft.DurableState, error) {
	restored, err := c.openLog()
	var damaged *storage.DamagedError
	switch {
	case err == nil:
		return restored, nil
	case errors.Is(err, storage.ErrNotCreated):
		return c.createLog(c.isFounder())
	case errors.As(err, &damaged):
		// The log may lack entries that the member acknowledged. A new member has
		// acknowledged nothing beyond its log.
		c.log.Event("log damaged", eventlog.Fields{"error": err.Error()})
		if err := storage.Discard(c.files, c.cfg.Data); err != nil {
			return raft.DurableState{}, err
		}
		return c.createLog(false)
	default:
		return raft.DurableState{}, err
	}
}

func (c *Controller) openLog() (raft.DurableState, error) {
	id, err := storage.ReadIdentity(c.files, c.cfg.Data)
	if err != nil {
		return raft.DurableState{}, err
	}
	disk, restored, err := storage.Open(storage.Options{Dir: c.cfg.Data, Identity: id, FS: c.files})
	if err != nil {
		return raft.DurableState{}, err
	}
	c.disk, c.member = disk, id.Member
	c.log.Event("log opened", eventlog.Fields{
		"member": id.Member, "snapshot": restored.Snapshot.Index, "entries": len(restored.Entries),
	})
	return restored, nil
}

func (c *Controller) createLog(founder bool) (raft.DurableState, error) {
	restored := raft.DurableState{}
	c.member = newMemberID()
	if founder {
		founders := foundingMembers(c.cfg, c.seeds)
		c.stateMachine.setFounders(founders)
		voters := make([]raft.MemberID, len(founders))
		for i, f := range founders {
			voters[i] = raft.MemberID(f.ID)
		}
		var err error
		if restored, err = replica.InitialState(voters, c.stateMachine); err != nil {
			return raft.DurableState{}, err
		}
		c.member = founderID(c.cfg.Listen.Links)
	}
	disk, err := storage.Create(storage.Options{
		Dir: c.cfg.Data, Identity: storage.Identity{Group: groupName, Member: c.member}, FS: c.files,
	}, restored)
	if err != nil {
		return raft.DurableState{}, errors.Wrap(err, "create log")
	}
	c.disk = disk
	c.log.Event("log created", eventlog.Fields{"member": c.member, "founder": founder})
	return restored, nil
}
