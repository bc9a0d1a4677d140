package controlplane

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/internal/bytedelta"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const departedNode = "10.9.1.1:7002"

// recordDeparture asks one control machine to record a departure of departedNode's instance and reports whether it did.
func (f *fleet) recordDeparture(i int, instance string) bool {
	s, cancel := f.scope.WithTimeout(time.Second)
	defer cancel()
	_, err := wireconnect.NewMoorClient(f.client, "http://"+peerAddress(i)).RecordDeparture(s, connect.NewRequest(&wire.RecordDepartureRequest{
		Departure: &wire.Departure{Instance: instance, NodeAddress: departedNode},
	}))
	return err == nil
}

// listDepartures asks one control machine for the departures of a node; it returns nil without a reply.
func (f *fleet) listDepartures(i int, node string) *wire.ListDeparturesReply {
	s, cancel := f.scope.WithTimeout(3 * time.Second)
	defer cancel()
	reply, err := wireconnect.NewMoorClient(f.client, "http://"+peerAddress(i)).ListDepartures(s, connect.NewRequest(&wire.ListDeparturesRequest{NodeAddress: node}))
	if err != nil {
		return nil
	}
	return reply.Msg
}

// expectDepartures expects that a control machine soon confirms exactly the given departures of departedNode.
func (f *fleet) expectDepartures(i int, instances ...string) {
	var last *wire.ListDeparturesReply
	Expect(f.eventually(func() bool {
		last = f.listDepartures(i, departedNode)
		return last.GetConfirmed()
	})).To(BeTrue(), "nothing is confirmed")
	Expect(last.Instances).To(ConsistOf(instances))
}

var _ = ginkgo.Describe("recorded departures", func() {
	scenario("given a new fleet, when a departure is recorded, then every control machine confirms it for its node only", func(f *fleet) {
		began := time.Now()
		Expect(f.recordDeparture(1, "i-1")).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		for i := range f.controllers {
			reply := f.listDepartures(i, departedNode)
			Expect(reply.GetConfirmed()).To(BeTrue())
			Expect(reply.Instances).To(Equal([]string{"i-1"}))
			other := f.listDepartures(i, "10.9.1.2:7002")
			Expect(other.GetConfirmed()).To(BeTrue())
			Expect(other.Instances).To(BeEmpty())
		}
	})

	scenario("given no departure yet, when a node asks, then it is confirmed that there is none", func(f *fleet) {
		reply := f.listDepartures(0, departedNode)
		Expect(reply.GetConfirmed()).To(BeTrue())
		Expect(reply.Instances).To(BeEmpty())
	})

	scenario("given departures recorded at all control machines at once, some of them twice, when they are answered, then each is recorded once", func(f *fleet) {
		var tasks sync.WaitGroup
		var wanted []string
		for i := range 30 {
			instance := fmt.Sprint("i-", i/2)
			if i%2 == 0 {
				wanted = append(wanted, instance)
			}
			tasks.Go(func() {
				defer ginkgo.GinkgoRecover()
				Expect(f.eventually(func() bool { return f.recordDeparture(i%3, instance) })).To(BeTrue())
			})
		}
		tasks.Wait()
		f.expectDepartures(0, wanted...)
	})

	scenario("given that all control machines lose power right after a departure was recorded, and one its disk, when they restart, then it is there", func(f *fleet) {
		Expect(f.recordDeparture(0, "i-1")).To(BeTrue())
		for i := range f.controllers {
			f.powerLoss(i)
		}
		f.controllers[f.seed%3].disk.Wipe()
		for i := range f.controllers {
			f.start(i, false)
		}
		for i := range f.controllers {
			f.expectDepartures(i, "i-1")
		}
	})

	scenario("given an owner that has just been killed, when a departure is recorded at another control machine, then it is recorded at once", func(f *fleet) {
		Expect(f.recordDeparture(0, "i-1")).To(BeTrue())
		owner := 0
		for i, each := range f.controllers {
			if each.server.core.Load().replica.Owns(DeparturesKey) {
				owner = i
			}
		}
		f.kill(owner)
		began := time.Now()
		Expect(f.recordDeparture((owner+1)%3, "i-2")).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		f.expectDepartures((owner+2)%3, "i-1", "i-2")
	})

	scenario("given a control machine partitioned from the others, when a node asks it, then it records and confirms nothing, but lists what it knows", func(f *fleet) {
		Expect(f.recordDeparture(0, "i-1")).To(BeTrue())
		Expect(f.eventually(func() bool {
			return len(f.controllers[2].server.core.Load().replica.Chosen(DeparturesKey).GetValue()) > 0
		})).To(BeTrue())
		f.isolate(2)
		Expect(f.recordDeparture(2, "i-2")).To(BeFalse())
		reply := f.listDepartures(2, departedNode)
		Expect(reply.GetConfirmed()).To(BeFalse())
		Expect(reply.GetInstances()).To(Equal([]string{"i-1"}))
		Expect(f.recordDeparture(0, "i-3")).To(BeTrue())
		f.network.HealAll()
		Expect(f.eventually(func() bool { return f.recordDeparture(2, "i-2") })).To(BeTrue())
		f.expectDepartures(1, "i-1", "i-2", "i-3")
	})

	scenario("given recorded departures, when every control machine has been replaced by a new one, then they are there", func(f *fleet) {
		Expect(f.recordDeparture(0, "i-1")).To(BeTrue())
		for gone := range 3 {
			f.loseForever(gone)
			successor := f.addMachine()
			f.expectVote(successor)
			Expect(f.eventually(func() bool { return f.recordDeparture(successor, fmt.Sprint("i-", gone+2)) })).To(BeTrue())
		}
		for i := 3; i < 6; i++ {
			f.expectDepartures(i, "i-1", "i-2", "i-3", "i-4")
		}
	})

	scenario("given many nodes that ask at once, when they are answered, then they share majority reads", func(f *fleet) {
		began := f.controllers[0].server.departures.started.Load()
		var tasks sync.WaitGroup
		for range 100 {
			tasks.Go(func() {
				defer ginkgo.GinkgoRecover()
				Expect(f.listDepartures(0, departedNode).GetConfirmed()).To(BeTrue())
			})
		}
		tasks.Wait()
		Expect(f.controllers[0].server.departures.started.Load() - began).To(BeNumerically("<=", 4))
	})
})

