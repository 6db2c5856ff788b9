package controller

import (
	"context"
	"os"
	"path/filepath"
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

// groupName marks the data folders of managed deployments.
const groupName = "managed"

// idBits keeps member ids exact in JSON numbers.
const idBits = 48

// founderID is the identity of a founding member, which all founders derive from
// its link address alike.
func founderID(link string) raft.MemberID {
	return raft.MemberID(xxhash.Sum64String("founder "+link)>>(64-idBits) | 1)
}

// newID draws the identity of a member that joins a group.
func newID() raft.MemberID {
	id := raft.MemberID(0)
	raw := uuid.New()
	for _, b := range raw[:idBits/8] {
		id = id<<8 | raft.MemberID(b)
	}
	return max(id, 1)
}

// foundingMembers are the seeds as members.
func foundingMembers(cfg config.Managed, links []string) []confstate.Member {
	members := make([]confstate.Member, len(links))
	for i, link := range links {
		members[i] = confstate.Member{ID: uint64(founderID(link)), Link: link, Operators: cfg.Seeds[i]}
	}
	return members
}

// founds reports whether this node is a founder of a new group.
func (c *Controller) founds() bool {
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

// fullDiskPause is how often a full disk is tried again.
const fullDiskPause = 300 * time.Millisecond

// waitForDisk opens the member's folder as soon as its disk takes writes again;
// ending the process would only start it anew.
func (c *Controller) waitForDisk(ctx context.Context) (raft.Restored, error) {
	for {
		restored, err := c.openDisk()
		if !errors.Is(err, syscall.ENOSPC) {
			return restored, err
		}
		c.log.Event("disk is full", eventlog.Fields{"folder": c.cfg.Data, "error": err.Error()})
		select {
		case <-time.After(fullDiskPause):
		case <-ctx.Done():
			return raft.Restored{}, ctx.Err()
		}
	}
}

// openDisk opens the member's folder. An empty folder becomes a founder's at the
// first start of the deployment, and otherwise that of a new member: it never
// takes up an identity whose votes may be forgotten.
func (c *Controller) openDisk() (raft.Restored, error) {
	restored, err := c.reopenDisk()
	var damaged *storage.DamagedError
	switch {
	case err == nil:
		return restored, nil
	case errors.Is(err, storage.ErrNotCreated):
	case errors.As(err, &damaged):
		// Its log may miss what it acknowledged; as a new member it promises nothing
		// that it does not hold.
		c.log.Event("log damaged", eventlog.Fields{"error": err.Error()})
	default:
		return raft.Restored{}, err
	}
	return c.createDisk()
}

func (c *Controller) reopenDisk() (raft.Restored, error) {
	id, err := storage.ReadIdentity(c.files, c.cfg.Data)
	if err != nil {
		return raft.Restored{}, err
	}
	disk, restored, err := storage.Open(storage.Options{Dir: c.cfg.Data, Identity: id, FS: c.files})
	if err != nil {
		return raft.Restored{}, err
	}
	c.disk, c.member = disk, id.Member
	c.log.Event("log opened", eventlog.Fields{
		"member": id.Member, "snapshot": restored.Snapshot.Index, "entries": len(restored.Entries),
	})
	return restored, nil
}

func (c *Controller) createDisk() (raft.Restored, error) {
	if err := emptyFolder(c.cfg.Data); err != nil {
		return raft.Restored{}, err
	}
	restored := raft.Restored{}
	c.member = newID()
	if c.founds() {
		founders := foundingMembers(c.cfg, c.seeds)
		c.store.found(founders)
		voters := make([]raft.MemberID, len(founders))
		for i, f := range founders {
			voters[i] = raft.MemberID(f.ID)
		}
		var err error
		if restored, err = replica.Founding(voters, c.store); err != nil {
			return raft.Restored{}, err
		}
		c.member = founderID(c.cfg.Listen.Links)
	}
	disk, err := storage.Create(storage.Options{
		Dir: c.cfg.Data, Identity: storage.Identity{Group: groupName, Member: c.member}, FS: c.files,
	}, restored)
	if err != nil {
		return raft.Restored{}, errors.Wrap(err, "create log")
	}
	c.disk = disk
	c.log.Event("log created", eventlog.Fields{"member": c.member, "founder": c.founds()})
	return restored, nil
}

// emptyFolder removes what an interrupted creation or a damaged log left.
func emptyFolder(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "make data folder")
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "read data folder")
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
			return errors.Wrap(err, "empty data folder")
		}
	}
	return nil
}
