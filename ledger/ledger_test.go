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

func claim(key, attempt, fingerprint string) Claim {
	return Claim{Key: Key{"c", key}, Fingerprint: fingerprint, Owner: Owner{"n", attempt}, Attempt: attempt}
}

func TestClaimIsGrantedOnce(t *testing.T) {
	is := is.New(t)
	l := New()
	is.Equal(l.Claim(claim("k", "a1", "f")).Verdict, Granted)
	is.Equal(l.Claim(claim("k", "a1", "f")).Verdict, Granted) // the answer was lost
	is.Equal(l.Claim(claim("k", "a2", "f")).Verdict, InProgress)
	is.Equal(l.Claim(claim("k", "a2", "other")).Verdict, Mismatch)
	_, ok := l.Finish(Finish{Key: Key{"c", "k"}, Attempt: "a2", State: Done})
	is.True(!ok) // another attempt's outcome
	_, ok = l.Finish(Finish{Key: Key{"c", "k"}, Attempt: "a1", State: Done, Answer: &Answer{Status: 201, Body: []byte("x")}})
	is.True(ok)
	res := l.Claim(claim("k", "a2", "f"))
	is.Equal(res.Verdict, Settled)
	is.Equal(res.Record.Answer.Status, 201)
}

func TestAbandonedClaimIsUnknownAndNeverGranted(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Claim(claim("k", "a1", "f"))
	is.Equal(l.Abandon(Owner{"n", "a1"}), 1)
	res := l.Claim(claim("k", "a2", "f"))
	is.Equal(res.Verdict, Settled)
	is.Equal(res.Record.State, Unknown)
	// The owner was only cut off and proves that it never sent the call.
	_, ok := l.Finish(Finish{Key: Key{"c", "k"}, Attempt: "a1", State: NotRun})
	is.True(ok)
	is.Equal(l.Claim(claim("k", "a2", "f")).Verdict, Granted)
}

// TestLateCopyOfASettledClaim applies a claim again that was sent twice and
// given back in between. Nobody would settle it a second time.
func TestLateCopyOfASettledClaim(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Claim(claim("k", "a1", "f"))
	l.Finish(Finish{Key: Key{"c", "k"}, Attempt: "a1", State: NotRun})
	is.Equal(l.Claim(claim("k", "a1", "f")).Verdict, Settled)
	is.Equal(len(l.Owners()), 0)
	is.Equal(l.Claim(claim("k", "a2", "f")).Verdict, Granted)
}

func TestOldKeysAreRefused(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range MaxRecords + 10 {
		k := fmt.Sprint(i)
		l.Claim(claim(k, "a", "f"))
		l.Finish(Finish{Key: Key{"c", k}, Attempt: "a", State: Done})
	}
	is.Equal(l.Len(), MaxRecords)
	is.Equal(l.Claim(claim("3", "b", "f")).Verdict, Forgotten)
	again := FromImage(l.Image())
	is.Equal(again.Claim(claim("3", "b", "f")).Verdict, Forgotten)
	is.Equal(again.Claim(claim("9000", "b", "f")).Verdict, Settled)
}

func TestAnswerBytesAreBounded(t *testing.T) {
	is := is.New(t)
	l := New()
	body := make([]byte, MaxAnswerBytes/4)
	for i := range 6 {
		k := fmt.Sprint(i)
		l.Claim(claim(k, "a", "f"))
		l.Finish(Finish{Key: Key{"c", k}, Attempt: "a", State: Done, Answer: &Answer{Status: 200, Body: body}})
	}
	is.True(l.answerBytes <= MaxAnswerBytes)
	first, _ := l.Lookup(Key{"c", "0"})
	is.True(first.Answer.BodyDropped)
	last, _ := l.Lookup(Key{"c", "5"})
	is.Equal(len(last.Answer.Body), len(body))
}

// TestAtMostOneSending runs random interleavings of attempts, crashes and
// snapshots. An attempt sends its call whenever it holds a grant.
func TestAtMostOneSending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		sent := map[string]bool{} // attempts that wrote a byte
		held := map[string]bool{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			a := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "attempt"))
			key := Key{"c", "k"}
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				held[a] = l.Claim(claim("k", a, "f")).Verdict == Granted
			case 1:
				if held[a] && !sent[a] {
					sent[a] = true
				}
			case 2:
				if held[a] && sent[a] {
					l.Finish(Finish{Key: key, Attempt: a, State: Done})
				}
			case 3:
				if held[a] && !sent[a] {
					held[a] = false
					l.Finish(Finish{Key: key, Attempt: a, State: NotRun})
				}
			case 4:
				l.Abandon(Owner{"n", a})
			case 5:
				l = FromImage(l.Image())
			}
			if len(sent) > 1 {
				t.Fatalf("sent by %v", sent)
			}
		}
	})
}
