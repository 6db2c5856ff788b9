package gateway

import (
	"context"
	"encoding/json"
	"mime"
	"net/http"
	"sort"
	"time"

	"github.com/agateslip/agateslip/contract"
)

type requestIDKey struct{}

func withRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// modelObject is a model or an adapter as the OpenAI API lists it.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func newModelObject(name, owner string) modelObject {
	return modelObject{ID: name, Object: "model", OwnedBy: owner}
}

func (g *Gateway) listModels(w http.ResponseWriter, _ *http.Request, c *contract.Contract) error {
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, m := range c.Models {
		list.Data = append(list.Data, newModelObject(m.Name, c.Customer))
		for _, a := range m.Adapters {
			list.Data = append(list.Data, newModelObject(a, c.Customer))
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return writeJSON(w, list)
}

func (g *Gateway) getModel(w http.ResponseWriter, r *http.Request, c *contract.Contract) error {
	name := r.PathValue("model")
	if _, ok := c.Target(name); !ok {
		return refuse(ReasonUnknownModel, "the contract has no model %q", name)
	}
	return writeJSON(w, newModelObject(name, c.Customer))
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller is gone, so there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(v)
	return nil
}

// completionRequest holds the fields of a completion request that this node reads.
type completionRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// serveCompletion serves chat completions and text completions.
func (g *Gateway) serveCompletion(w http.ResponseWriter, r *http.Request, c *contract.Contract) error {
	deadline := time.Now().Add(time.Duration(c.Wait))
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/json" {
		return refuse(ReasonContentType, "the content type must be application/json")
	}
	body, releaseBody, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	defer releaseBody()
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return refuse(ReasonBadRequest, "the body is not a completion request: %v", err)
	}
	target, ok := c.Target(req.Model)
	if !ok {
		return refuse(ReasonUnknownModel, "the contract has no model %q", req.Model)
	}
	call := newCall(r, c, body, deadline)
	call.Model = target.Model
	call.Adapter = target.Adapter
	call.Stream = req.Stream
	call.Path = r.URL.Path
	call.PrefixHashes = promptPrefix(req)
	return g.runCall(w, r, call)
}

// newCall returns a call with the fields that come from the request's header and body.
// The caller of newCall sets the target, the path and whether the call is a stream.
func newCall(r *http.Request, c *contract.Contract, body []byte, deadline time.Time) *Call {
	return &Call{
		ID:             requestID(r.Context()),
		Contract:       c,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		RunsOnce:       r.Header.Get(headerRunOnce) != "",
		Method:         r.Method,
		Query:          r.URL.RawQuery,
		Header:         forwardedHeader(r.Header),
		Body:           body,
		Deadline:       deadline,
	}
}
