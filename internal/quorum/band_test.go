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

type fiveReplicas struct {
	seed    uint64
	born    time.Time
	world   *simnet.Network
	members []*member
}

func newFiveReplicas(seed uint64, count int) *fiveReplicas {
	b := &fiveReplicas{seed: seed, born: time.Now(), world: simnet.NewNetwork(random.Seeded(seed), func(_, _ string) time.Duration { return time.Millisecond })}
	for i := range count {
		b.members = append(b.members, &member{disk: simnet.NewDisk(random.Seeded(seed + uint64(i)))})
	}
	for i := range b.members {
		b.raise(i)
	}
	return b
}

func (b *fiveReplicas) raise(i int, options ...Option) {
	b.seed++
	m := b.members[i]
	m.mount = simnet.NewMount(m.disk)
	s := base.Scope{
		Context: context.Background(), Node: address(i), Clock: simnet.NewClock(b.born), Net: b.world.At(ip(i), "keel"), Disk: m.mount,
		Rand: random.Seeded(b.seed * 7919), Log: hclog.NewNullLogger(), Journal: base.NewJournal(1000),
	}
	s, m.cancel = s.WithCancel()
	store, err := OpenStore(s, 4)
	Expect(err).NotTo(HaveOccurred())
	var peers []Peer
	for j := range b.members {
		peers = append(peers, Peer{Name: address(j), Address: address(j)})
	}
	m.replica = New(s, store, httpserver.NewClient(s), address(i), peers, 300*time.Millisecond, options...)
	mux := http.NewServeMux()
	mux.Handle(Handler(m.replica))
	m.door, err = httpserver.Serve(s, address(i), mux)
	Expect(err).NotTo(HaveOccurred())
	go m.replica.Recover(s, 100*time.Millisecond)
}

func (b *fiveReplicas) kill(i int) {
	m := b.members[i]
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.mount.Unmount()
	b.world.Crash(ip(i), "", false)
	m.door.Close()
	m.cancel = nil
}

func (b *fiveReplicas) wipe(i int) {
	b.kill(i)
	b.members[i].disk.Wipe()
}

func (b *fiveReplicas) end() {
	for i := range b.members {
		b.kill(i)
	}
	b.world.Close()
	time.Sleep(time.Minute)
}

func (b *fiveReplicas) until(reached func() bool) bool {
	for range 1000 {
		if reached() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func (b *fiveReplicas) ready(indices ...int) bool {
	for _, i := range indices {
		if !b.members[i].replica.Ready() {
			return false
		}
	}
	return true
}

func (b *fiveReplicas) write(i int, value string) error {
	t := b.members[i].replica
	return t.Change(t.scope, "key", func([]byte) ([]byte, error) { return []byte(value), nil })
}

func (b *fiveReplicas) read(i int) (value string) {
	Expect(b.until(func() bool {
		t := b.members[i].replica
		read, err := t.Read(t.scope, "key")
		value = string(read)
		return err == nil
	})).To(BeTrue())
	return value
}

func (b *fiveReplicas) holders(value string) (found []int) {
	for i, m := range b.members {
		if _, entry := m.replica.store.Peek("key"); string(entry.GetValue()) == value {
			found = append(found, i)
		}
	}
	return found
}

func everyone(count int) (all []int) {
	for i := range count {
		all = append(all, i)
	}
	return all
}

func banded(count int, text string, tell func(b *fiveReplicas)) {
	for seed := range uint64(3) {
		ginkgo.It(fmt.Sprintf("%s (%d disks, seed %d)", text, count, seed+1), func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				b := newFiveReplicas(seed*100+1, count)
				defer b.end()
				Expect(b.until(func() bool { return b.ready(everyone(count)...) })).To(BeTrue())
				tell(b)
			})
		})
	}
}

