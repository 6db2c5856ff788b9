package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodContract = `customer: c
keys:
  - {id: k, sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa}
wait: 6s
capacity: {replicas: 1, concurrency: 4, rate: 20, burst: 10, queue: 10}
models: [{name: m, memory: 14GiB}]
`

const goodConfiguration = `{"Version": 3,
 "Services": [{"Name": "s"}, {"Name": "unused"}],
 "Routes": [{"Name": "r", "Host": "a.example", "PathPrefix": "/", "Kind": "idempotent", "TimeoutMs": 1000, "Service": "s"}]}
`

// startStubNode starts a node that answers every request with status, and returns its
// operator address.
func startStubNode(t *testing.T, status int) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// unreachableNode is an address on which nothing listens. The kernel never assigns port 1
// to a listener on port 0, so no other test can occupy it.
const unreachableNode = "127.0.0.1:1"

func TestExitStatus(t *testing.T) {
	dir := t.TempDir()
	file := func(name, body string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.yaml", goodContract)
	bad := file("bad.yaml", strings.Replace(goodContract, "wait: 6s", "wait: soon", 1))
	conf := file("conf.json", goodConfiguration)
	badConf := file("bad.json", strings.Replace(goodConfiguration, `"Service": "s"`, `"Service": "t"`, 1))
	cases := []struct {
		name       string
		argv       string
		wantStatus int
		wantOutput string
	}{
		{"help", "--help", ExitOK, "Exit status"},
		{"no command", "", ExitInput, "Usage"},
		{"unknown command", "explode", ExitInput, "explode"},
		{"command without its subcommand", "contract", ExitInput, "apply"},
		{"unknown flag", "status --loud", ExitInput, "--loud"},
		{"missing argument", "contract apply", ExitInput, "required"},
		{"valid contract checked", "config check " + good, ExitOK, "ok"},
		{"wrong contract checked", "config check " + bad, ExitInput, "wait"},
		{"valid configuration checked", "config check " + conf, ExitOK, "ok"},
		{"wrong configuration checked", "config check " + badConf, ExitInput, "bad.json:3: routes.r.service: no service is named"},
		{"configuration for scripts", "config check --output json " + conf, ExitOK, `"rule":"no route sends calls to it"`},
		{"compared with nothing", "config check --against " + unreachableNode + " " + conf, ExitUnavailable, "connect"},
		{"no such file", "config check " + dir + "/none", ExitInput, "none"},
		{"call explained", "explain 3a1dd8ef7066d989 ../explain/testdata/calls.log", ExitOK, "model not loaded in time"},
		{"call explained as JSON", "explain --json 3a1dd8ef7066d989 ../explain/testdata/calls.log", ExitOK, `"cause"`},
		{"unknown call explained", "explain 0 ../explain/testdata/calls.log", ExitFailure, "no line carries"},
		{"no such log", "explain 0 " + dir + "/none", ExitInput, "none"},
		{"no such settings", "serve --config " + dir + "/none", ExitInput, "none"},
		{"wrong contract applied", "contract apply " + bad, ExitInput, "wait"},
		{"wrong token", "status --node " + startStubNode(t, http.StatusUnauthorized), ExitInput, "Unauthorized"},
		{"conflict", "contract apply --change-id 7 " + good + " --node " + startStubNode(t, http.StatusConflict), ExitConflict, "change id: 7"},
		{"undecided", "member remove 3 --node " + startStubNode(t, http.StatusServiceUnavailable), ExitUnavailable, "Unavailable"},
		{"unreachable node", "contract remove c --change-id 7 --node " + unreachableNode, ExitUnavailable, "change id: 7"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var out, errOut bytes.Buffer
			status := Run(context.Background(), strings.Fields(c.argv), &out, &errOut)
			is.Equal(status, c.wantStatus)
			is.True(strings.Contains(out.String()+errOut.String(), c.wantOutput))
		})
	}
}

// TestCheckAgainstConfigurationInForce compares a file with what a control node returns.
func TestCheckAgainstConfigurationInForce(t *testing.T) {
	is := is.New(t)
	inForce := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Replace(goodConfiguration, "1000", "500", 1)))
	}))
	defer inForce.Close()
	path := filepath.Join(t.TempDir(), "conf.json")
	is.NoErr(os.WriteFile(path, []byte(goodConfiguration), 0o600))
	var out, errOut bytes.Buffer
	code := Run(context.Background(), []string{"config", "check", "--against", inForce.Listener.Addr().String(), path}, &out, &errOut)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out.String(), "routes.r.timeout: 1s, was 500ms"))
}
