package config

import (
	"cmp"
	"net"
	"os"
	"strconv"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/cockroachdb/errors"
)

// Managed is the settings of one process of a managed deployment: nodes find
// each other from seeds, upstreams announce themselves, and operators put whole
// configurations in force. Entry nodes carry callers; control nodes have a data
// folder and a vote.
type Managed struct {
	// Node is the unique name of this machine.
	Node string `yaml:"node" validate:"required"`
	// Domain is the failure domain of this machine.
	Domain string `yaml:"domain" validate:"required"`
	// Listen are the addresses this process listens on.
	Listen ManagedListen `yaml:"listen"`
	// Seeds are the operators' addresses of some control nodes.
	Seeds []string `yaml:"seeds" validate:"required,min=1,dive,hostport"`
	// FirstStart says that the whole deployment starts for the first time, with
	// empty disks: the seeds found the control group.
	FirstStart bool `yaml:"firstStart,omitempty"`
	// Secret is the shared secret of all nodes, at least 16 characters.
	Secret string `yaml:"secret" validate:"required,min=16"`
	// Data is the data folder of a control node.
	Data string `yaml:"data,omitempty"`
	// Losses is how many control nodes may be lost at once.
	Losses int `yaml:"losses,omitempty" validate:"gte=0,lte=3"`
	// Heartbeat is how often upstreams announce themselves.
	Heartbeat contract.Duration `yaml:"heartbeat" validate:"gt=0"`
	// OrderLease is how long after the last order of one control node another one
	// sends its first.
	OrderLease contract.Duration `yaml:"orderLease,omitempty" validate:"gte=0"`
	// Stop is how long a process has to end after it was told to.
	Stop contract.Duration `yaml:"stop" validate:"gt=0"`
	// Retry bounds the second sends of all nodes together.
	Retry RetryBudget `yaml:"retry"`
	// Store describes the platform's weight store.
	Store Store `yaml:"store,omitempty"`
	// MemoryMB is the memory that the process may use.
	MemoryMB int `yaml:"memoryMB" validate:"gt=0"`
}

// ManagedListen are the addresses of a process, each an IP address and port. An
// entry node has Callers and Ready, a control node Operators.
type ManagedListen struct {
	// Callers takes requests of callers.
	Callers string `yaml:"callers,omitempty" validate:"omitempty,hostport"`
	// Ready answers the balancer's question whether the node takes callers.
	Ready string `yaml:"ready,omitempty" validate:"omitempty,hostport"`
	// Operators takes operators' changes and upstreams' announcements.
	Operators string `yaml:"operators,omitempty" validate:"omitempty,hostport"`
	// Links takes connections of other nodes. Its port is the same on all nodes.
	Links string `yaml:"links" validate:"required,hostport"`
	// LinksBind is where the process itself listens for them, if something stands
	// before it that the other nodes connect to; empty means Links.
	LinksBind string `yaml:"linksBind,omitempty" validate:"omitempty,hostport"`
	// Metrics serves counters and latency histograms; empty means none.
	Metrics string `yaml:"metrics,omitempty" validate:"omitempty,hostport"`
}

// RetryBudget bounds second sends: in any window, the calls sent to a service
// again are at most Ratio of the calls for it, and Extra.
type RetryBudget struct {
	Ratio  float64           `yaml:"ratio" validate:"gte=0"`
	Extra  float64           `yaml:"extra" validate:"gte=0"`
	Window contract.Duration `yaml:"window" validate:"gt=0"`
}

// LoadManaged reads the settings of a managed process from a file. An error of
// the settings is a yamlcheck.Problems.
func LoadManaged(path string) (Managed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Managed{}, errors.Wrap(err, "read settings")
	}
	return DecodeManaged(path, data)
}

// DecodeManaged reads the settings from YAML, checks them and fills defaults.
func DecodeManaged(file string, data []byte) (Managed, error) {
	var c Managed
	if err := yamlcheck.Decode(file, data, &c, managedFaults); err != nil {
		return Managed{}, err
	}
	if c.Store.Width == 0 {
		c.Store.Width = defaultStoreWidth
	}
	if c.Store.AdapterWidth == 0 {
		c.Store.AdapterWidth = defaultAdapterWidth
	}
	return c, nil
}

func managedFaults(c *Managed) []yamlcheck.Fault {
	var faults []yamlcheck.Fault
	add := func(field, rule string) { faults = append(faults, yamlcheck.Fault{Field: field, Rule: rule}) }
	switch {
	case c.Listen.Callers == "" && c.Listen.Operators == "":
		add("listen", "needs callers or operators")
	case c.Listen.Callers != "" && c.Listen.Ready == "":
		add("listen.ready", "is required on an entry node")
	case c.Listen.Operators != "" && c.Data == "":
		add("data", "is required on a control node")
	}
	return faults
}

// LinkOf is the address for links of the node whose operators' address is given:
// the port is the same on all nodes.
func (c *Managed) LinkOf(operators string) (string, error) {
	host, _, err := net.SplitHostPort(operators)
	if err != nil {
		return "", errors.Wrap(err, "seed address")
	}
	_, port, err := net.SplitHostPort(c.Listen.Links)
	if err != nil {
		return "", errors.Wrap(err, "address for links")
	}
	if _, err := strconv.Atoi(port); err != nil {
		return "", errors.Wrap(err, "port for links")
	}
	return net.JoinHostPort(host, port), nil
}

// BindLinks is where the process listens for connections of other nodes.
func (l *ManagedListen) BindLinks() string { return cmp.Or(l.LinksBind, l.Links) }

// SeedLinks are the link addresses of the seeds.
func (c *Managed) SeedLinks() ([]string, error) {
	links := make([]string, len(c.Seeds))
	for i, s := range c.Seeds {
		link, err := c.LinkOf(s)
		if err != nil {
			return nil, err
		}
		links[i] = link
	}
	return links, nil
}
