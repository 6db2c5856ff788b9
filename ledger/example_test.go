package ledger_test

import (
	"fmt"

	"github.com/agateslip/agateslip/ledger"
)

// A call is claimed before it is sent. A repeated call gets the outcome of the first.
func Example() {
	l := ledger.New()
	first := ledger.Claim{
		Key:         ledger.Key{Customer: "studio", Idempotency: "invoice-17"},
		Fingerprint: "digest of the call",
		Owner:       ledger.Owner{Node: "n1", Boot: "b1"},
		Attempt:     "a1",
	}
	repeat := first
	repeat.Owner = ledger.Owner{Node: "n2", Boot: "b2"}
	repeat.Attempt = "a2"

	fmt.Println(l.Claim(first).Verdict == ledger.Granted)
	fmt.Println(l.Claim(repeat).Verdict == ledger.InProgress)
	l.Finish(ledger.Finish{Key: first.Key, Attempt: "a1", State: ledger.Ran, Answer: &ledger.Answer{Status: 201}})
	res := l.Claim(repeat)
	fmt.Println(res.Verdict == ledger.Settled, res.Record.State, res.Record.Answer.Status)
	// Output:
	// true
	// true
	// true ran 201
}