// The register must not grow without bound, nor drop a departure that is recorded again.
func TestDeparturesAreBoundedAndKeepTheNewest(t *testing.T) {
	var encoded []byte
	for i := range maxDepartures + 10 {
		next, err := addDeparture(encoded, &wire.Departure{Instance: fmt.Sprint("i-", i), NodeAddress: departedNode})
		if err != nil || next == nil {
			t.Fatalf("departure %d: %v", i, err)
		}
		encoded = next
	}
	departures := &wire.Departures{}
	if err := proto.Unmarshal(encoded, departures); err != nil {
		t.Fatal(err)
	}
	if got := len(departures.Departures); got != maxDepartures {
		t.Errorf("%d departures are kept, want %d", got, maxDepartures)
	}
	if first := departures.Departures[0].Instance; first != "i-10" {
		t.Errorf("the oldest is %s, want i-10", first)
	}
	if next, err := addDeparture(encoded, departures.Departures[5]); next != nil || err != nil {
		t.Errorf("a recorded departure changes the register again (%v)", err)
	}
}

// BenchmarkAddDeparture records one more departure in a full register, and reports the register's size and the size of
// what the other replicas are sent.
func BenchmarkAddDeparture(b *testing.B) {
	var full []byte
	for i := range maxDepartures {
		full, _ = addDeparture(full, &wire.Departure{Instance: fmt.Sprintf("i-%010x", i), NodeAddress: fmt.Sprintf("10.%d.%d.%d:8146", i%8, i/256, i%256)})
	}
	var next []byte
	for i := 0; b.Loop(); i++ {
		next, _ = addDeparture(full, &wire.Departure{Instance: fmt.Sprintf("j-%010x", i), NodeAddress: "10.1.2.3:8146"})
	}
	b.ReportMetric(float64(len(full)), "register-bytes")
	b.ReportMetric(float64(len(bytedelta.Encode(full, next))), "delta-bytes")
}
