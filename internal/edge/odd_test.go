package edge

import (
	"io"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/dispatch"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// TestOddEntryOfLeaderTakesNoSoundUpstreamOut guards against entries that a leader of another version lists under the
// ID of a sound upstream, or beside it: calls went to an address that is none.
func TestOddEntryOfLeaderTakesNoSoundUpstreamOut(t *testing.T) {
	is := is.New(t)
	log := eventlog.New(io.Discard, nil)
	defer log.Close(time.Second)
	e := &Edge{log: log, upstreams: map[string]knownUpstream{}, pool: upstreamconn.NewPool(nil), dispatcher: dispatch.New(dispatch.DefaultLimits(), "d")}
	sound := fleet.Upstream{ID: "u", Born: 1, Seq: 1, Service: "s", Addr: "192.0.2.1:80", Domain: "d", Slots: 4}
	e.applyUpstreams(true, []fleet.Upstream{sound})
	noPort, lastBorn, tooMany := sound, sound, sound
	noPort.Addr, noPort.Seq = "192.0.2.1:0", 2
	lastBorn.Born = math.MaxInt64
	tooMany.Slots, tooMany.Seq = math.MaxInt, 3
	beside := noPort
	beside.ID = "another"
	e.applyUpstreams(false, []fleet.Upstream{noPort, beside, tooMany, lastBorn})
	is.Equal(len(e.upstreams), 1)
	is.Equal(e.upstreams["u"].desc, sound)
}
