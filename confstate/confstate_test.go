package confstate_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/quarantine"
)

func configureCommand(version uint64, text string) confstate.Command {
	return confstate.Command{Configure: &confstate.Configure{Version: version, Document: []byte(text)}}
}

func TestHighestVersionWins(t *testing.T) {
	is := is.New(t)
	s := confstate.New()
	is.Equal(s.Apply(1, configureCommand(7, "a")), confstate.Accepted)
	is.Equal(s.Apply(2, configureCommand(7, "a")), confstate.Repeated)
	is.Equal(s.Apply(3, configureCommand(7, "b")), confstate.Conflict)
	is.Equal(s.Apply(4, configureCommand(3, "c")), confstate.Overtaken)
	is.Equal(string(s.Document), "a")
	is.Equal(s.Apply(5, configureCommand(9, "d")), confstate.Accepted)
	is.Equal(s.Version, uint64(9))
}

func TestFenceIncreases(t *testing.T) {
	is := is.New(t)
	s := confstate.New()
	one, two := "one", "two"
	s.Apply(4, confstate.Command{SetOrderer: &one})
	first := s.Orderer
	s.Apply(9, confstate.Command{SetOrderer: &two})
	is.True(s.Orderer.Fence > first.Fence)
	is.Equal(s.Orderer.Node, "two")
}

// TestJoinReplacesMemberAtSameAddress joins a member that lost its disk: it comes back at
// its old address with a new ID.
func TestJoinReplacesMemberAtSameAddress(t *testing.T) {
	is := is.New(t)
	s := confstate.New(confstate.Member{ID: 1, Link: "a:1"}, confstate.Member{ID: 2, Link: "b:1"})
	s.Apply(1, confstate.Command{Join: &confstate.Member{ID: 77, Link: "a:1"}})
	data, err := s.Marshal()
	is.NoErr(err)
	got, err := confstate.Unmarshal(data)
	is.NoErr(err)
	_, oldMemberKept := got.Members[1]
	is.True(!oldMemberKept)
	is.Equal(got.Members[77].Link, "a:1")
	is.Equal(len(got.Members), 2)
}

// TestLastSignatureLeavesQuarantine empties the quarantine and the evidence by commands that went through
// the log.
func TestLastSignatureLeavesQuarantine(t *testing.T) {
	is := is.New(t)
	s := confstate.New()
	apply := func(index uint64, c confstate.Command) {
		data, err := json.Marshal(c)
		is.NoErr(err)
		var logged confstate.Command
		is.NoErr(json.Unmarshal(data, &logged))
		s.Apply(index, logged)
	}
	apply(1, confstate.SetQuarantine([]quarantine.Signature{{Service: "s", Traits: []string{"bad"}}}))
	apply(2, confstate.SetEvidence([]quarantine.Evidence{{Trait: quarantine.Trait{Service: "s", ID: "p"}}}))
	is.Equal(len(s.Quarantine), 1)
	is.Equal(len(s.Evidence), 1)
	apply(3, confstate.SetQuarantine(nil))
	apply(4, confstate.SetEvidence(nil))
	is.Equal(len(s.Quarantine), 0)
	is.Equal(len(s.Evidence), 0)
	is.Equal(s.Orderer, confstate.Orderer{})
}

// TestSettledConfigurationsNeedNoDocument compares results that are settled before a command is applied with those of applying it.
func TestSettledConfigurationsNeedNoDocument(t *testing.T) {
	is := is.New(t)
	inForce := confstate.Configure{Version: 3, Document: []byte("a")}
	for later, want := range map[*confstate.Configure]confstate.Result{
		{Version: 2, Document: []byte("a")}: confstate.Overtaken,
		{Version: 3, Document: []byte("a")}: confstate.Repeated,
		{Version: 3, Document: []byte("b")}: confstate.Conflict,
		{Version: 4, Document: []byte("a")}: confstate.Accepted,
	} {
		s := confstate.New()
		is.Equal(s.Apply(1, confstate.Command{Configure: &inForce}), confstate.Accepted)
		result, settled := inForce.Settles(*later)
		is.Equal(settled, want != confstate.Accepted)
		if settled {
			is.Equal(result, want)
			s.Apply(2, confstate.Command{Configure: &confstate.Configure{Version: later.Version}}) // as in the log
			is.Equal(string(s.Document), "a")
		}
		is.Equal(s.Apply(3, confstate.Command{Configure: later}), want)
	}
	_, settled := (*confstate.Configure)(nil).Settles(inForce)
	is.True(!settled)
}
