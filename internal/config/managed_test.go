package config

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/yamlcheck"
)

func TestManagedExamplesAreValid(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"control", "entry"} {
		c, err := LoadManaged("../../examples/managed/" + name + ".yaml")
		is.NoErr(err)
		links, err := c.SeedLinkAddrs()
		is.NoErr(err)
		is.Equal(links, []string{"10.1.0.41:7380", "10.2.0.43:7380", "10.3.0.8:7380"})
		is.Equal(c.Store.Width, defaultStoreWidth)
	}
}

func TestManagedFaultsNameTheField(t *testing.T) {
	data, err := os.ReadFile("../../examples/managed/control.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for field, replacement := range map[string][2]string{
		"data":          {"data: /data/control\n", ""},
		"seeds":         {`seeds: ["10.1.0.41:8144", "10.2.0.43:8144", "10.3.0.8:8144"]`, "seeds: []"},
		"secret":        {"managed-deployment-links", "short"},
		"listen.links":  {"10.1.0.41:7380", "nowhere"},
		"losses":        {"losses: 2", "losses: -1"},
		"listen":        {"  operators: 10.1.0.41:8144\n", ""},
		"memoryMB":      {"memoryMB: 280", "memoryMB: 0"},
		"retry.window":  {`window: "10s"`, `window: "0s"`},
		"heartbeat":     {`heartbeat: "1200ms"`, `heartbeat: "0s"`},
		"unknown field": {"losses: 2", "losses: 2\nlooses: 3"},
		"wrong type":    {"losses: 2", "losses: two"},
	} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(string(data), replacement[0], replacement[1], 1)
			is.True(text != string(data))
			_, err := DecodeManaged("node.yaml", []byte(text))
			var problems yamlcheck.Problems
			is.True(errors.As(err, &problems))
			// A case name with a space describes the fault and is not a field's name.
			if !strings.Contains(field, " ") {
				is.True(strings.Contains(err.Error(), field))
			}
		})
	}
}
