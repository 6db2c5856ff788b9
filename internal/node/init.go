package node

import (
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// InitVoter prepares the data folder of a founding member.
func InitVoter(cfg config.Config) (raft.MemberID, error) {
	var voters []raft.MemberID
	for _, p := range cfg.Peers {
		if p.Voter != 0 {
			voters = append(voters, raft.MemberID(p.Voter))
		}
	}
	restored, err := replica.Founding(voters, newStore())
	if err != nil {
		return 0, err
	}
	return create(cfg, raft.MemberID(cfg.Self().Voter), restored)
}

// InitRejoin prepares the data folder of a member that takes the place of a
// lost one. It has a new identity and no vote until operators give it one.
func InitRejoin(cfg config.Config) (raft.MemberID, error) {
	raw := uuid.New()
	id := raft.MemberID(0)
	for _, b := range raw[:rejoinIDBytes] {
		id = id<<8 | raft.MemberID(b)
	}
	return create(cfg, id, raft.Restored{})
}

// rejoinIDBytes keeps drawn member ids exact in JSON numbers.
const rejoinIDBytes = 6

func create(cfg config.Config, id raft.MemberID, restored raft.Restored) (raft.MemberID, error) {
	if cfg.Data == "" {
		return 0, errors.New("data: this node has no data folder")
	}
	disk, err := storage.Create(storage.Options{Dir: cfg.Data, Identity: storage.Identity{Group: cfg.Group, Member: id}}, restored)
	if err != nil {
		return 0, err
	}
	return id, disk.Close()
}
