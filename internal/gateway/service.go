package gateway

import (
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/agateslip/agateslip/contract"
)

func (g *Gateway) service(w http.ResponseWriter, r *http.Request, c *contract.Contract) error {
	deadline := time.Now().Add(time.Duration(c.Wait))
	name := r.PathValue("service")
	s, ok := c.Service(name)
	if !ok {
		return refuse(ReasonUnknownService, "the contract has no service %q", name)
	}
	below := "/" + r.PathValue("path")
	if below != cleanPath(below) || strings.Contains(r.URL.EscapedPath(), "%2F") || strings.Contains(r.URL.EscapedPath(), "%2f") {
		return refuse(ReasonBadRequest, "the path is not in its plain form")
	}
	body, free, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	defer free()
	call := newCall(r, c, body, deadline)
	call.Service = name
	call.Path = below
	call.RunsOnce = call.RunsOnce || s.RunsAtMostOnce(r.Method, below)
	return g.run(w, r, call)
}

// cleanPath is the plain form of a path: no empty, . or .. parts. Route rules
// are matched on it, so a call cannot reach a route under another spelling.
func cleanPath(p string) string {
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		return clean + "/"
	}
	return clean
}
