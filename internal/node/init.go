package node

import (
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/replica"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// InitVoter creates the data folder of a founding voter and returns its member ID.
func InitVoter(cfg config.Config) (raft.MemberID, error) {
	var voters []raft.MemberID
	for _, p := range cfg.Peers {
		if p.Voter != 0 {
			voters = append(voters, raft.MemberID(p.Voter))
		}
	}
	restored, err := replica.InitialState(voters, newStore())
	if err != nil {
		return 0, err
	}
	return createDataFolder(cfg, raft.MemberID(cfg.Self().Voter), restored)
}

// InitRejoin creates the data folder of a member that replaces a lost one and returns
// its random member ID. The new member has no vote until an operator adds it.
func InitRejoin(cfg config.Config) (raft.MemberID, error) {
	raw := uuid.New()
	id := raft.MemberID(0)
	for _, b := range raw[:rejoinIDBytes] {
		id = id<<8 | raft.MemberID(b)
	}
	return createDataFolder(cfg, id, raft.DurableState{})
}

// rejoinIDBytes is the length of a random member ID: 48 bits are exact in JSON numbers.
const rejoinIDBytes = 6

// createDataFolder creates the data folder for a member with its initial Raft state.
func createDataFolder(cfg config.Config, id raft.MemberID, restored raft.DurableState) (raft.MemberID, error) {
	if cfg.Data == "" {
		return 0, errors.New("data: this node has no data folder")
	}
	disk, err := storage.Create(storage.Options{Dir: cfg.Data, Identity: storage.Identity{Group: cfg.Group, Member: id}}, restored)
	if err != nil {
		return 0, err
	}
	return id, disk.Close()
}
