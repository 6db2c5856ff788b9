package operator

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const testToken = "an-operator-token"

// recordingBackend counts the changes and refusals that reach it. The embedded Backend
// is nil, so a call of any other method panics.
type recordingBackend struct {
	Backend
	changes, refusals, lastRefusalBytes int
}

func (r *recordingBackend) ApplyContract(context.Context, Change, contract.Contract) (control.ChangeResult, error) {
	r.changes++
	return control.ChangeResult{Outcome: control.Accepted}, nil
}

func (r *recordingBackend) RemoveContract(context.Context, Change, string) (control.ChangeResult, error) {
	r.changes++
	return control.ChangeResult{}, errors.Mark(errors.New("no leader"), ErrUnavailable)
}

func (r *recordingBackend) ChangeMembers(context.Context, string, MemberChange) error {
	r.changes++
	return errors.Mark(errors.New("unsafe"), ErrRefused)
}

func (r *recordingBackend) AuditRefusal(_ context.Context, actor, _, subject, detail string) {
	r.refusals++
	r.lastRefusalBytes = len(actor) + len(subject) + len(detail)
}

const validContract = `customer: c
keys: [{id: k, sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa}]
wait: 6s
capacity: {replicas: 1, concurrency: 4, rate: 20, burst: 10, queue: 10}
models: [{name: m, memory: 14GiB}]
`

func TestStatusAndBackendCallsOfRequests(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	cases := []struct {
		name, token, method, target, body string
		status, changes, refusals         int
	}{
		{"no token", "", "PUT", "/v1/contracts/c?base=0&change=1", validContract, 401, 0, 0},
		{"other token", "other", "POST", "/v1/drain", "", 401, 0, 0},
		{"profile without token", "", "GET", "/debug/pprof/heap", "", 401, 0, 0},
		{"accepted", testToken, "PUT", "/v1/contracts/c?base=0&change=1", validContract, 200, 1, 0},
		{"no change id", testToken, "PUT", "/v1/contracts/c?base=0", validContract, 400, 0, 1},
		{"long change id", testToken, "DELETE", "/v1/contracts/c?base=0&change=" + long[:129], "", 400, 0, 1},
		{"long customer", testToken, "DELETE", "/v1/contracts/" + long + "?base=0&change=1", "", 400, 0, 1},
		{"no base", testToken, "PUT", "/v1/contracts/c?change=1", validContract, 400, 0, 1},
		{"negative base", testToken, "PUT", "/v1/contracts/c?change=1&base=-1", validContract, 400, 0, 1},
		{"other customer", testToken, "PUT", "/v1/contracts/d?base=0&change=1", validContract, 400, 0, 1},
		{"not YAML", testToken, "PUT", "/v1/contracts/c?base=0&change=1", "{", 400, 0, 1},
		{"unknown field", testToken, "PUT", "/v1/contracts/c?base=0&change=1", validContract + long + ": 1\n", 400, 0, 1},
		{"oversized", testToken, "PUT", "/v1/contracts/c?base=0&change=1", "#" + strings.Repeat("x", maxBodyBytes), 400, 0, 1},
		{"undecided", testToken, "DELETE", "/v1/contracts/c?base=1&change=1", "", 503, 1, 0},
		{"unsafe", testToken, "POST", "/v1/members", `{"action":"remove","id":1}`, 409, 1, 0},
		{"unknown member field", testToken, "POST", "/v1/members", `{"action":"remove","di":1}`, 400, 0, 0},
		{"other method", testToken, "PATCH", "/v1/contracts/c", "", 405, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &recordingBackend{}
			req := httptest.NewRequest(c.method, c.target, strings.NewReader(c.body))
			req.Header.Set("Authorization", "Bearer "+c.token)
			req.Header.Set(HeaderActor, long)
			resp := httptest.NewRecorder()
			NewServer(b, testToken, bodybuffer.Intake{Budget: bodybuffer.BudgetOf(512)}).Handler.ServeHTTP(resp, req)
			is.Equal(resp.Code, c.status)
			is.Equal(b.changes, c.changes)
			is.Equal(b.refusals, c.refusals)
			is.True(b.lastRefusalBytes <= 4<<10) // audit entries are kept for good
		})
	}
}
