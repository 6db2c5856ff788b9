package testutil

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/faultproxy"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

// UpstreamPaths are the paths from one entry node to all upstreams, each through a loopback proxy. The
// zero value is connected. It is safe for concurrent use.
type UpstreamPaths struct {
	mu      sync.Mutex
	proxies map[string]*faultproxy.Proxy
	cut     CutKind
}

// CutKind is what happens to the connections of an entry node that is cut off from all upstreams.
type CutKind string

// The kinds of cuts.
const (
	Connected CutKind = ""
	// CutReset resets open connections and refuses new ones. With CutSilent both hang. With CutLasting
	// only new ones are refused.
	CutReset   CutKind = "reset"
	CutSilent  CutKind = "silent"
	CutLasting CutKind = "lasting"
)

// pathTimeout bounds the setup of a connection, as in an entry node.
const pathTimeout = 300 * time.Millisecond

// Dial implements upstreamconn.Dial.
func (p *UpstreamPaths) Dial(ctx context.Context, addr string) (net.Conn, error) {
	proxy, cut, err := p.proxy(addr)
	switch {
	case err != nil:
		return nil, err
	case cut == CutSilent:
		select {
		case <-ctx.Done():
		case <-time.After(pathTimeout):
		}
		return nil, errors.Wrap(syscall.ETIMEDOUT, addr)
	case cut != Connected:
		return nil, errors.Wrap(syscall.ECONNREFUSED, addr)
	}
	return upstreamconn.NewDial(pathTimeout)(ctx, proxy.Addr())
}

// proxy returns the proxy before the upstream at addr, and the present cut.
func (p *UpstreamPaths) proxy(addr string) (*faultproxy.Proxy, CutKind, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proxies == nil {
		p.proxies = map[string]*faultproxy.Proxy{}
	}
	if p.proxies[addr] == nil {
		proxy, err := faultproxy.New(addr)
		if err != nil {
			return nil, p.cut, err
		}
		p.proxies[addr] = proxy
	}
	return p.proxies[addr], p.cut, nil
}

// Cut cuts the node off from all upstreams, or connects it again. Connections that a silent cut took
// bytes from are reset when it ends.
func (p *UpstreamPaths) Cut(kind CutKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.cut
	p.cut = kind
	for _, proxy := range p.proxies {
		switch {
		case kind == CutReset || kind != before && before == CutSilent:
			proxy.Reset()
		case kind == CutSilent:
			proxy.SetExisting(faultproxy.Silent())
		}
	}
}

// Close closes all connections.
func (p *UpstreamPaths) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.proxies {
		proxy.Close()
	}
}
