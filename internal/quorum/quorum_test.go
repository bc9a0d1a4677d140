package quorum

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
)

// eventually polls a condition for up to 20 s and reports whether it became true.
func (c *threeDiskCluster) eventually(condition func() bool) bool {
	for range 2000 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// readEventually returns the result of the first read that succeeds.
func (c *threeDiskCluster) readEventually(i int) (value string) {
	c.eventually(func() bool {
		read, err := c.read(i)
		value = read
		return err == nil
	})
	return value
}

// storedValue returns the value on a machine's own disk.
func (c *threeDiskCluster) storedValue(i int) string {
	_, entry := c.members[i].replica.store.Peek("key")
	return string(entry.GetValue())
}

func (c *threeDiskCluster) waitForBootstrap() {
	Expect(c.eventually(func() bool { return c.ready(0, 1, 2) })).To(BeTrue(), "three blank disks start a new set")
}

var _ = ginkgo.Describe("a key", func() {
	scenario("given an owner, when another controller takes over, then it reads the confirmed value and supersedes the old owner", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		Expect(c.write(0, "one")).To(Succeed())
		Expect(c.read(1)).To(Equal("one"))
		Expect(c.write(1, "two")).To(Succeed())
		err := c.write(0, "three")
		if err != nil {
			Expect(base.FaultOf(err).Kind).To(BeElementOf(base.Superseded, base.Uncertain))
			Expect(c.readEventually(2)).To(Equal("two"))
		} else {
			Expect(c.readEventually(2)).To(Equal("three"))
		}
	})

	scenario("given one disk down, when a change is confirmed and then another machine fails, then the change is still read", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		c.crash(2)
		Expect(c.write(0, "kept")).To(Succeed())
		c.crash(0)
		c.members[0].disk.PowerLoss()
		c.start(0)
		c.crash(1)
		c.members[1].disk.PowerLoss()
		c.start(2)
		Expect(c.eventually(func() bool { return c.ready(0, 2) })).To(BeTrue())
		Expect(c.readEventually(2)).To(Equal("kept"))
	})

	scenario("given many changes, when the history limit is reached, then old files are removed and the newest values can be read", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		for i := range 20 {
			Expect(c.write(0, strings.Repeat("x", i+1))).To(Succeed())
		}
		for _, m := range c.members {
			values, manifests := 0, 0
			for _, name := range m.disk.Names() {
				if strings.Contains(name, "/v-") {
					values++
				}
				if strings.HasPrefix(name, manifestPrefix) {
					manifests++
				}
			}
			Expect(values).To(And(BeNumerically(">", 0), BeNumerically("<=", 4)))
			Expect(manifests).To(BeNumerically("<=", manifestsKept+1))
		}
		var lengths []int
		for entry := range c.members[0].replica.store.History("key") {
			lengths = append(lengths, len(entry.Value))
		}
		Expect(lengths).To(Equal([]int{20, 19, 18, 17}))
	})

	scenario("given no majority, when a change is made, then it fails", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		Expect(c.write(0, "one")).To(Succeed())
		c.crash(1)
		c.crash(2)
		Expect(c.write(0, "two")).NotTo(Succeed())
	})

	scenario("given an owner partitioned during a change, when the majority makes another change, then the partitioned owner's change is never read", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		Expect(c.write(0, "one")).To(Succeed())
		for _, other := range []int{1, 2} {
			c.network.Cut(ip(0), ip(other))
			c.network.Cut(ip(other), ip(0))
		}
		Expect(c.write(0, "lost")).NotTo(Succeed())
		Expect(c.write(1, "two")).To(Succeed())
		c.network.HealAll()
		Expect(c.readEventually(0)).To(Equal("two"))
		Expect(c.readEventually(1)).To(Equal("two"))
	})
})

