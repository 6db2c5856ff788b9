// Package demo runs a demonstration of agateslip in one process: three nodes and a
// few stand-in upstreams on loopback ports. It sends one request of each kind and
// prints every outcome with its timing.
package demo

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/node"
	"github.com/agateslip/agateslip/internal/operator"
	"github.com/agateslip/agateslip/internal/portreserve"
	"github.com/agateslip/agateslip/internal/standin"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	nodeCount     = 3
	operatorToken = "demo-operator-token"
	// gibibyte is the number of bytes in a GiB, for accelerator memory.
	gibibyte = 1 << 30
	// timeScale is the factor on the stand-ins' simulated times.
	timeScale = 0.1
	// readyTimeout limits how long the nodes and upstreams take to become ready.
	readyTimeout = 10 * time.Second
	// readyPoll is the interval between two checks of a node's status until it is ready.
	readyPoll = 20 * time.Millisecond
)

// domains holds the failure domain of each node.
var domains = [nodeCount]string{"muc", "nue", "aug"}

// cluster holds the nodes and upstreams of the demonstration.
type cluster struct {
	// dataDir is the temporary folder that holds the nodes' data folders.
	dataDir   string
	nodes     []*node.Node
	store     *standin.Store
	engines   []*standin.Engine
	service   *standin.Service
	group     *errgroup.Group
	stopNodes context.CancelFunc
	// ports keeps the ports that the nodes listen on for their peers.
	ports []*portreserve.Reservation
}

// startCluster starts the nodes and the upstreams and waits until all are ready.
func startCluster(ctx context.Context, log logrus.FieldLogger) (*cluster, error) {
	dir, err := os.MkdirTemp("", "agateslip-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	c := &cluster{dataDir: dir}
	if err := c.startNodes(ctx, log); err != nil {
		c.cleanUp()
		return nil, err
	}
	if err := c.startUpstreams(ctx); err != nil {
		c.cleanUp()
		return nil, err
	}
	if err := c.waitReady(ctx); err != nil {
		c.cleanUp()
		return nil, err
	}
	return c, nil
}

func (c *cluster) startNodes(ctx context.Context, log logrus.FieldLogger) error {
	peers, err := c.reservePorts()
	if err != nil {
		return err
	}
	for i := range nodeCount {
		cfg, err := c.nodeSettings(i, peers)
		if err != nil {
			return err
		}
		if _, err := node.InitVoter(cfg); err != nil {
			return err
		}
		n, err := node.New(cfg, log)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	c.stopNodes = stop
	c.group = &errgroup.Group{}
	for _, n := range c.nodes {
		c.group.Go(func() error { return n.Run(runCtx) })
	}
	return nil
}

// reservePorts returns a loopback address for each node's listen.peers. No other program gets
// these ports until cleanUp.
func (c *cluster) reservePorts() ([]string, error) {
	var addrs []string
	for range nodeCount {
		r, err := portreserve.Reserve("127.0.0.1", 0)
		if err != nil {
			return nil, err
		}
		c.ports = append(c.ports, r)
		addrs = append(addrs, r.Addr)
	}
	return addrs, nil
}

// nodeSettings returns the settings of node i. It decodes them from YAML, so that they
// pass the same checks as an operator's settings.
func (c *cluster) nodeSettings(i int, peerAddrs []string) (config.Config, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "group: demo\nnode: node-%d\ndomain: %s\n", i+1, domains[i])
	fmt.Fprintf(&b, "listen: {callers: '127.0.0.1:0', upstreams: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '%s'}\n", peerAddrs[i])
	fmt.Fprintf(&b, "secret: demo-secret-of-the-nodes\noperatorToken: %s\n", operatorToken)
	fmt.Fprintf(&b, "data: %s\n", filepath.Join(c.dataDir, domains[i]))
	b.WriteString("stop: {balancerLag: 100ms}\npeers:\n")
	for j, addr := range peerAddrs {
		fmt.Fprintf(&b, "  - {node: node-%d, addr: '%s', domain: %s, voter: %d}\n", j+1, addr, domains[j], j+1)
	}
	return config.Decode("demo", []byte(b.String()))
}

func (c *cluster) startUpstreams(ctx context.Context) error {
	c.store = standin.NewStore(standin.StoreConfig{Scale: timeScale})
	if err := c.store.Start(ctx); err != nil {
		return err
	}
	var entryAddrs []string
	for _, n := range c.nodes {
		entryAddrs = append(entryAddrs, n.UpstreamsAddr())
	}
	for i := range 2 {
		e := standin.NewEngine(standin.EngineConfig{
			ID:            fmt.Sprintf("engine-%d", i+1),
			Domain:        domains[i],
			Entries:       entryAddrs,
			Memory:        24 * gibibyte,
			Slots:         4,
			ChecksFencing: true,
			Copies:        []directory.Copy{{Model: "loudness-7b", Tier: directory.TierDisk}},
			Store:         c.store.Addr(),
			Scale:         timeScale,
			LeaveGrace:    100 * time.Millisecond,
		})
		if err := e.Start(ctx); err != nil {
			return err
		}
		c.engines = append(c.engines, e)
	}
	c.service = standin.NewService(standin.ServiceConfig{
		ID: "queue-1", Domain: domains[2], Entries: entryAddrs, Service: "queue", LeaveGrace: 100 * time.Millisecond,
	})
	return c.service.Start(ctx)
}

// operatorClient returns a client for the operator API of node i.
func (c *cluster) operatorClient(i int) *operator.Client {
	client := operator.NewClient(c.nodes[i].OperatorsAddr(), operatorToken, "demo")
	// waitReady reads the status of nodes that cannot prove their state to be current
	// yet, so stale answers are accepted.
	client.OnStale = func(time.Duration, bool) {}
	return client
}

// waitReady waits until every node accepts requests and knows all upstreams.
func (c *cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range c.nodes {
		for {
			s, err := c.operatorClient(i).Status(ctx)
			if err == nil && s.Ready && len(s.Upstreams) == len(c.engines)+1 {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "node %d is not ready", i+1)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// shutdown stops the nodes with a planned stop, then the upstreams.
func (c *cluster) shutdown(ctx context.Context) error {
	c.stopNodes()
	err := c.group.Wait()
	for _, e := range c.engines {
		err = errors.CombineErrors(err, e.Stop(ctx))
	}
	if c.service != nil {
		err = errors.CombineErrors(err, c.service.Stop(ctx))
	}
	if c.store != nil {
		err = errors.CombineErrors(err, c.store.Stop(ctx))
	}
	return err
}

// cleanUp tells the nodes to stop and removes the data folders. It does not wait until
// the nodes have stopped, which shutdown does.
func (c *cluster) cleanUp() {
	if c.stopNodes != nil {
		c.stopNodes()
	}
	for _, r := range c.ports {
		_ = r.Release() // the process ends soon
	}
	_ = os.RemoveAll(c.dataDir)
}
