package contract

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const validContract = `customer: pecan
keys:
  - {id: app, sha256: e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855}
wait: 1.5s
capacity: {replicas: 2, concurrency: 4, rate: 10, burst: 5, queue: 20}
models:
  - {name: draft-1, memory: 14GiB, adapters: [plan-1]}
services:
  - name: ledger
    notRepeatable: [{methods: [POST], path: /transfers}, {path: /stems/}]
`

func TestDecode(t *testing.T) {
	is := is.New(t)
	c, err := Decode("c.yaml", []byte(validContract))
	is.NoErr(err)
	is.Equal(time.Duration(c.Wait), 1500*time.Millisecond)
	is.Equal(int64(c.Models[0].Memory), int64(14<<30))
	is.Equal(c.Models[0].Replicas, DefaultReplicas)
	target, ok := c.Target("plan-1")
	is.True(ok)
	is.Equal(target.Model.Name, "draft-1")
	is.Equal(target.Adapter, "plan-1")
}

func TestRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	c, err := Decode("c.yaml", []byte(validContract))
	is.NoErr(err)
	s, _ := c.Service("ledger")
	is.True(s.RunsAtMostOnce("POST", "/transfers"))
	is.True(s.RunsAtMostOnce("POST", "/transfers/")) // a trailing slash makes no difference
	is.True(!s.RunsAtMostOnce("GET", "/transfers"))
	is.True(s.RunsAtMostOnce("PUT", "/stems/a/b"))
	is.True(s.RunsAtMostOnce("PUT", "/stems"))
	is.True(!s.RunsAtMostOnce("POST", "/transfersx"))
}

func TestDecodeProblems(t *testing.T) {
	cases := []struct {
		name, old, replacement, field, rule string
	}{
		{"no unit of time", "1.5s", "15", "wait", "with a unit"},
		{"no unit of memory", "14GiB", "14", "models[0].memory", "with a unit"},
		{"unknown unit", "14GiB", "14GB", "models[0].memory", "with a unit"},
		{"zero wait", "1.5s", "0s", "wait", "is required"},
		{"negative wait", "1.5s", "-1s", "wait", "greater than 0"},
		{"plain key", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", "secret", "keys[0].sha256", "64 characters"},
		{"zero rate", "rate: 10", "rate: 0", "capacity.rate", "is required"},
		{"model twice", "adapters: [plan-1]", "adapters: [draft-1]", "models[0].adapters[0]", "earlier model"},
		{"reserved beyond replicas", "memory: 14GiB", "memory: 14GiB, reserved: 2", "models[0].reserved", "at most the model's replicas"},
		{"replicas beyond capacity", "memory: 14GiB", "memory: 14GiB, replicas: 3", "models[0].replicas", "at most capacity.replicas"},
		{"models without replicas", "replicas: 2", "replicas: 0", "capacity.replicas", "at least 1"},
		{"method", "[POST]", "[SEND]", "services[0].notRepeatable[0].methods[0]", "one of"},
		{"relative route", "path: /transfers", "path: transfers", "services[0].notRepeatable[0].path", "start with /"},
		{"dotted route", "path: /transfers", "path: /a/../transfers", "services[0].notRepeatable[0].path", "plain path"},
		{"unknown field", "queue: 20", "queue: 20, qeue: 1", "qeue", "not a known field"},
		{"service name", "name: ledger", "name: led/ger", "services[0].name", "lower-case"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validContract, tc.old))
			_, err := Decode("c.yaml", []byte(strings.Replace(validContract, tc.old, tc.replacement, 1)))
			var problems yamlcheck.Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Field, tc.field)
			is.True(strings.Contains(problems[0].Rule, tc.rule))
			is.True(problems[0].Line > 0)
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../examples/*/contract.yaml")
	is.NoErr(err)
	is.Equal(len(files), 2)
	for _, f := range files {
		data, err := os.ReadFile(f)
		is.NoErr(err)
		_, err = Decode(f, data)
		is.NoErr(err)
	}
}
