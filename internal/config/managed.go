package config

import (
	"cmp"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/cockroachdb/errors"
)

// Managed holds the settings of one process of a managed deployment. Nodes
// discover each other through seeds, upstreams announce themselves, and operators
// apply whole configurations. A process with Listen.Callers is an entry node and
// carries callers' requests; one with Listen.Operators is a control node and needs
// a data folder.
type Managed struct {
	// Node is the unique name of this machine.
	Node string `yaml:"node" validate:"required"`
	// Domain is the failure domain of this machine.
	Domain string `yaml:"domain" validate:"required"`
	// Listen holds the addresses that this process listens on.
	Listen ManagedListen `yaml:"listen"`
	// Seeds lists the listen.operators addresses of some control nodes.
	Seeds []string `yaml:"seeds" validate:"required,min=1,dive,hostport"`
	// FirstStart is set when the whole deployment starts for the first time, with
	// empty disks. The control nodes in Seeds then bootstrap the control group.
	FirstStart bool `yaml:"firstStart,omitempty"`
	// Secret is the shared secret with which all nodes authenticate to each other; at
	// least 16 characters.
	Secret string `yaml:"secret" validate:"required,min=16"`
	// Data is the data folder of a control node.
	Data string `yaml:"data,omitempty"`
	// Losses is how many control nodes may be lost at once. The control group has
	// 2*Losses+1 voters.
	Losses int `yaml:"losses,omitempty" validate:"gte=0,lte=3"`
	// CatchUp is the time that a new control node has to take the place of one that is
	// gone. After it, Losses other ones may be lost. Zero means the default.
	CatchUp contract.Duration `yaml:"catchUp,omitempty" validate:"gte=0"`
	// Heartbeat is the interval at which upstreams announce themselves.
	Heartbeat contract.Duration `yaml:"heartbeat" validate:"gt=0"`
	// OrderLease is how long a control node that takes over the sending of orders from
	// another one waits before its first order: the other one's orders may still be in
	// flight.
	OrderLease contract.Duration `yaml:"orderLease,omitempty" validate:"gte=0"`
	// FencesChecked is set if engines refuse orders with a lower fencing number than one
	// that they have seen.
	FencesChecked bool `yaml:"fencesChecked,omitempty"`
	// Stop is the time that a process has to exit once it is told to stop.
	Stop contract.Duration `yaml:"stop" validate:"gt=0"`
	// Retry limits the retries of all entry nodes together.
	Retry RetryBudget `yaml:"retry"`
	// Revocation is the time after the acknowledgement of a configuration without a key from which no call runs with
	// that key, on any entry node. An entry node that cannot prove that its configuration is as recent takes no calls.
	// Zero lets it go on with the configuration that it has.
	Revocation contract.Duration `yaml:"revocation,omitempty" validate:"gte=0"`
	// Quota is the tolerance of the tenants' quotas.
	Quota QuotaTolerance `yaml:"quota,omitempty"`
	// Store describes the platform's weight store.
	Store Store `yaml:"store,omitempty"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int `yaml:"memoryMB" validate:"gt=0"`
	// Descriptors is the number of file descriptors that the process may use; zero means that it is not known.
	Descriptors int `yaml:"descriptors,omitempty" validate:"gte=0"`
	// Connections limits the connections to the process.
	Connections Connections `yaml:"connections,omitempty"`
}

// DefaultCatchUp is the default of Managed.CatchUp.
const DefaultCatchUp = contract.Duration(4 * time.Second)

// ManagedListen holds the listen addresses of a process, each an IP address and
// port. An entry node sets Callers and Ready, a control node Operators.
type ManagedListen struct {
	// Callers accepts callers' requests.
	Callers string `yaml:"callers,omitempty" validate:"omitempty,hostport"`
	// Ready serves the load balancer's readiness check.
	Ready string `yaml:"ready,omitempty" validate:"omitempty,hostport"`
	// Operators accepts operators' changes and upstreams' announcements.
	Operators string `yaml:"operators,omitempty" validate:"omitempty,hostport"`
	// Links is the address at which other nodes reach this one. Its port is the same
	// on all nodes.
	Links string `yaml:"links" validate:"required,hostport"`
	// LinksBind is the address that the process listens on for links, if other nodes
	// connect through a proxy at Links; empty means Links.
	LinksBind string `yaml:"linksBind,omitempty" validate:"omitempty,hostport"`
	// Metrics serves counters, latency histograms and the node's overview; empty
	// means that they are not served.
	Metrics string `yaml:"metrics,omitempty" validate:"omitempty,hostport"`
}

// RetryBudget limits retries: in any time span of length Window, the retries
// toward a service number at most Ratio times the calls for it, plus Extra.
type RetryBudget struct {
	Ratio  float64           `yaml:"ratio" validate:"gte=0"`
	Extra  float64           `yaml:"extra" validate:"gte=0"`
	Window contract.Duration `yaml:"window" validate:"gt=0"`
}

// QuotaTolerance bounds by how much a tenant may exceed its quota: in any time span of length Window, its calls cost at
// most (rate x Window + burst) x (1 + Over) + Slack, over all entry nodes. Without a Window, quotas are not enforced.
type QuotaTolerance struct {
	Window contract.Duration `yaml:"window,omitempty" validate:"gte=0"`
	Over   float64           `yaml:"over,omitempty" validate:"gte=0"`
	Slack  float64           `yaml:"slack,omitempty" validate:"gte=0"`
}

// LoadManaged reads and validates the settings of a managed process in a file and
// fills in the defaults. Invalid settings give a yamlcheck.Problems error.
func LoadManaged(path string) (Managed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Managed{}, errors.Wrap(err, "read settings")
	}
	return DecodeManaged(path, data)
}

// DecodeManaged decodes and validates YAML settings and fills in the defaults. The
// name file is used in error texts only. The error is a yamlcheck.Problems.
func DecodeManaged(file string, data []byte) (Managed, error) {
	var c Managed
	if err := yamlcheck.Decode(file, data, &c, managedCrossFieldFaults); err != nil {
		return Managed{}, err
	}
	if c.CatchUp == 0 {
		c.CatchUp = DefaultCatchUp
	}
	if c.Store.Width == 0 {
		c.Store.Width = defaultStoreWidth
	}
	if c.Store.AdapterWidth == 0 {
		c.Store.AdapterWidth = defaultAdapterWidth
	}
	return c, nil
}

// managedCrossFieldFaults returns the violations of rules that span several fields.
func managedCrossFieldFaults(c *Managed) []yamlcheck.Fault {
	var faults []yamlcheck.Fault
	add := func(field, rule string) { faults = append(faults, yamlcheck.Fault{Field: field, Rule: rule}) }
	switch {
	case c.Listen.Callers == "" && c.Listen.Operators == "":
		add("listen", "must have callers or operators")
	case c.Listen.Callers != "" && c.Listen.Ready == "":
		add("listen.ready", "is required on an entry node")
	case c.Listen.Operators != "" && c.Data == "":
		add("data", "is required on a control node")
	}
	return faults
}

// DetourAddrs returns the address at which an entry node accepts detours of others, and the one to listen
// on: the port after that of its links.
func (c *Managed) DetourAddrs() (reached, bind string, err error) {
	if reached, err = nextPort(c.Listen.LinksBindAddr()); err != nil {
		return "", "", err
	}
	host, _, err := net.SplitHostPort(c.Listen.Links)
	if err != nil {
		return "", "", errors.Wrap(err, "listen.links")
	}
	_, port, err := net.SplitHostPort(reached)
	return net.JoinHostPort(host, port), reached, errors.Wrap(err, "listen.links")
}

// nextPort returns an address with its port increased by one.
func nextPort(addr string) (string, error) {
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", errors.Wrap(err, "listen.links")
	}
	port, err := strconv.Atoi(text)
	return net.JoinHostPort(host, strconv.Itoa(port+1)), errors.Wrap(err, "listen.links")
}

// LinkAddrFor returns the link address of the node with the given listen.operators
// address: the host of that address with the port of Listen.Links, which is the
// same on all nodes.
func (c *Managed) LinkAddrFor(operatorAddr string) (string, error) {
	host, _, err := net.SplitHostPort(operatorAddr)
	if err != nil {
		return "", errors.Wrap(err, "seed address")
	}
	_, port, err := net.SplitHostPort(c.Listen.Links)
	if err != nil {
		return "", errors.Wrap(err, "listen.links")
	}
	if _, err := strconv.Atoi(port); err != nil {
		return "", errors.Wrap(err, "port of listen.links")
	}
	return net.JoinHostPort(host, port), nil
}

// LinksBindAddr returns the address that the process listens on for links.
func (l *ManagedListen) LinksBindAddr() string { return cmp.Or(l.LinksBind, l.Links) }

// SeedLinkAddrs returns the link addresses of the seeds, in the order of Seeds.
func (c *Managed) SeedLinkAddrs() ([]string, error) {
	links := make([]string, len(c.Seeds))
	for i, seed := range c.Seeds {
		link, err := c.LinkAddrFor(seed)
		if err != nil {
			return nil, err
		}
		links[i] = link
	}
	return links, nil
}
