package tracing

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
	"curlewreach/internal/storage"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("the span exporter", func() {
	type testCluster struct {
		network *simnet.Network
		stops   []func()
	}
	newScope := func(cluster *testCluster, ip string) base.Scope {
		ctx, cancel := context.WithCancel(context.Background())
		cluster.stops = append(cluster.stops, cancel)
		return base.Scope{
			Context: ctx, Node: ip, Clock: simnet.NewClock(time.Now()), Net: cluster.network.At(ip, ip), Disk: storage.None(),
			Rand: random.Seeded(7), Log: hclog.NewNullLogger(), Journal: base.NewJournal(100),
		}
	}
	startStore := func(cluster *testCluster, i int) (string, *Store) {
		address := fmt.Sprintf("10.9.0.%d:7005", i)
		s := newScope(cluster, fmt.Sprintf("10.9.0.%d", i))
		store, mux := OpenStore(s, 1000), http.NewServeMux()
		mux.Handle(Handler(store))
		server, err := httpserver.Serve(s, address, mux)
		Expect(err).NotTo(HaveOccurred())
		cluster.stops = append(cluster.stops, server.Close)
		return address, store
	}
	ginkgo.It("given control machines that become unreachable, when spans are sent, then two live ones store each batch and no span is lost", func() {
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			cluster := &testCluster{network: simnet.NewNetwork(random.Seeded(1), func(_, _ string) time.Duration { return time.Millisecond })}
			var addresses []string
			var stores []*Store
			for i := range 4 {
				storeAddress, store := startStore(cluster, i+1)
				addresses, stores = append(addresses, storeAddress), append(stores, store)
			}
			live, others := addresses[:2], addresses[2:]
			s := newScope(cluster, "10.9.1.1")
			client := httpserver.NewClient(s)
			exporter := NewExporter(s, client, func() ([]string, []string) { return live, others }, 100)
			done := make(chan struct{})
			go func() {
				defer close(done)
				exporter.Run(s, time.Second)
			}()
			export := func(id string) {
				exporter.Enqueue(&wire.Span{Id: id})
				time.Sleep(1100 * time.Millisecond)
			}
			spanCounts := func() (counts [4]int) {
				for i, store := range stores {
					spans, _ := store.Recent(0, 100)
					counts[i] = len(spans)
				}
				return counts
			}
			export("one")
			Expect(spanCounts()).To(Equal([4]int{1, 1, 0, 0}))
			cluster.network.Cut("10.9.1.1", "10.9.0.1")
			live, others = addresses[1:4], addresses[:1]
			export("two")
			Expect(spanCounts()).To(HaveExactElements(1, BeNumerically(">=", 1), BeNumerically("<=", 1), BeNumerically("<=", 1)))
			Expect(spanCounts()[1] + spanCounts()[2] + spanCounts()[3]).To(Equal(3))
			live, others = addresses[3:], addresses[:1]
			export("three")
			Expect(stores[3].PendingCopies()).To(Equal(1), "the only live control machine must forward a copy")
			live, others = nil, addresses[2:3]
			before := spanCounts()[2]
			export("four")
			Expect(spanCounts()[2]).To(Equal(before+1), "another control machine is tried if none is live")
			for _, stop := range cluster.stops {
				stop()
			}
			<-done
			client.CloseIdleConnections()
			cluster.network.Close()
			time.Sleep(time.Minute)
		})
	})
})
