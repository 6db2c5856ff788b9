package nodelink_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/nodelink"
)

// TestUpstreamListRoundTrip encodes lists of several lengths and decodes them. Long
// lists must shrink to a quarter, because every node gets the whole list at its start.
func TestUpstreamListRoundTrip(t *testing.T) {
	for _, length := range []int{0, 1, 5, 3000} {
		is := is.New(t)
		var list []fleet.Upstream
		for i := range length {
			list = append(list, fleet.Upstream{ID: fmt.Sprint("u", i), Addr: fmt.Sprint("10.0.0.1:", i), Service: "s", Revision: uint64(i)})
		}
		encoded, err := nodelink.EncodeUpstreams(list)
		is.NoErr(err)
		text, err := json.Marshal(nodelink.WatchAnswer{Upstreams: encoded})
		is.NoErr(err)
		plain, err := json.Marshal(list)
		is.NoErr(err)
		is.True(length < 100 || len(text) < len(plain)/4)
		var got nodelink.WatchAnswer
		is.NoErr(json.Unmarshal(text, &got))
		decoded, err := got.Upstreams.Decode()
		is.NoErr(err)
		is.Equal(decoded, list)
	}
}

func TestDecodeDamagedList(t *testing.T) {
	is := is.New(t)
	for _, list := range []nodelink.UpstreamList{
		{Packed: []byte("no gzip")}, {Plain: json.RawMessage(`{"id":1}`)},
	} {
		_, err := list.Decode()
		is.True(err != nil)
	}
}
