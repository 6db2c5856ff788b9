package placement

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the length of the property tests to fixed values, unless the
// command line sets them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil {
			_ = f.Value.Set(value)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