var _ = ginkgo.Describe("recovery of lost files", func() {
	scenario("given a wiped disk, when its machine restarts, then it votes only after fetching every key from both others", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		Expect(c.write(0, "one")).To(Succeed())
		c.crash(2)
		c.members[2].disk.Wipe()
		c.crash(1)
		c.start(2)
		time.Sleep(3 * time.Second)
		Expect(c.members[2].replica.Ready()).To(BeFalse())
		Expect(c.write(0, "two")).NotTo(Succeed(), "a blank disk must not count towards the majority")
		c.start(1)
		Expect(c.eventually(func() bool { return c.ready(1, 2) })).To(BeTrue())
		_, entry := c.members[2].replica.store.Peek("key")
		Expect(string(entry.Value)).To(Or(Equal("one"), Equal("two")))
	})

	scenario("given two wiped disks, when their machines start, then they wait until an operator adopts the remaining disk", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		Expect(c.write(0, "one")).To(Succeed())
		for _, i := range []int{1, 2} {
			c.crash(i)
			c.members[i].disk.Wipe()
		}
		c.start(1)
		c.start(2)
		time.Sleep(5 * time.Second)
		Expect(c.members[1].replica.Ready()).To(BeFalse())
		Expect(c.members[2].replica.Ready()).To(BeFalse())
		Expect(c.members[1].replica.Adopt(c.members[1].replica.scope)).To(BeTrue())
		Expect(c.eventually(func() bool { return c.ready(1, 2) })).To(BeTrue())
		Expect(c.read(1)).To(Equal("one"))
	})

	scenario("given a flipped bit in the newest file, when the controller starts, then the file is renamed and the key is recovered from the peers", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		Expect(c.write(0, "one")).To(Succeed())
		Expect(c.eventually(func() bool { _, entry := c.members[1].replica.store.Peek("key"); return entry != nil })).To(BeTrue())
		c.crash(1)
		Expect(c.members[1].disk.FlipBits("/v-")).NotTo(BeEmpty())
		c.start(1)
		Expect(c.eventually(func() bool { return c.ready(1) })).To(BeTrue())
		_, entry := c.members[1].replica.store.Peek("key")
		Expect(string(entry.Value)).To(Equal("one"))
		Expect(c.members[1].disk.Names()).To(ContainElement(HaveSuffix(corruptSuffix)))
	})

	scenario("given a corrupt newest manifest or phase file, when the disk recovers and the controller starts once more, then no older manifest is loaded", func(c *threeDiskCluster) {
		for round, prefix := range []string{manifestPrefix, phaseFile, manifestPrefix} {
			c.waitForBootstrap()
			for i := range 4 {
				Expect(c.write(0, fmt.Sprint("old ", round, i))).To(Succeed())
			}
			m := c.members[1]
			Expect(c.eventually(func() bool { return c.storedValue(1) == fmt.Sprint("old ", round, 3) })).To(BeTrue())
			c.crash(1)
			newest := ""
			for _, name := range m.disk.Names() {
				if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, corruptSuffix) {
					newest = max(newest, name)
				}
			}
			Expect(m.disk.FlipBits(newest)).To(HaveLen(1))
			c.start(1)
			Expect(c.eventually(func() bool { return c.ready(1) })).To(BeTrue())
			Expect(c.write(0, "newest")).To(Succeed())
			Expect(c.eventually(func() bool { return c.storedValue(1) == "newest" })).To(BeTrue())
			promised, _ := m.replica.store.Peek("key")
			c.crash(1)
			m.disk.PowerLoss()
			c.start(1)
			Expect(c.members[1].replica.Ready()).To(BeTrue(), "the state written after the recovery must be loaded")
			Expect(c.storedValue(1)).To(Equal("newest"))
			promisedAfterRestart, _ := m.replica.store.Peek("key")
			Expect(compareEpochs(promisedAfterRestart, promised)).To(BeNumerically(">=", 0), "a promise must not be lost")
		}
	})

	scenario("given a missing value file, when the controller starts, then the key is damaged until it is recovered", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		Expect(c.write(0, "one")).To(Succeed())
		c.crash(0)
		for _, name := range c.members[0].disk.Names() {
			if strings.Contains(name, "/v-") {
				Expect(c.members[0].disk.Remove(name)).To(Succeed())
			}
		}
		c.crash(1)
		c.start(0)
		time.Sleep(2 * time.Second)
		Expect(c.members[0].replica.store.DamagedKeys()).To(ConsistOf("key"))
		c.start(1)
		Expect(c.eventually(func() bool { return c.ready(0) })).To(BeTrue())
		Expect(c.read(0)).To(Equal("one"))
	})
})

var _ = ginkgo.Describe("disk failures", func() {
	scenario("given power loss at any moment, when the machine restarts, then no partly written file is loaded", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		for round := range 6 {
			go func() { _ = c.write(0, "value") }()
			time.Sleep(time.Duration(round) * 300 * time.Microsecond)
			c.crash(1)
			c.members[1].disk.PowerLoss()
			c.start(1)
			Expect(c.eventually(func() bool { return c.ready(0, 1, 2) })).To(BeTrue())
		}
		Expect(c.eventually(func() bool { return c.write(1, "last") == nil })).To(BeTrue())
		Expect(c.readEventually(2)).To(Equal("last"))
	})

	scenario("given full disks on a majority, when the owner changes a key, then the change fails, and succeeds once there is space", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		Expect(c.write(0, "one")).To(Succeed())
		c.members[0].disk.SetFull(true)
		c.members[1].disk.SetFull(true)
		Expect(c.write(0, "two")).NotTo(Succeed())
		c.members[0].disk.SetFull(false)
		c.members[1].disk.SetFull(false)
		Expect(c.write(0, "three")).To(Succeed())
	})

	scenario("given a stalled disk on the owner, when changes are made, then the other disks confirm them and no call blocks", func(c *threeDiskCluster) {
		c.waitForBootstrap()
		Expect(c.write(0, "one")).To(Succeed())
		release := c.members[0].disk.Stall()
		defer release()
		started := time.Now()
		Expect(c.write(0, "two")).To(Succeed(), "two other disks are a majority")
		Expect(c.write(1, "three")).To(Succeed())
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		c.members[0].replica.store.Peek("key")
	})
})
