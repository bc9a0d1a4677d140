package quorum

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simnet"
)

// suite is the test that the synctest bubbles of specs belong to.
var suite *testing.T

func TestQuorum(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "quorum")
}

// member is a simulated core machine: its disk, which outlives crashes, and its
// running process. cancel is nil while the process is down.
type member struct {
	disk    *simnet.Disk
	mount   *simnet.Mount
	replica *Replica
	server  *httpserver.Server
	cancel  context.CancelFunc
}

// threeDiskCluster is a set of three core machines in a simulated network.
type threeDiskCluster struct {
	network   *simnet.Network
	seed      uint64
	startTime time.Time
	members   [3]*member
}

func address(i int) string { return fmt.Sprintf("10.9.0.%d:7001", i+1) }

func ip(i int) string { return fmt.Sprintf("10.9.0.%d", i+1) }

func newThreeDiskCluster(seed uint64) *threeDiskCluster {
	c := &threeDiskCluster{seed: seed, startTime: time.Now(), network: simnet.NewNetwork(random.Seeded(seed), func(_, _ string) time.Duration { return time.Millisecond })}
	for i := range c.members {
		c.members[i] = &member{disk: simnet.NewDisk(random.Seeded(seed + uint64(i)))}
		c.start(i)
	}
	return c
}

// start starts a machine with the disk it had.
func (c *threeDiskCluster) start(i int) {
	c.seed++
	m := c.members[i]
	m.mount = simnet.NewMount(m.disk)
	s := base.Scope{
		Context: context.Background(), Node: address(i), Clock: simnet.NewClock(c.startTime), Net: c.network.At(ip(i), "core"), Disk: m.mount,
		Rand: random.Seeded(c.seed * 7919), Log: hclog.NewNullLogger(), Journal: base.NewJournal(1000),
	}
	s, m.cancel = s.WithCancel()
	store, err := OpenStore(s, 4)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var peers []Peer
	for j := range c.members {
		peers = append(peers, Peer{Name: address(j), Address: address(j)})
	}
	m.replica = New(s, store, httpserver.NewClient(s), address(i), peers, 500*time.Millisecond)
	mux := http.NewServeMux()
	mux.Handle(Handler(m.replica))
	m.server, err = httpserver.Serve(s, address(i), mux)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go m.replica.Recover(s, 200*time.Millisecond)
}

// crash ends a machine without a shutdown. Its disk remains.
func (c *threeDiskCluster) crash(i int) {
	m := c.members[i]
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.mount.Unmount()
	c.network.Crash(ip(i), "", false)
	m.server.Close()
	m.cancel = nil
}

// close ends all machines and waits for background calls to end.
func (c *threeDiskCluster) close() {
	for i := range c.members {
		c.crash(i)
	}
	c.network.Close()
	time.Sleep(time.Minute)
}

// ready reports whether the machines with these indices may vote on all keys.
func (c *threeDiskCluster) ready(indices ...int) bool {
	for _, i := range indices {
		if !c.members[i].replica.Ready() || len(c.members[i].replica.store.DamagedKeys()) > 0 {
			return false
		}
	}
	return true
}

func (c *threeDiskCluster) write(i int, value string) error {
	return c.members[i].replica.Change(c.members[i].replica.scope, "key", func([]byte) ([]byte, error) { return []byte(value), nil })
}

func (c *threeDiskCluster) read(i int) (string, error) {
	value, err := c.members[i].replica.Read(c.members[i].replica.scope, "key")
	return string(value), err
}

// scenario adds a spec for each of three seeds.
func scenario(description string, run func(c *threeDiskCluster)) {
	for seed := range uint64(3) {
		ginkgo.It(description, func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				c := newThreeDiskCluster(seed + 1)
				defer c.close()
				run(c)
			})
		})
	}
}
