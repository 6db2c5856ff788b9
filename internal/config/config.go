// Package config reads and validates the YAML settings of one node: Config for
// a node of a fixed group of peers, Managed for a process of a managed
// deployment. The field comments document the settings for operators.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/cockroachdb/errors"
)

// Config holds the settings of one node of a fixed group of peers.
type Config struct {
	// Group is the name of the group of nodes that share one replicated control
	// state.
	Group string `yaml:"group" validate:"required,slug"`
	// Node is the unique name of this node.
	Node string `yaml:"node" validate:"required,slug"`
	// Domain is the failure domain of this node's VM.
	Domain string `yaml:"domain" validate:"required,slug"`
	// Listen holds the addresses that this node listens on.
	Listen Listen `yaml:"listen"`
	// Secret is the shared secret with which the group's nodes authenticate to each
	// other; at least 16 characters.
	Secret string `yaml:"secret" validate:"required,min=16"`
	// OperatorToken is the bearer token that operators present; at least 16
	// characters.
	OperatorToken string `yaml:"operatorToken" validate:"required,min=16"`
	// UpstreamToken is the bearer token that upstreams present when they announce
	// themselves; at least 16 characters. If it is empty, any upstream may announce
	// itself.
	UpstreamToken string `yaml:"upstreamToken,omitempty" validate:"omitempty,min=16"`
	// Data is the data folder. It is required on a voter of the control group and
	// must be empty on any other node.
	Data string `yaml:"data,omitempty"`
	// Peers lists all nodes of the group, including this one.
	Peers []Peer `yaml:"peers" validate:"required,min=1,dive"`
	// Store describes the platform's weight store.
	Store Store `yaml:"store,omitempty"`
	// Stop sets the timing of a planned stop.
	Stop Stop `yaml:"stop,omitempty"`
	// Log sets the level and format of the log.
	Log Log `yaml:"log,omitempty"`
	// MemoryMB is the memory that the node may use, in MiB; 512 if unset.
	MemoryMB int `yaml:"memoryMB,omitempty" validate:"gte=0"`
	// Descriptors is the number of file descriptors that the node may use; the system's limit if unset.
	Descriptors int `yaml:"descriptors,omitempty" validate:"gte=0"`
	// Connections limits the connections to the node.
	Connections Connections `yaml:"connections,omitempty"`
}

// Listen holds a node's listen addresses, each an IP address and port.
type Listen struct {
	// Callers accepts callers' requests.
	Callers string `yaml:"callers" validate:"required,hostport"`
	// Upstreams accepts announcements from upstreams.
	Upstreams string `yaml:"upstreams" validate:"required,hostport"`
	// Operators accepts operators' commands and serves metrics.
	Operators string `yaml:"operators" validate:"required,hostport"`
	// Peers accepts connections from the other nodes of the group.
	Peers string `yaml:"peers" validate:"required,hostport"`
	// Detours accepts connections of other nodes that are cut off from the upstreams and
	// reach them through this node. If it is empty, this node does not help.
	Detours string `yaml:"detours,omitempty" validate:"omitempty,hostport"`
}

// Peer describes one node of the group.
type Peer struct {
	// Node is the node's name.
	Node string `yaml:"node" validate:"required,slug"`
	// Addr is the address at which the other nodes reach the node's listen.peers.
	Addr string `yaml:"addr" validate:"required,hostport"`
	// Domain is the node's failure domain.
	Domain string `yaml:"domain" validate:"required,slug"`
	// Detours is the address at which the other nodes reach the node's listen.detours; empty if it has
	// none.
	Detours string `yaml:"detours,omitempty" validate:"omitempty,hostport"`
	// Voter is the node's member id in the control group; 0 if the node has no vote.
	Voter uint64 `yaml:"voter,omitempty"`
}

// Store holds the limits that the platform states for its weight store.
type Store struct {
	// Width is the number of concurrent loads that all run at full speed; 4 if
	// unset.
	Width int `yaml:"width,omitempty" validate:"gte=0"`
	// Rate is the maximum number of loads started per second; 4 if unset.
	Rate float64 `yaml:"rate,omitempty" validate:"gte=0"`
	// AdapterWidth is the number of concurrent adapter loads, over all upstreams,
	// that all run at full speed; 30 if unset.
	AdapterWidth int `yaml:"adapterWidth,omitempty" validate:"gte=0"`
}

// Stop sets the timing of a planned stop.
type Stop struct {
	// BalancerLag is how long the load balancer may still send requests after the
	// node's readiness check begins to fail; 3s if unset.
	BalancerLag contract.Duration `yaml:"balancerLag,omitempty" validate:"gte=0"`
	// Limit is the maximum wait for requests in progress; unlimited if unset.
	Limit contract.Duration `yaml:"limit,omitempty" validate:"gte=0"`
}

// Log sets the level and format of the log.
type Log struct {
	// Level is the lowest level that is logged; info if unset.
	Level string `yaml:"level,omitempty" validate:"omitempty,oneof=debug info warning error"`
	// Format is the output format, text or json; json if unset.
	Format string `yaml:"format,omitempty" validate:"omitempty,oneof=text json"`
}

