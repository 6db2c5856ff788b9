package edge

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/routes"
)

// TestEngineMemoryOfConfigurations leaves out plain services and engines whose memory is unknown.
func TestEngineMemoryOfConfigurations(t *testing.T) {
	is := is.New(t)
	conf := &routes.Configuration{Services: []routes.Service{
		{Name: "plain"}, {Name: "unknown", Engine: &routes.Engine{Slots: 8}}, {Name: "llm", Engine: &routes.Engine{Slots: 8, CacheTokens: 1000}},
	}}
	is.Equal(engineMemory(conf), map[string]int{"llm": 1000})
}
