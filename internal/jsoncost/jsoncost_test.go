package jsoncost

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEstimate(t *testing.T) {
	for document, want := range map[string]int64{
		``:                      0,
		`[0,0]`:                 5 + 2*1000,
		`[[],[{}]]`:             9 + 4*1000,
		`{"a":1,"b":2}`:         13 + 2*memberBytes,
		`[{"a":1},{"b":2}]`:     17 + 2*1000 + memberBytes,
		`{"a":{"b":{"c":0}}}`:   19 + 3*memberBytes,
		`"[{,:\"["`:             9,
		`"<é"`:                  2 + escapedBytes + 2*replacementRatio,
		`]}]`:                   3,
		strings.Repeat(`[`, 64): 64 + 64*1000,
	} {
		got, err := Estimate([]byte(document), 1000)
		is.New(t).NoErr(err)
		if got != want {
			t.Errorf("%s: %d, want %d", document, got, want)
		}
	}
	_, err := Estimate([]byte(strings.Repeat("[", maxDepth+1)), 1)
	is.New(t).True(errors.Is(err, ErrTooDeep))
}

// TestEstimateCoversDecoding compares estimates with what decoding allocates.
func TestEstimateCoversDecoding(t *testing.T) {
	type element struct{ A, B, C, D string }
	for _, value := range []string{`{}`, `null`, `[]`, `0`} {
		document := []byte(`{"V":[` + strings.Repeat(value+",", 100_000) + value + `]}`)
		cost, err := Estimate(document, 10*64)
		is.New(t).NoErr(err)
		allocated := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var into struct{ V []element }
				_ = json.Unmarshal(document, &into) // some values have another type
			}
		}).AllocedBytesPerOp()
		if allocated > cost {
			t.Errorf("%s: %d bytes allocated, %d estimated", value, allocated, cost)
		}
	}
}
