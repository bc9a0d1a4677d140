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
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

// cluster is a set of core machines in a simulated network. It differs from
// threeDiskCluster in that it has any number of machines and shorter timeouts.
type cluster struct {
	seed      uint64
	startTime time.Time
	network   *simnet.Network
	members   []*member
}

func newCluster(seed uint64, count int) *cluster {
	c := &cluster{seed: seed, startTime: time.Now(), network: simnet.NewNetwork(random.Seeded(seed), func(_, _ string) time.Duration { return time.Millisecond })}
	for i := range count {
		c.members = append(c.members, &member{disk: simnet.NewDisk(random.Seeded(seed + uint64(i)))})
	}
	for i := range c.members {
		c.start(i)
	}
	return c
}

// start starts a machine with the disk it had.
func (c *cluster) start(i int, options ...Option) {
	c.seed++
	m := c.members[i]
	m.mount = simnet.NewMount(m.disk)
	s := base.Scope{
		Context: context.Background(), Node: address(i), Clock: simnet.NewClock(c.startTime), Net: c.network.At(ip(i), "core"), Disk: m.mount,
		Rand: random.Seeded(c.seed * 7919), Log: hclog.NewNullLogger(), Journal: base.NewJournal(1000),
	}
	s, m.cancel = s.WithCancel()
	store, err := OpenStore(s, 4)
	Expect(err).NotTo(HaveOccurred())
	var peers []Peer
	for j := range c.members {
		peers = append(peers, Peer{Name: address(j), Address: address(j)})
	}
	m.replica = New(s, store, httpserver.NewClient(s), address(i), peers, 300*time.Millisecond, options...)
	mux := http.NewServeMux()
	mux.Handle(Handler(m.replica))
	m.server, err = httpserver.Serve(s, address(i), mux)
	Expect(err).NotTo(HaveOccurred())
	go m.replica.Recover(s, 100*time.Millisecond)
}

// crash ends a machine without a shutdown. Its disk remains.
func (c *cluster) crash(i int) {
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

// wipe ends a machine and erases its disk.
func (c *cluster) wipe(i int) {
	c.crash(i)
	c.members[i].disk.Wipe()
}

// close ends all machines and waits for background calls to end.
func (c *cluster) close() {
	for i := range c.members {
		c.crash(i)
	}
	c.network.Close()
	time.Sleep(time.Minute)
}

// eventually polls a condition for up to 10 s and reports whether it became true.
func (c *cluster) eventually(condition func() bool) bool {
	for range 1000 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// ready reports whether the disks with these indices have recovered.
func (c *cluster) ready(indices ...int) bool {
	for _, i := range indices {
		if !c.members[i].replica.Ready() {
			return false
		}
	}
	return true
}

func (c *cluster) write(i int, value string) error {
	replica := c.members[i].replica
	return replica.Change(replica.scope, "key", func([]byte) ([]byte, error) { return []byte(value), nil })
}

// readEventually returns the result of the first read that succeeds.
func (c *cluster) readEventually(i int) (value string) {
	Expect(c.eventually(func() bool {
		replica := c.members[i].replica
		read, err := replica.Read(replica.scope, "key")
		value = string(read)
		return err == nil
	})).To(BeTrue())
	return value
}

// holders returns the indices of the disks that have a value.
func (c *cluster) holders(value string) (found []int) {
	for i, m := range c.members {
		if _, entry := m.replica.store.Peek("key"); string(entry.GetValue()) == value {
			found = append(found, i)
		}
	}
	return found
}

func allIndices(count int) (all []int) {
	for i := range count {
		all = append(all, i)
	}
	return all
}

// clusterScenario adds a spec, for each of three seeds, that runs once all disks
// are ready.
func clusterScenario(count int, description string, run func(c *cluster)) {
	for seed := range uint64(3) {
		ginkgo.It(fmt.Sprintf("%s (%d disks, seed %d)", description, count, seed+1), func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				c := newCluster(seed*100+1, count)
				defer c.close()
				Expect(c.eventually(func() bool { return c.ready(allIndices(count)...) })).To(BeTrue())
				run(c)
			})
		})
	}
}

