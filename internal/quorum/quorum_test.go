package quorum

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
)

func (t *threeReplicas) until(reached func() bool) bool {
	for range 2000 {
		if reached() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func (t *threeReplicas) last(i int) (value string) {
	t.until(func() bool {
		read, err := t.read(i)
		value = read
		return err == nil
	})
	return value
}

func (t *threeReplicas) held(i int) string {
	_, entry := t.members[i].replica.store.Peek("key")
	return string(entry.GetValue())
}

func (t *threeReplicas) founded() {
	Expect(t.until(func() bool { return t.ready(0, 1, 2) })).To(BeTrue(), "three blank disks make a new fleet")
}

var _ = ginkgo.Describe("a key", func() {
	story("given an owner, when another keel takes over, then it reads what was acked and fences the old owner", func(t *threeReplicas) {
		t.founded()
		Expect(t.write(0, "one")).To(Succeed())
		Expect(t.read(1)).To(Equal("one"))
		Expect(t.write(1, "two")).To(Succeed())
		err := t.write(0, "three")
		if err != nil {
			Expect(base.FaultOf(err).Kind).To(BeElementOf(base.Superseded, base.Uncertain))
			Expect(t.last(2)).To(Equal("two"))
		} else {
			Expect(t.last(2)).To(Equal("three"))
		}
	})

	story("given one disk down, when a change is acked and then another disk's machine is lost, then the change is still read", func(t *threeReplicas) {
		t.founded()
		t.kill(2)
		Expect(t.write(0, "kept")).To(Succeed())
		t.kill(0)
		t.members[0].disk.PowerLoss()
		t.raise(0)
		t.kill(1)
		t.members[1].disk.PowerLoss()
		t.raise(2)
		Expect(t.until(func() bool { return t.ready(0, 2) })).To(BeTrue())
		Expect(t.last(2)).To(Equal("kept"))
	})

	story("given many changes, when the bound is reached, then old files go and the newest stay readable", func(t *threeReplicas) {
		t.founded()
		for i := range 20 {
			Expect(t.write(0, strings.Repeat("x", i+1))).To(Succeed())
		}
		for _, m := range t.members {
			values, rolls := 0, 0
			for _, name := range m.disk.Names() {
				if strings.Contains(name, "/v-") {
					values++
				}
				if strings.HasPrefix(name, rollPrefix) {
					rolls++
				}
			}
			Expect(values).To(And(BeNumerically(">", 0), BeNumerically("<=", 4)))
			Expect(rolls).To(BeNumerically("<=", rollsKept+1))
		}
		var past []int
		for entry := range t.members[0].replica.store.History("key") {
			past = append(past, len(entry.Value))
		}
		Expect(past).To(Equal([]int{20, 19, 18, 17}))
	})

	story("given no majority, when a change is tried, then it is never acked", func(t *threeReplicas) {
		t.founded()
		Expect(t.write(0, "one")).To(Succeed())
		t.kill(1)
		t.kill(2)
		Expect(t.write(0, "two")).NotTo(Succeed())
	})

	story("given an owner cut off mid-change, when a majority goes on, then the old owner's change never returns", func(t *threeReplicas) {
		t.founded()
		Expect(t.write(0, "one")).To(Succeed())
		for _, other := range []int{1, 2} {
			t.world.Cut(ip(0), ip(other))
			t.world.Cut(ip(other), ip(0))
		}
		Expect(t.write(0, "lost")).NotTo(Succeed())
		Expect(t.write(1, "two")).To(Succeed())
		t.world.HealAll()
		Expect(t.last(0)).To(Equal("two"))
		Expect(t.last(1)).To(Equal("two"))
	})
})

var _ = ginkgo.Describe("amnesia", func() {
	story("given a wiped disk, when it returns, then it votes only after reading every key from both others", func(t *threeReplicas) {
		t.founded()
		Expect(t.write(0, "one")).To(Succeed())
		t.kill(2)
		t.members[2].disk.Wipe()
		t.kill(1)
		t.raise(2)
		time.Sleep(3 * time.Second)
		Expect(t.members[2].replica.Ready()).To(BeFalse())
		Expect(t.write(0, "two")).NotTo(Succeed(), "a blank disk must not make the majority")
		t.raise(1)
		Expect(t.until(func() bool { return t.ready(1, 2) })).To(BeTrue())
		_, entry := t.members[2].replica.store.Peek("key")
		Expect(string(entry.Value)).To(Or(Equal("one"), Equal("two")))
	})

	story("given two blank disks, when they start, then they wait for an operator's word", func(t *threeReplicas) {
		t.founded()
		Expect(t.write(0, "one")).To(Succeed())
		for _, i := range []int{1, 2} {
			t.kill(i)
			t.members[i].disk.Wipe()
		}
		t.raise(1)
		t.raise(2)
		time.Sleep(5 * time.Second)
		Expect(t.members[1].replica.Ready()).To(BeFalse())
		Expect(t.members[2].replica.Ready()).To(BeFalse())
		Expect(t.members[1].replica.Adopt(t.members[1].replica.scope)).To(BeTrue())
		Expect(t.until(func() bool { return t.ready(1, 2) })).To(BeTrue())
		Expect(t.read(1)).To(Equal("one"))
	})

	story("given a flipped bit in the newest file, when the keel starts, then the file is set aside and repaired from peers", func(t *threeReplicas) {
		t.founded()
		Expect(t.write(0, "one")).To(Succeed())
		Expect(t.until(func() bool { _, entry := t.members[1].replica.store.Peek("key"); return entry != nil })).To(BeTrue())
		t.kill(1)
		Expect(t.members[1].disk.FlipBits("/v-")).NotTo(BeEmpty())
		t.raise(1)
		Expect(t.until(func() bool { return t.ready(1) })).To(BeTrue())
		_, entry := t.members[1].replica.store.Peek("key")
		Expect(string(entry.Value)).To(Equal("one"))
		Expect(t.members[1].disk.Names()).To(ContainElement(HaveSuffix(badSuffix)))
	})

	story("given a bad newest roll or a lost brand, when the disk recovers and the keel starts once more, then no older roll left there is believed", func(t *threeReplicas) {
		for round, spoil := range []string{rollPrefix, brandFile, rollPrefix} {
			t.founded()
			for i := range 4 {
				Expect(t.write(0, fmt.Sprint("old ", round, i))).To(Succeed())
			}
			m := t.members[1]
			Expect(t.until(func() bool { return t.held(1) == fmt.Sprint("old ", round, 3) })).To(BeTrue())
			t.kill(1)
			newest := ""
			for _, name := range m.disk.Names() {
				if strings.HasPrefix(name, spoil) && !strings.HasSuffix(name, badSuffix) {
					newest = max(newest, name)
				}
			}
			Expect(m.disk.FlipBits(newest)).To(HaveLen(1))
			t.raise(1)
			Expect(t.until(func() bool { return t.ready(1) })).To(BeTrue())
			Expect(t.write(0, "newest")).To(Succeed())
			Expect(t.until(func() bool { return t.held(1) == "newest" })).To(BeTrue())
			promised, _ := m.replica.store.Peek("key")
			t.kill(1)
			m.disk.PowerLoss()
			t.raise(1)
			Expect(t.members[1].replica.Ready()).To(BeTrue(), "what it wrote after it recovered is what it finds")
			Expect(t.held(1)).To(Equal("newest"))
			again, _ := m.replica.store.Peek("key")
			Expect(compareEpochs(again, promised)).To(BeNumerically(">=", 0), "a promise must not be forgotten")
		}
	})

	story("given a lost newest file, when the keel starts, then the key is damaged until repaired", func(t *threeReplicas) {
		t.founded()
		Expect(t.write(0, "one")).To(Succeed())
		t.kill(0)
		for _, name := range t.members[0].disk.Names() {
			if strings.Contains(name, "/v-") {
				Expect(t.members[0].disk.Remove(name)).To(Succeed())
			}
		}
		t.kill(1)
		t.raise(0)
		time.Sleep(2 * time.Second)
		Expect(t.members[0].replica.store.DamagedKeys()).To(ConsistOf("key"))
		t.raise(1)
		Expect(t.until(func() bool { return t.ready(0) })).To(BeTrue())
		Expect(t.read(0)).To(Equal("one"))
	})
})

var _ = ginkgo.Describe("a disk in trouble", func() {
	story("given power loss at any moment, when the machine returns, then no half file is believed", func(t *threeReplicas) {
		t.founded()
		for round := range 6 {
			go func() { _ = t.write(0, "value") }()
			time.Sleep(time.Duration(round) * 300 * time.Microsecond)
			t.kill(1)
			t.members[1].disk.PowerLoss()
			t.raise(1)
			Expect(t.until(func() bool { return t.ready(0, 1, 2) })).To(BeTrue())
		}
		Expect(t.until(func() bool { return t.write(1, "last") == nil })).To(BeTrue())
		Expect(t.last(2)).To(Equal("last"))
	})

	story("given a full disk on the owner, when it changes a key, then it says so and acks nothing", func(t *threeReplicas) {
		t.founded()
		Expect(t.write(0, "one")).To(Succeed())
		t.members[0].disk.SetFull(true)
		t.members[1].disk.SetFull(true)
		Expect(t.write(0, "two")).NotTo(Succeed())
		t.members[0].disk.SetFull(false)
		t.members[1].disk.SetFull(false)
		Expect(t.write(0, "three")).To(Succeed())
	})

	story("given a stalled disk, when its peers go on, then changes are acked without it and nobody hangs", func(t *threeReplicas) {
		t.founded()
		Expect(t.write(0, "one")).To(Succeed())
		release := t.members[0].disk.Stall()
		defer release()
		begun := time.Now()
		Expect(t.write(0, "two")).To(Succeed(), "two other disks are a majority")
		Expect(t.write(1, "three")).To(Succeed())
		Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second))
		t.members[0].replica.store.Peek("key")
	})
})
