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

var _ = ginkgo.Describe("the sink of recorded spans", func() {
	type stand struct {
		world *simnet.Network
		stops []func()
	}
	scope := func(w *stand, ip string) base.Scope {
		ctx, cancel := context.WithCancel(context.Background())
		w.stops = append(w.stops, cancel)
		return base.Scope{
			Context: ctx, Node: ip, Clock: simnet.NewClock(time.Now()), Net: w.world.At(ip, ip), Disk: storage.None(),
			Rand: random.Seeded(7), Log: hclog.NewNullLogger(), Journal: base.NewJournal(100),
		}
	}
	control := func(w *stand, i int) (string, *Store) {
		address := fmt.Sprintf("10.9.0.%d:7005", i)
		s := scope(w, fmt.Sprintf("10.9.0.%d", i))
		store, mux := OpenStore(s, 1000), http.NewServeMux()
		mux.Handle(Handler(store))
		door, err := httpserver.Serve(s, address, mux)
		Expect(err).NotTo(HaveOccurred())
		w.stops = append(w.stops, door.Close)
		return address, store
	}
	ginkgo.It("given control machines that come and go, when spans are sent, then the live ones of the moment keep them, two each, and a dark one costs nothing", func() {
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			w := &stand{world: simnet.NewNetwork(random.Seeded(1), func(_, _ string) time.Duration { return time.Millisecond })}
			var addresses []string
			var stores []*Store
			for i := range 4 {
				address, store := control(w, i+1)
				addresses, stores = append(addresses, address), append(stores, store)
			}
			live, rest := addresses[:2], addresses[2:]
			s := scope(w, "10.9.1.1")
			web := httpserver.NewClient(s)
			sink := NewExporter(s, web, func() ([]string, []string) { return live, rest }, 100)
			done := make(chan struct{})
			go func() {
				defer close(done)
				sink.Run(s, time.Second)
			}()
			push := func(id string) {
				sink.Enqueue(&wire.Span{Id: id})
				time.Sleep(1100 * time.Millisecond)
			}
			held := func() (counts [4]int) {
				for i, store := range stores {
					spans, _ := store.Recent(0, 100)
					counts[i] = len(spans)
				}
				return counts
			}
			push("one")
			Expect(held()).To(Equal([4]int{1, 1, 0, 0}))
			w.world.Cut("10.9.1.1", "10.9.0.1")
			live, rest = addresses[1:4], addresses[:1]
			push("two")
			Expect(held()).To(HaveExactElements(1, BeNumerically(">=", 1), BeNumerically("<=", 1), BeNumerically("<=", 1)))
			Expect(held()[1] + held()[2] + held()[3]).To(Equal(3))
			live, rest = addresses[3:], addresses[:1]
			push("three")
			Expect(stores[3].PendingCopies()).To(Equal(1), "the only live one passes a copy on")
			live, rest = nil, addresses[2:3]
			before := held()[2]
			push("four")
			Expect(held()[2]).To(Equal(before+1), "another is tried where none is live")
			for _, stop := range w.stops {
				stop()
			}
			<-done
			web.CloseIdleConnections()
			w.world.Close()
			time.Sleep(time.Minute)
		})
	})
})