// Defaults for unset fields.
const (
	defaultStoreWidth   = 4
	defaultStoreRate    = 4
	defaultAdapterWidth = 30
	defaultBalancerLag  = 3 * time.Second
	// defaultMemoryMB holds what the bodies and heads of a node's calls may take.
	defaultMemoryMB = 512
)

// Load reads and validates the settings in a file and fills in the defaults.
// Invalid settings give a yamlcheck.Problems error.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Wrap(err, "read settings")
	}
	return Decode(path, data)
}

// Decode decodes and validates YAML settings and fills in the defaults. The parameter
// file is the file name in error texts; nothing is read from it. The error is a
// yamlcheck.Problems.
func Decode(file string, data []byte) (Config, error) {
	var c Config
	if err := yamlcheck.Decode(file, data, &c, crossFieldFaults); err != nil {
		return Config{}, err
	}
	c.fillDefaults()
	return c, nil
}

func (c *Config) fillDefaults() {
	if c.Store.Width == 0 {
		c.Store.Width = defaultStoreWidth
	}
	if c.Store.Rate == 0 {
		c.Store.Rate = defaultStoreRate
	}
	if c.Store.AdapterWidth == 0 {
		c.Store.AdapterWidth = defaultAdapterWidth
	}
	if c.Stop.BalancerLag == 0 {
		c.Stop.BalancerLag = contract.Duration(defaultBalancerLag)
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Log.Level == "" {
		c.Log.Level = "info"
	}
	if c.Log.Format == "" {
		c.Log.Format = "json"
	}
}

// Self returns this node's entry in Peers, or the zero Peer if there is none.
func (c Config) Self() Peer {
	for _, p := range c.Peers {
		if p.Node == c.Node {
			return p
		}
	}
	return Peer{}
}

// crossFieldFaults returns the violations of rules that span several fields.
func crossFieldFaults(c *Config) []yamlcheck.Fault {
	var faults []yamlcheck.Fault
	add := func(field, rule string) { faults = append(faults, yamlcheck.Fault{Field: field, Rule: rule}) }
	checkListen(c, add)
	checkPeers(c, add)
	checkSelf(c, add)
	return faults
}

// checkListen reports addresses that are listed twice. Port 0 may repeat, since
// the kernel picks a free port for each listener.
func checkListen(c *Config, add func(field, rule string)) {
	fieldByAddr := map[string]string{}
	listenAddrs := []struct{ field, addr string }{
		{"listen.callers", c.Listen.Callers},
		{"listen.upstreams", c.Listen.Upstreams},
		{"listen.operators", c.Listen.Operators},
		{"listen.peers", c.Listen.Peers},
	}
	if c.Listen.Detours != "" {
		listenAddrs = append(listenAddrs, struct{ field, addr string }{"listen.detours", c.Listen.Detours})
	}
	for _, l := range listenAddrs {
		if first, ok := fieldByAddr[l.addr]; ok && !hasPortZero(l.addr) {
			add(l.field, "is the same address as "+first)
		}
		fieldByAddr[l.addr] = l.field
	}
}

// hasPortZero reports whether addr is an IP address with port 0.
func hasPortZero(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Port() == 0
}

// checkPeers reports duplicate names, addresses and member ids. It requires an odd
// number of voters, because an even number needs a larger quorum than the odd number
// below it and survives no more losses.
func checkPeers(c *Config, add func(field, rule string)) {
	names := map[string]bool{}
	addrs := map[string]bool{}
	voters := map[uint64]bool{}
	voterCount := 0
	for i, p := range c.Peers {
		peerField := fmt.Sprintf("peers[%d]", i)
		if names[p.Node] {
			add(peerField+".node", "is the name of an earlier peer")
		}
		if addrs[p.Addr] {
			add(peerField+".addr", "is the address of an earlier peer")
		}
		if p.Voter != 0 && voters[p.Voter] {
			add(peerField+".voter", "is the member id of an earlier peer")
		}
		names[p.Node] = true
		addrs[p.Addr] = true
		if p.Voter != 0 {
			voters[p.Voter] = true
			voterCount++
		}
	}
	if voterCount == 0 {
		add("peers", "must have at least one voter")
	}
	if voterCount > 0 && voterCount%2 == 0 {
		add("peers", fmt.Sprintf("have %d voters; use an odd number: one voter fewer survives as many losses", voterCount))
	}
}

// checkSelf reports differences between this node's own settings and its entry
// in Peers.
func checkSelf(c *Config, add func(field, rule string)) {
	self := c.Self()
	switch {
	case self.Node == "":
		add("peers", "must contain this node, "+c.Node)
	case self.Domain != c.Domain:
		add("domain", "differs from the domain of this node in peers, "+self.Domain)
	case self.Voter != 0 && c.Data == "":
		add("data", "is required on a node that has a vote")
	case self.Voter == 0 && c.Data != "":
		add("data", "must be empty on a node that has no vote in peers")
	}
}