var _ = ginkgo.Describe("amnesia among many", func() {
	for _, count := range []int{3, 4, 5} {
		majority := count/2 + 1
		witnesses := count - majority + 1

		banded(count, "given a value on the barest majority, when as many of it are wiped as may be, then those wiped read it again before they vote", func(b *fiveReplicas) {
			Expect(b.write(0, "old")).To(Succeed())
			for i := majority; i < count; i++ {
				b.kill(i)
			}
			Expect(b.write(0, "new")).To(Succeed())
			Expect(b.until(func() bool { return len(b.holders("new")) == majority })).To(BeTrue())
			lost := min(majority-1, count-witnesses)
			for i := range lost {
				b.wipe(i)
			}
			for i := majority; i < count; i++ {
				b.raise(i)
			}
			for i := range lost {
				b.raise(i, DiskWiped)
			}
			Expect(b.until(func() bool { return b.ready(everyone(count)...) })).To(BeTrue())
			for i := range lost {
				_, entry := b.members[i].replica.store.Peek("key")
				Expect(string(entry.GetValue())).To(Equal("new"))
			}
			Expect(b.read(0)).To(Equal("new"))
		})

		banded(count, "given a wiped disk, when fewer others than needed are whole, then it doesn't vote", func(b *fiveReplicas) {
			Expect(b.write(0, "old")).To(Succeed())
			b.wipe(0)
			for i := witnesses; i < count; i++ {
				b.kill(i)
			}
			b.raise(0, DiskWiped)
			time.Sleep(5 * time.Second)
			Expect(b.ready(0)).To(BeFalse())
			Expect(b.write(0, "new")).NotTo(Succeed())
			if witnesses < count {
				b.raise(witnesses)
				Expect(b.until(func() bool { return b.ready(0) })).To(BeTrue())
			}
		})
	}

	banded(3, "given disks that were all wiped, when they join, then they never found a fleet anew; without that word they do", func(b *fiveReplicas) {
		Expect(b.write(0, "old")).To(Succeed())
		for _, options := range [][]Option{{DiskWiped}, {}} {
			for i := range b.members {
				b.wipe(i)
			}
			for i := range b.members {
				b.raise(i, options...)
			}
			Expect(b.until(func() bool { return b.ready(0, 1, 2) })).To(Equal(len(options) == 0))
		}
	})

	banded(3, "given one that was wiped amid the founding, when it joins others that never voted, then the fleet is founded", func(b *fiveReplicas) {
		for i := range b.members {
			b.wipe(i)
		}
		b.raise(0)
		b.raise(1)
		b.raise(2)
		Expect(b.until(func() bool {
			return b.members[0].replica.store.Phase() == wire.Phase_FRESH && b.members[1].replica.store.Phase() == wire.Phase_FRESH
		})).To(BeTrue())
		b.wipe(2)
		b.kill(0)
		b.kill(1)
		b.raise(0)
		b.raise(1)
		b.raise(2, DiskWiped)
		Expect(b.until(func() bool { return b.ready(0, 1, 2) })).To(BeTrue())
	})

	banded(3, "given a wiped disk, when it joins, then it gives those that count on its lost promises time to give up", func(b *fiveReplicas) {
		b.wipe(0)
		b.raise(0, DiskWiped)
		time.Sleep(600 * time.Millisecond)
		Expect(b.ready(0)).To(BeFalse())
		Expect(b.until(func() bool { return b.ready(0) })).To(BeTrue())
	})

	banded(3, "given a damaged disk, when a majority is asked by survey, then the damaged one's blank is no answer", func(b *fiveReplicas) {
		b.kill(2)
		Expect(b.write(0, "new")).To(Succeed())
		Expect(b.until(func() bool { return len(b.holders("new")) == 2 })).To(BeTrue())
		b.kill(0)
		b.kill(1)
		Expect(b.members[1].disk.FlipBits("/v-")).NotTo(BeEmpty())
		b.raise(1)
		b.raise(2)
		time.Sleep(time.Second)
		t := b.members[2].replica
		settled, agreed := t.QuorumRead(t.scope, "key")
		Expect(settled && agreed).To(BeFalse())
	})
})
