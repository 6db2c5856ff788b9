package gateway

import (
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/agateslip/agateslip/contract"
)

// serveService serves a call to a plain service. The part of the path after the
// service's name is the path at the upstream.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request, c *contract.Contract) error {
	deadline := time.Now().Add(time.Duration(c.Wait))
	name := r.PathValue("service")
	s, ok := c.Service(name)
	if !ok {
		return refuse(ReasonUnknownService, "the contract has no service %q", name)
	}
	servicePath := "/" + r.PathValue("path")
	if servicePath != canonicalPath(servicePath) || strings.Contains(r.URL.EscapedPath(), "%2F") || strings.Contains(r.URL.EscapedPath(), "%2f") {
		return refuse(ReasonBadRequest, "the path is not in its plain form")
	}
	body, releaseBody, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	defer releaseBody()
	call := newCall(r, c, body, deadline)
	call.Service = name
	call.Path = servicePath
	call.RunsOnce = call.RunsOnce || s.RunsAtMostOnce(r.Method, servicePath)
	return g.runCall(w, r, call)
}

// canonicalPath returns p without empty, . and .. segments; a trailing slash stays.
// Only canonical paths are accepted, because route rules are matched on them: another
// spelling of a path would bypass its rule.
func canonicalPath(p string) string {
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		return clean + "/"
	}
	return clean
}
