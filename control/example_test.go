package control_test

import (
	"fmt"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/raft"
)

// Of two changes made from the same version, the first in the log is accepted.
func ExampleState() {
	state := control.New()
	for i, operator := range []string{"ann", "ben"} {
		cmd := control.Command{
			Origin:        control.Origin{Actor: operator, Node: "n1"},
			ApplyContract: &control.ApplyContract{ChangeID: operator, Contract: contract.Contract{Customer: "studio"}},
		}
		data, err := cmd.Encode()
		if err != nil {
			fmt.Println(err)
			return
		}
		res := state.Apply(raft.Entry{Index: uint64(i + 2), Term: 1, Data: data})
		fmt.Println(operator, res.Change.Outcome, res.Change.Version)
	}
	// Output:
	// ann accepted 1
	// ben conflict 1
}
