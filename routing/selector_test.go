package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/directory"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.checks", "500")
	setDefault("rapid.steps", "100")
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setDefault sets a flag unless the command line changed it from its default.
func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

// engineView returns a view of engine n with one ready replica of the model and the given
// number of running requests.
func engineView(n int, model string, load int) directory.View {
	return directory.View{Announcement: directory.Announcement{
		ID:          fmt.Sprintf("engine-%04d", n),
		Incarnation: 1,
		Seq:         1,
		Addr:        "127.0.0.1:1",
		Domain:      fmt.Sprintf("domain-%d", n%3),
		Kind:        directory.Engine,
		Slots:       8,
		Replicas:    []directory.Replica{{Grant: 7, Model: model, State: directory.Ready}},
		Load:        directory.Load{Running: load},
	}}
}

func newSelector(views ...directory.View) *Selector {
	s := NewSelector(Config{}, rand.New(rand.NewPCG(1, 1)))
	for _, v := range views {
		s.Update(v)
	}
	return s
}

// TestLoadIncludesSendsSinceReport checks that requests sent since the latest report count
// as load, and that a report that includes them does not count them twice.
func TestLoadIncludesSendsSinceReport(t *testing.T) {
	is := is.New(t)
	a, b := engineView(1, "m", 2), engineView(2, "m", 4)
	s := newSelector(a, b)
	q := Query{Model: "m"}
	for range 2 {
		c, result := s.Select(q, 0)
		is.Equal(result, Chosen)
		is.Equal(c.Upstream, a.Announcement.ID)
		s.Sent(c, nil, 0)
	}
	is.Equal(s.Load(a.Announcement.ID), 4)
	a.Announcement.Seq, a.Announcement.Load.Running = 2, 4
	s.Update(a)
	is.Equal(s.Load(a.Announcement.ID), 4) // the report includes both requests
	s.Done(Choice{Upstream: a.Announcement.ID, Incarnation: 1}, Answered, time.Second)
	is.Equal(s.Load(a.Announcement.ID), 3)
}

// TestUnusableUpstreams checks that an upstream that leaves, is silent, overloaded or
// without a ready replica is not chosen, and that the result names the reason.
func TestUnusableUpstreams(t *testing.T) {
	cases := []struct {
		name   string
		change func(*directory.View)
		result Result
	}{
		{"leaving", func(v *directory.View) { v.Announcement.Leaving = true }, NotTaking},
		{"silent", func(v *directory.View) { v.Silent = true }, NotTaking},
		{"overloaded", func(v *directory.View) { v.Announcement.Load.Queued = 16 }, Overloaded},
		{"loading", func(v *directory.View) { v.Announcement.Replicas[0].State = directory.Loading }, NoReplica},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := engineView(1, "m", 0)
			s := newSelector(v)
			_, result := s.Select(Query{Model: "m"}, 0)
			is.Equal(result, Chosen)
			v.Announcement.Seq++
			c.change(&v)
			s.Update(v)
			_, result = s.Select(Query{Model: "m"}, 0)
			is.Equal(result, c.result)
		})
	}
}

// TestUpstreamOfDoubtfulRefusalsGetsFewCalls guards against callers that pay for each answer of unknown origin, because
// other calls succeed at the same upstream in between.
func TestUpstreamOfDoubtfulRefusalsGetsFewCalls(t *testing.T) {
	is := is.New(t)
	s := newSelector(engineView(1, "m", 0))
	doubtful, calls := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		c, result := s.Select(Query{Model: "m"}, now)
		if result != Chosen {
			continue
		}
		s.Sent(c, nil, now)
		ending := Answered
		if calls++; calls%2 == 0 {
			ending = Doubtful
			doubtful++
		}
		s.Done(c, ending, now)
	}
	is.True(doubtful <= 25) // of 500
	is.True(calls > 20)     // it is tried again
}
