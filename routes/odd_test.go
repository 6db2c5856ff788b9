package routes_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/routes"
)

// TestHugeWeightsShareCalls guards against weights whose sum is infinite: one backend got all calls.
func TestHugeWeightsShareCalls(t *testing.T) {
	is := is.New(t)
	r := routes.Route{Backends: []routes.Backend{{Service: "a", Weight: 1e308}, {Service: "b", Weight: 1e308}, {Service: "none"}}}
	calls := map[string]int{}
	for i := range 1000 {
		calls[r.Backend(fmt.Sprint("call ", i))]++
	}
	is.True(calls["a"] > 400 && calls["b"] > 400)
	is.Equal(calls["none"], 0)
}
