package ledger

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func newClaim(key, attempt, fingerprint string) Claim {
	return Claim{Key: Key{"c", key}, Fingerprint: fingerprint, Owner: Owner{"n", attempt}, Attempt: attempt}
}

func TestClaimGrantsOneAttempt(t *testing.T) {
	is := is.New(t)
	l := New()
	is.Equal(l.Claim(newClaim("k", "a1", "f")).Verdict, Granted)
	is.Equal(l.Claim(newClaim("k", "a1", "f")).Verdict, Granted) // the claimer lost the first result
	is.Equal(l.Claim(newClaim("k", "a2", "f")).Verdict, InProgress)
	is.Equal(l.Claim(newClaim("k", "a2", "other")).Verdict, Mismatch)
	_, ok := l.Finish(Finish{Key: Key{"c", "k"}, Attempt: "a2", State: Ran})
	is.True(!ok) // a2 does not hold the claim
	_, ok = l.Finish(Finish{Key: Key{"c", "k"}, Attempt: "a1", State: Ran, Answer: &Answer{Status: 201, Body: []byte("x")}})
	is.True(ok)
	res := l.Claim(newClaim("k", "a2", "f"))
	is.Equal(res.Verdict, Settled)
	is.Equal(res.Record.Answer.Status, 201)
}

func TestAbandonedClaim(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Claim(newClaim("k", "a1", "f"))
	is.Equal(l.Abandon(Owner{"n", "a1"}), 1)
	res := l.Claim(newClaim("k", "a2", "f"))
	is.Equal(res.Verdict, Settled)
	is.Equal(res.Record.State, Unknown)
	// The owner was only disconnected and reports that it never sent the call.
	_, ok := l.Finish(Finish{Key: Key{"c", "k"}, Attempt: "a1", State: NotRun})
	is.True(ok)
	is.Equal(l.Claim(newClaim("k", "a2", "f")).Verdict, Granted)
}

// TestLateClaimAfterNotRun applies a duplicate of a claim that its attempt has meanwhile
// settled as NotRun. If it were granted, it would stay pending, as nobody settles it.
func TestLateClaimAfterNotRun(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Claim(newClaim("k", "a1", "f"))
	l.Finish(Finish{Key: Key{"c", "k"}, Attempt: "a1", State: NotRun})
	is.Equal(l.Claim(newClaim("k", "a1", "f")).Verdict, Settled)
	is.Equal(len(l.Owners()), 0)
	is.Equal(l.Claim(newClaim("k", "a2", "f")).Verdict, Granted)
}

func TestForgottenKeysAreRefused(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range MaxRecords + 10 {
		k := fmt.Sprint(i)
		l.Claim(newClaim(k, "a", "f"))
		l.Finish(Finish{Key: Key{"c", k}, Attempt: "a", State: Ran})
	}
	is.Equal(l.Len(), MaxRecords)
	is.Equal(l.Claim(newClaim("3", "b", "f")).Verdict, Forgotten)
	restored := FromImage(l.Image())
	is.Equal(restored.Claim(newClaim("3", "b", "f")).Verdict, Forgotten)
	is.Equal(restored.Claim(newClaim("9000", "b", "f")).Verdict, Settled)
}

func TestAnswerBytesLimit(t *testing.T) {
	is := is.New(t)
	l := New()
	body := make([]byte, MaxAnswerBytes/4)
	for i := range 6 {
		k := fmt.Sprint(i)
		l.Claim(newClaim(k, "a", "f"))
		l.Finish(Finish{Key: Key{"c", k}, Attempt: "a", State: Ran, Answer: &Answer{Status: 200, Body: body}})
	}
	is.True(l.bodyBytes <= MaxAnswerBytes)
	first, _ := l.Lookup(Key{"c", "0"})
	is.True(first.Answer.BodyDropped)
	last, _ := l.Lookup(Key{"c", "5"})
	is.Equal(len(last.Answer.Body), len(body))
}

// TestAtMostOneSend checks over random interleavings of claims, sends, outcomes, abandoned
// owners and snapshots that no two attempts send the call.
func TestAtMostOneSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		sent := map[string]bool{} // attempts that sent the call
		granted := map[string]bool{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			attempt := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "attempt"))
			key := Key{"c", "k"}
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				granted[attempt] = l.Claim(newClaim("k", attempt, "f")).Verdict == Granted
			case 1:
				if granted[attempt] && !sent[attempt] {
					sent[attempt] = true
				}
			case 2:
				if granted[attempt] && sent[attempt] {
					l.Finish(Finish{Key: key, Attempt: attempt, State: Ran})
				}
			case 3:
				if granted[attempt] && !sent[attempt] {
					granted[attempt] = false
					l.Finish(Finish{Key: key, Attempt: attempt, State: NotRun})
				}
			case 4:
				l.Abandon(Owner{"n", attempt})
			case 5:
				l = FromImage(l.Image())
			}
			if len(sent) > 1 {
				t.Fatalf("sent by %v", sent)
			}
		}
	})
}
