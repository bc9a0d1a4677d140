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

var suite *testing.T

func TestQuorum(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "quorum")
}

type member struct {
	disk    *simnet.Disk
	mount   *simnet.Mount
	replica *Replica
	door    *httpserver.Server
	cancel  context.CancelFunc
}

type threeReplicas struct {
	world   *simnet.Network
	seed    uint64
	born    time.Time
	members [3]*member
}

func address(i int) string { return fmt.Sprintf("10.9.0.%d:7001", i+1) }

func ip(i int) string { return fmt.Sprintf("10.9.0.%d", i+1) }

func newThreeReplicas(seed uint64) *threeReplicas {
	t := &threeReplicas{seed: seed, born: time.Now(), world: simnet.NewNetwork(random.Seeded(seed), func(_, _ string) time.Duration { return time.Millisecond })}
	for i := range t.members {
		t.members[i] = &member{disk: simnet.NewDisk(random.Seeded(seed + uint64(i)))}
		t.raise(i)
	}
	return t
}

func (t *threeReplicas) raise(i int) {
	t.seed++
	m := t.members[i]
	m.mount = simnet.NewMount(m.disk)
	s := base.Scope{
		Context: context.Background(), Node: address(i), Clock: simnet.NewClock(t.born), Net: t.world.At(ip(i), "keel"), Disk: m.mount,
		Rand: random.Seeded(t.seed * 7919), Log: hclog.NewNullLogger(), Journal: base.NewJournal(1000),
	}
	s, m.cancel = s.WithCancel()
	store, err := OpenStore(s, 4)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var peers []Peer
	for j := range t.members {
		peers = append(peers, Peer{Name: address(j), Address: address(j)})
	}
	m.replica = New(s, store, httpserver.NewClient(s), address(i), peers, 500*time.Millisecond)
	mux := http.NewServeMux()
	mux.Handle(Handler(m.replica))
	m.door, err = httpserver.Serve(s, address(i), mux)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go m.replica.Recover(s, 200*time.Millisecond)
}

func (t *threeReplicas) kill(i int) {
	m := t.members[i]
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.mount.Unmount()
	t.world.Crash(ip(i), "", false)
	m.door.Close()
	m.cancel = nil
}

func (t *threeReplicas) end() {
	for i := range t.members {
		t.kill(i)
	}
	t.world.Close()
	time.Sleep(time.Minute)
}

func (t *threeReplicas) ready(indices ...int) bool {
	for _, i := range indices {
		if !t.members[i].replica.Ready() || len(t.members[i].replica.store.DamagedKeys()) > 0 {
			return false
		}
	}
	return true
}

func (t *threeReplicas) write(i int, value string) error {
	return t.members[i].replica.Change(t.members[i].replica.scope, "key", func([]byte) ([]byte, error) { return []byte(value), nil })
}

func (t *threeReplicas) read(i int) (string, error) {
	value, err := t.members[i].replica.Read(t.members[i].replica.scope, "key")
	return string(value), err
}

func story(text string, tell func(t *threeReplicas)) {
	for seed := range uint64(3) {
		ginkgo.It(text, func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				t := newThreeReplicas(seed + 1)
				defer t.end()
				tell(t)
			})
		})
	}
}