var _ = ginkgo.Describe("recovery of wiped disks", func() {
	for _, count := range []int{3, 4, 5} {
		majority := count/2 + 1
		recoveryQuorum := count - majority + 1

		clusterScenario(count, "given a value on the smallest majority, when as many of its disks are wiped as can be recovered, then they fetch the value before they vote", func(c *cluster) {
			Expect(c.write(0, "old")).To(Succeed())
			for i := majority; i < count; i++ {
				c.crash(i)
			}
			Expect(c.write(0, "new")).To(Succeed())
			Expect(c.eventually(func() bool { return len(c.holders("new")) == majority })).To(BeTrue())
			lost := min(majority-1, count-recoveryQuorum)
			for i := range lost {
				c.wipe(i)
			}
			for i := majority; i < count; i++ {
				c.start(i)
			}
			for i := range lost {
				c.start(i, DiskWiped)
			}
			Expect(c.eventually(func() bool { return c.ready(allIndices(count)...) })).To(BeTrue())
			for i := range lost {
				_, entry := c.members[i].replica.store.Peek("key")
				Expect(string(entry.GetValue())).To(Equal("new"))
			}
			Expect(c.readEventually(0)).To(Equal("new"))
		})

		clusterScenario(count, "given a wiped disk, when fewer other disks than the recovery quorum are available, then it doesn't vote", func(c *cluster) {
			Expect(c.write(0, "old")).To(Succeed())
			c.wipe(0)
			for i := recoveryQuorum; i < count; i++ {
				c.crash(i)
			}
			c.start(0, DiskWiped)
			time.Sleep(5 * time.Second)
			Expect(c.ready(0)).To(BeFalse())
			Expect(c.write(0, "new")).NotTo(Succeed())
			if recoveryQuorum < count {
				c.start(recoveryQuorum)
				Expect(c.eventually(func() bool { return c.ready(0) })).To(BeTrue())
			}
		})
	}

	clusterScenario(3, "given that all disks were wiped, when they start with the option DiskWiped, then they start no new set; without it they do", func(c *cluster) {
		Expect(c.write(0, "old")).To(Succeed())
		for _, options := range [][]Option{{DiskWiped}, {}} {
			for i := range c.members {
				c.wipe(i)
			}
			for i := range c.members {
				c.start(i, options...)
			}
			Expect(c.eventually(func() bool { return c.ready(0, 1, 2) })).To(Equal(len(options) == 0))
		}
	})

	clusterScenario(3, "given a disk that was wiped during the bootstrap, when it joins others that never voted, then the bootstrap completes", func(c *cluster) {
		for i := range c.members {
			c.wipe(i)
		}
		c.start(0)
		c.start(1)
		c.start(2)
		Expect(c.eventually(func() bool {
			return c.members[0].replica.store.Phase() == wire.Phase_FRESH && c.members[1].replica.store.Phase() == wire.Phase_FRESH
		})).To(BeTrue())
		c.wipe(2)
		c.crash(0)
		c.crash(1)
		c.start(0)
		c.start(1)
		c.start(2, DiskWiped)
		Expect(c.eventually(func() bool { return c.ready(0, 1, 2) })).To(BeTrue())
	})

	clusterScenario(3, "given a wiped disk, when it joins, then it first waits until the rounds that rely on its lost promises have timed out", func(c *cluster) {
		c.wipe(0)
		c.start(0, DiskWiped)
		time.Sleep(600 * time.Millisecond)
		Expect(c.ready(0)).To(BeFalse())
		Expect(c.eventually(func() bool { return c.ready(0) })).To(BeTrue())
	})

	clusterScenario(3, "given a disk with a damaged key, when a quorum read is made, then the damaged disk doesn't count as having no entry", func(c *cluster) {
		c.crash(2)
		Expect(c.write(0, "new")).To(Succeed())
		Expect(c.eventually(func() bool { return len(c.holders("new")) == 2 })).To(BeTrue())
		c.crash(0)
		c.crash(1)
		Expect(c.members[1].disk.FlipBits("/v-")).NotTo(BeEmpty())
		c.start(1)
		c.start(2)
		time.Sleep(time.Second)
		replica := c.members[2].replica
		settled, agreed := replica.QuorumRead(replica.scope, "key")
		Expect(settled && agreed).To(BeFalse())
	})
})
