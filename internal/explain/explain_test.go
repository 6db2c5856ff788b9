package explain_test

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/explain"
)

// explainCall reads testdata/calls.log, lines of a bench run, and returns the report on a call.
func explainCall(t *testing.T, id string) (explain.Report, bool) {
	t.Helper()
	is := is.New(t)
	f, err := os.Open("testdata/calls.log")
	is.NoErr(err)
	defer f.Close()
	log := explain.New(id)
	is.NoErr(log.Read(f))
	is.Equal(log.Unreadable, 0)
	return log.Explain()
}

func TestCauseNamesWhatTheCallWaitedFor(t *testing.T) {
	cases := []struct{ name, id, want string }{
		{
			"refused at once", "3a1dd8ef7066d989",
			"Refused after 22ms, to be tried again in 13.2 s: model not loaded in time. No line tells of a load of goba771073 in that time.",
		},
		{
			"answered late", "4c780bcea60b84ce",
			"the first event after 9.002s, the longest pause 236ms. It was sent to i-fe5e31d329 after 8.673s (attempt 1). " +
				"core-nue-1 ordered i-fe5e31d329 to load zihu84433b 7.83s after the call arrived (accepted). " +
				"core-nue-1 took over the orders 1.627s before the call arrived and waited up to 2.992s",
		},
		{
			"caller left", "2bfa2b301ff2f2fa",
			"The caller left after 1.999s while the call was running. It was sent to i-caa65c4961 after 720ms (attempt 1).",
		},
		{
			"connection lost", "fcc6d542be7a2f25",
			"connection reset by peer). No other call in these logs lost that upstream within a second: look at this node's connections.",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			report, ok := explainCall(t, c.id)
			is.True(ok)
			if !strings.Contains(report.Cause, c.want) {
				t.Errorf("cause %q does not contain %q", report.Cause, c.want)
			}
			is.True(slices.IsSortedFunc(report.Lines, func(a, b explain.Line) int { return a.At.Compare(b.At) }))
		})
	}
}

// TestFailedUpstreamIsToldFromLostConnection checks that losses of the same upstream on other
// nodes at that time point to the upstream.
func TestFailedUpstreamIsToldFromLostConnection(t *testing.T) {
	is := is.New(t)
	const lines = `{"time":"2026-01-01T10:00:01Z","msg":"lost","node":"front-1","id":"a","age":100,"upstream":"u","error":"EOF"}
{"time":"2026-01-01T10:00:01.1Z","msg":"lost","node":"front-2","id":"b","age":100,"upstream":"u","error":"EOF"}
{"time":"2026-01-01T10:00:01.2Z","msg":"lost","node":"front-3","id":"c","age":100,"upstream":"other","error":"EOF"}
{"time":"2026-01-01T10:00:02.2Z","msg":"lost","node":"front-3","id":"d","age":100,"upstream":"u","error":"EOF"}
{"time":"2026-01-01T10:00:01Z","msg":"broken off","node":"front-1","id":"a","age":100,"why":"no answer"}
core-1 | not JSON
`
	log := explain.New("a")
	is.NoErr(log.Read(strings.NewReader(lines)))
	is.Equal(log.Unreadable, 1)
	report, ok := log.Explain()
	is.True(ok)
	is.Equal(len(report.Lines), 2)
	is.True(strings.HasSuffix(report.Cause, "u: lost (EOF). Within a second 1 other calls on 1 nodes lost that upstream: it failed, or its host did."))
}

func TestUnknownCallHasNoReport(t *testing.T) {
	_, ok := explainCall(t, "no such call")
	is.New(t).True(!ok)
}

// TestCauseOfCallsWithoutValidKey explains a call whose key had been removed, and one at a node that could not tell.
func TestCauseOfCallsWithoutValidKey(t *testing.T) {
	cases := []struct{ line, want string }{
		{
			`{"age":0,"id":"c1","msg":"failed","node":"front-1","role":"entry","route":"r","status":401,"time":"2026-12-06T21:00:01Z","version":7,"why":"unknown key"}`,
			"Not run: unknown key, by version 7 of the configuration, which was in force on front-1.",
		},
		{
			`{"age":1,"id":"c1","msg":"refused","node":"front-1","retryAfter":0.02,"role":"entry","status":503,"time":"2026-12-06T21:00:01Z","version":6,"why":"configuration not proved current"}`,
			"front-1 could not show that the caller's key was still valid: 1 lines before it tell of control nodes that did not answer.",
		},
	}
	for _, c := range cases {
		is := is.New(t)
		log := explain.New("c1")
		before := `{"asked":"core-1","msg":"control node does not answer","node":"front-1","role":"entry","time":"2026-12-06T21:00:00Z"}`
		is.NoErr(log.Read(strings.NewReader(before + "\n" + c.line + "\n")))
		report, ok := log.Explain()
		is.True(ok)
		is.True(strings.Contains(report.Cause, c.want)) // the cause
	}
}
