package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const validConfig = `group: g
node: a
domain: d1
listen:
  callers: 127.0.0.1:1
  upstreams: 127.0.0.1:2
  operators: 127.0.0.1:3
  peers: 127.0.0.1:4
secret: 0123456789abcdef
operatorToken: 0123456789abcdef
data: /tmp/a
peers:
  - {node: a, addr: 127.0.0.1:4, domain: d1, voter: 1}
`

func TestDecodeFillsDefaults(t *testing.T) {
	is := is.New(t)
	c, err := Decode("node.yaml", []byte(validConfig))
	is.NoErr(err)
	is.Equal(c.Store.Width, defaultStoreWidth)
	is.Equal(c.Log.Format, "json")
	is.Equal(c.Self().Voter, uint64(1))
}

func TestDecodeNamesFieldAndLine(t *testing.T) {
	cases := []struct {
		name, old, replacement string
		field                  string
		line                   int
		rule                   string
	}{
		{"unknown field", "secret:", "secrte:", "secrte", 9, "not a known field"},
		{"missing field", "node: a\n", "", "node", 1, "is required"},
		{"bad name", "node: a\n", "node: A B\n", "node", 2, "lower-case"},
		{"host name", "127.0.0.1:1\n", "localhost:1\n", "listen.callers", 5, "IP address"},
		{"short secret", "secret: 0123456789abcdef", "secret: short", "secret", 9, "at least 16"},
		{"wrong type", "domain: d1\nlisten", "domain: [d1]\nlisten", "domain", 3, "cannot unmarshal"},
		{"same address twice", "operators: 127.0.0.1:3", "operators: 127.0.0.1:1", "listen.operators", 7, "same address as listen.callers"},
		{"self missing", "{node: a,", "{node: b,", "peers", 13, "must contain this node"},
		{"domain differs", "domain: d1, voter", "domain: d2, voter", "domain", 3, "differs"},
		{"voter without data", "data: /tmp/a\n", "", "data", 1, "is required on a node that has a vote"},
		{"no voter", "data: /tmp/a\npeers:\n  - {node: a, addr: 127.0.0.1:4, domain: d1, voter: 1}", "peers:\n  - {node: a, addr: 127.0.0.1:4, domain: d1}", "peers", 12, "at least one voter"},
		{"unit missing", "data: /tmp/a\n", "data: /tmp/a\nstop: {balancerLag: 5}\n", "stop.balancerLag", 12, "duration with a unit"},
		{"unknown log level", "data: /tmp/a\n", "data: /tmp/a\nlog: {level: loud}\n", "log.level", 12, "one of"},
		{"negative width", "data: /tmp/a\n", "data: /tmp/a\nstore: {width: -1}\n", "store.width", 12, "at least 0"},
		{"two documents", "peers:", "---\npeers:", "", 0, ""},
		{"duplicate peer", "voter: 1}\n", "voter: 1}\n  - {node: a, addr: 127.0.0.1:9, domain: d1}\n", "peers[1].node", 14, "earlier peer"},
		{"even voters", "voter: 1}\n", "voter: 1}\n  - {node: b, addr: 127.0.0.1:9, domain: d1, voter: 2}\n", "peers", 13, "odd number"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validConfig, tc.old)) // otherwise the case would change nothing
			_, err := Decode("node.yaml", []byte(strings.Replace(validConfig, tc.old, tc.replacement, 1)))
			var ps yamlcheck.Problems
			is.True(errors.As(err, &ps))
			t.Log(ps)
			if tc.field != "" {
				is.Equal(ps[0].Field, tc.field)
			}
			if tc.line != 0 {
				is.Equal(ps[0].Line, tc.line)
			}
			is.True(strings.Contains(ps[0].Rule, tc.rule))
			is.Equal(ps[0].File, "node.yaml")
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*/*-*.yaml")
	is.NoErr(err)
	is.Equal(len(files), 18)
	for _, f := range files {
		data, err := os.ReadFile(f)
		is.NoErr(err)
		_, err = Decode(f, data)
		is.NoErr(err)
	}
}
