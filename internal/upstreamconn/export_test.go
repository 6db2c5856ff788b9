package upstreamconn

// Hosts returns the number of addresses of which the pool keeps the state.
func (p *Pool) Hosts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.hosts)
}
