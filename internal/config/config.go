// Package config reads the settings of one node from YAML. A field comment is
// the documentation of the setting.
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

// Config is the settings of one node.
type Config struct {
	// Group is the name of the group of nodes that share one control state.
	Group string `yaml:"group" validate:"required,slug"`
	// Node is the unique name of this node.
	Node string `yaml:"node" validate:"required,slug"`
	// Domain is the failure domain of this node's VM.
	Domain string `yaml:"domain" validate:"required,slug"`
	// Listen are the addresses this node listens on.
	Listen Listen `yaml:"listen"`
	// Secret is the shared secret of the group's nodes, at least 16 characters.
	Secret string `yaml:"secret" validate:"required,min=16"`
	// OperatorToken is the bearer token of operators, at least 16 characters.
	OperatorToken string `yaml:"operatorToken" validate:"required,min=16"`
	// UpstreamToken is the bearer token that upstreams present when they announce
	// themselves, at least 16 characters; empty lets any upstream announce.
	UpstreamToken string `yaml:"upstreamToken,omitempty" validate:"omitempty,min=16"`
	// Data is the data folder. A node with one is a voter of the control group.
	Data string `yaml:"data,omitempty"`
	// Peers are all nodes of the group, this one included.
	Peers []Peer `yaml:"peers" validate:"required,min=1,dive"`
	// Store describes the platform's weight store.
	Store Store `yaml:"store,omitempty"`
	// Stop describes a planned stop.
	Stop Stop `yaml:"stop,omitempty"`
	// Log describes the log.
	Log Log `yaml:"log,omitempty"`
}

// Listen are a node's addresses, each an IP address and port.
type Listen struct {
	// Callers takes requests of callers.
	Callers string `yaml:"callers" validate:"required,hostport"`
	// Upstreams takes announcements of upstreams.
	Upstreams string `yaml:"upstreams" validate:"required,hostport"`
	// Operators takes operators' commands and serves metrics.
	Operators string `yaml:"operators" validate:"required,hostport"`
	// Peers takes links of other nodes.
	Peers string `yaml:"peers" validate:"required,hostport"`
}

// Peer is one node of the group.
type Peer struct {
	// Node is the node's name.
	Node string `yaml:"node" validate:"required,slug"`
	// Addr is the address of its links: listen.peers as others reach it.
	Addr string `yaml:"addr" validate:"required,hostport"`
	// Domain is the node's failure domain.
	Domain string `yaml:"domain" validate:"required,slug"`
	// Voter is the node's member id in the control group; 0 if it has no vote.
	Voter uint64 `yaml:"voter,omitempty"`
}

// Store describes the platform's weight store, as the platform states it.
type Store struct {
	// Width is how many loads run at full speed at once; 4 if unset.
	Width int `yaml:"width,omitempty" validate:"gte=0"`
	// Rate is how many loads a second may start; 4 if unset.
	Rate float64 `yaml:"rate,omitempty" validate:"gte=0"`
	// AdapterWidth is how many adapter loads run at full speed at once, over all
	// upstreams; 30 if unset.
	AdapterWidth int `yaml:"adapterWidth,omitempty" validate:"gte=0"`
}

// Stop describes a planned stop.
type Stop struct {
	// BalancerLag is how long the balancer may still send requests after
	// readiness failed; 3s if unset.
	BalancerLag contract.Duration `yaml:"balancerLag,omitempty" validate:"gte=0"`
	// Limit bounds the wait for requests in progress; unset means no limit.
	Limit contract.Duration `yaml:"limit,omitempty" validate:"gte=0"`
}

// Log describes the log.
type Log struct {
	// Level is the lowest level that is written; info if unset.
	Level string `yaml:"level,omitempty" validate:"omitempty,oneof=debug info warning error"`
	// Format is text or json; json if unset.
	Format string `yaml:"format,omitempty" validate:"omitempty,oneof=text json"`
}

// Defaults of unset fields.
const (
	defaultStoreWidth   = 4
	defaultStoreRate    = 4
	defaultAdapterWidth = 30
	defaultBalancerLag  = 3 * time.Second
)

// Load reads the settings from a file. An error of the settings is a
// yamlcheck.Problems.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Wrap(err, "read settings")
	}
	return Decode(path, data)
}

// Decode reads the settings from YAML, checks them and fills defaults.
func Decode(file string, data []byte) (Config, error) {
	var c Config
	if err := yamlcheck.Decode(file, data, &c, crossFaults); err != nil {
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
	if c.Log.Level == "" {
		c.Log.Level = "info"
	}
	if c.Log.Format == "" {
		c.Log.Format = "json"
	}
}

// Self is this node's entry among the peers.
func (c Config) Self() Peer {
	for _, p := range c.Peers {
		if p.Node == c.Node {
			return p
		}
	}
	return Peer{}
}

// crossFaults checks rules between fields.
func crossFaults(c *Config) []yamlcheck.Fault {
	var faults []yamlcheck.Fault
	add := func(field, rule string) { faults = append(faults, yamlcheck.Fault{Field: field, Rule: rule}) }
	checkListen(c, add)
	checkPeers(c, add)
	checkSelf(c, add)
	return faults
}

func checkListen(c *Config, add func(field, rule string)) {
	seen := map[string]string{}
	listens := []struct{ field, addr string }{
		{"listen.callers", c.Listen.Callers},
		{"listen.upstreams", c.Listen.Upstreams},
		{"listen.operators", c.Listen.Operators},
		{"listen.peers", c.Listen.Peers},
	}
	for _, l := range listens {
		if first, ok := seen[l.addr]; ok && !portZero(l.addr) {
			add(l.field, "is the same address as "+first)
		}
		seen[l.addr] = l.field
	}
}

func portZero(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Port() == 0
}

func checkPeers(c *Config, add func(field, rule string)) {
	names := map[string]bool{}
	addrs := map[string]bool{}
	voters := map[uint64]bool{}
	count := 0
	for i, p := range c.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		if names[p.Node] {
			add(path+".node", "is the name of an earlier peer")
		}
		if addrs[p.Addr] {
			add(path+".addr", "is the address of an earlier peer")
		}
		if p.Voter != 0 && voters[p.Voter] {
			add(path+".voter", "is the member id of an earlier peer")
		}
		names[p.Node] = true
		addrs[p.Addr] = true
		if p.Voter != 0 {
			voters[p.Voter] = true
			count++
		}
	}
	if count == 0 {
		add("peers", "need at least one voter")
	}
	if count > 0 && count%2 == 0 {
		add("peers", fmt.Sprintf("have %d voters; an odd number survives more losses", count))
	}
}

func checkSelf(c *Config, add func(field, rule string)) {
	self := c.Self()
	switch {
	case self.Node == "":
		add("peers", "must contain this node, "+c.Node)
	case self.Domain != c.Domain:
		add("domain", "differs from this node's domain among the peers, "+self.Domain)
	case self.Voter != 0 && c.Data == "":
		add("data", "is required on a node that has a vote")
	case self.Voter == 0 && c.Data != "":
		add("data", "is set on a node that has no vote among the peers")
	}
}
