package listedfleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/listedcore"
	"curlewreach/internal/listednode"
	"curlewreach/internal/testing/standin"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

func (f *Fleet) post(path, body string) (int, *base.Fault) {
	response, err := f.Clerk.HTTPClient.Post("http://"+f.Clerk.Controllers[1]+path, "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	said, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	var reply struct {
		Fault *base.Fault `json:"mishap"`
	}
	Expect(json.NewDecoder(bytes.NewReader(said)).Decode(&reply)).To(Succeed(), string(said))
	return response.StatusCode, reply.Fault
}

func (f *Fleet) drafted(change *wire.Change) *wire.Sealed {
	reply, err := f.Clerk.Draft(f.Scope, &wire.DraftRequest{Base: 1, Change: change})
	Expect(err).NotTo(HaveOccurred())
	return reply.Sealed
}

func (f *Fleet) handIn(id string, sealed *wire.Sealed) (int, *base.Fault) {
	body, err := protojson.Marshal(&wire.SignRequest{Submission: id, Sealed: sealed})
	Expect(err).NotTo(HaveOccurred())
	return f.post("/v1/sign", string(body))
}

func bundleFiles(m *Machine) []string {
	var names []string
	for _, name := range m.Disk.Names() {
		if strings.HasPrefix(name, "keys/62756e646c65/") {
			names = append(names, name)
		}
	}
	return names
}

var _ = ginkgo.Describe("the operators' desk", func() {
	story("given broken submissions of every kind, when handed in, then each is bounced with its kind and nothing is written", []uint64{1}, func(f *Fleet) {
		raised(f)
		var before [][]string
		for _, m := range f.Keels {
			before = append(before, bundleFiles(m))
		}
		expect := func(status int, fault *base.Fault, wanted base.Kind) {
			Expect(fault).NotTo(BeNil())
			Expect(fault.Kind).To(Equal(wanted), fault.Reason)
			Expect(status).To(Equal(base.HTTPResponses[wanted].Status))
			Expect(fault.Reason).NotTo(BeEmpty())
		}
		status, fault := f.post("/v1/draft", `{"base": 1, "bundle": {`)
		expect(status, fault, base.Malformed)
		status, fault = f.post("/v1/draft", `{"base": 1, "bundel": {}}`)
		expect(status, fault, base.Malformed)
		status, fault = f.post("/v1/draft", `{"base": 1, "change": {"dropServices": ["lending"]}}`)
		expect(status, fault, base.DanglingReference)
		status, fault = f.post("/v1/draft", `{"base": 7, "change": {}}`)
		expect(status, fault, base.StaleBase)
		status, fault = f.handIn("unsigned", f.drafted(nudge(2)))
		expect(status, fault, base.Unsigned)
		forged := f.drafted(nudge(2))
		bundle.Sign(forged, f.Key)
		forged.Signature[0] ^= 1
		status, fault = f.handIn("forged", forged)
		expect(status, fault, base.Untrusted)
		short := f.drafted(nudge(2))
		bundle.Sign(short, f.Key)
		short.Parts = short.Parts[:1]
		status, fault = f.handIn("short", short)
		expect(status, fault, base.Malformed)
		spoiled := proto.Clone(f.Shape).(*wire.Bundle)
		spoiled.Serial, spoiled.Base = 2, 1
		spoiled.Services[0].Routes[0].Path = "no slash"
		sealed, err := bundle.Encode(spoiled)
		Expect(err).NotTo(HaveOccurred())
		bundle.Sign(sealed, f.Key)
		status, fault = f.handIn("signed but broken", sealed)
		expect(status, fault, base.OutOfRange)
		stale := proto.Clone(f.Shape).(*wire.Bundle)
		bundle.SetDefaults(stale, bundle.DefaultLimits(6*time.Second))
		stale.Serial, stale.Base = 6, 5
		sealed, err = bundle.Encode(stale)
		Expect(err).NotTo(HaveOccurred())
		bundle.Sign(sealed, f.Key)
		status, fault = f.handIn("wrong base", sealed)
		expect(status, fault, base.StaleBase)
		for i, m := range f.Keels {
			Expect(bundleFiles(m)).To(Equal(before[i]))
		}
	})

	story("given a submission handed in twice at different keels, when the second comes, then it is decided once", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		sealed := f.drafted(nudge(2))
		bundle.Sign(sealed, f.Key)
		for _, one := range f.Clerk.EachController() {
			outcome, err := one.Submit(f.Scope, "once", sealed)
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
			Expect(outcome.Serial).To(Equal(uint64(2)))
		}
		outcome, err := f.Clerk.Submit(f.Scope, "replayed under another id", sealed)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Verdict).To(Equal(wire.Verdict_BOUNCED))
	})

	story("given several serials, when an older one is asked for, then it is read whole and verifies", []uint64{1}, func(f *Fleet) {
		raised(f)
		for serial := uint64(1); serial < 4; serial++ {
			Expect(f.push(fmt.Sprint("s", serial), serial, nudge(float64(serial+1))).Verdict).To(Equal(wire.Verdict_TAKEN))
		}
		trust, err := bundle.NewTrust(f.trusted)
		Expect(err).NotTo(HaveOccurred())
		for serial := uint64(1); serial <= 4; serial++ {
			reply, err := f.Clerk.Bundle(f.Scope, serial)
			Expect(err).NotTo(HaveOccurred())
			manifest, fault := trust.Verify(reply.Sealed)
			Expect(fault).To(BeNil())
			Expect(manifest.Serial).To(Equal(serial))
			Expect(bundle.IsComplete(reply.Sealed, manifest)).To(BeTrue())
		}
		_, err = f.Clerk.Bundle(f.Scope, 9)
		Expect(err).To(HaveOccurred())
	})

	story("given a very large bundle, when it rolls out, then it is in force in time and one over the limit is bounced", []uint64{1}, func(f *Fleet) {
		raised(f)
		f.Visit(40)
		grow := func(services int) *wire.Change {
			change := &wire.Change{Shares: []*wire.Share{{Group: "bulk", Carried: 1, Watched: 1}}}
			for i := range services {
				service := &wire.Service{Name: fmt.Sprint("bulk-", i)}
				for j := range 50 {
					service.Routes = append(service.Routes, &wire.Route{Name: fmt.Sprint("r", j), Method: "GET", Path: fmt.Sprintf("/bulk-%d/r%d/{x}", i, j)})
				}
				change.Services = append(change.Services, service)
				change.Shares[0].Services = append(change.Shares[0].Services, service.Name)
			}
			return change
		}
		bytes, _ := f.World.Sent()
		begun := f.Scope.Clock.Mono()
		Expect(f.push("large", 1, grow(200)).Verdict).To(Equal(wire.Verdict_TAKEN))
		acked := f.Scope.Clock.Mono()
		Expect(f.Until(2*time.Second, func() bool { return f.AllOn(2) })).To(BeTrue())
		sent, _ := f.World.Sent()
		size := 0
		for _, part := range f.Vanes[0].Node.Node.Bundle().Sealed.Parts {
			size += len(part.Body)
		}
		ginkgo.GinkgoWriter.Printf("MEASURE large, 10000 routes: parts of %d bytes; %d bytes between all processes and the operator; acked after %s, on every node %s later\n", size, sent-bytes, acked-begun, f.Scope.Clock.Mono()-acked)
		_, err := f.Clerk.Draft(f.Scope, &wire.DraftRequest{Base: 2, Change: grow(450)})
		Expect(err).To(MatchError(ContainSubstring("too-large")))
		f.Pass(time.Second)
		f.Leave()
		sound(f)
	})
})

var _ = ginkgo.Describe("params", func() {
	ginkgo.It("given many things wrong, when checked, then all are listed at once", func() {
		node := &wire.VaneParams{Name: "Bad Name", Mates: "nowhere", Seeds: []string{"1.2.3.4"}, Log: "loud", Held: 1}
		listednode.SetDefaults(node)
		Expect(len(base.ErrorLines(listednode.Check(node)))).To(BeNumerically(">=", 10))
		controller := &wire.KeelParams{Name: "k", Serials: 1}
		listedcore.SetDefaults(controller)
		Expect(len(base.ErrorLines(listedcore.Check(controller)))).To(BeNumerically(">=", 6))
	})

	story("given visitors calling, when params are reloaded, then good ones turn, bad ones are bounced, and nothing is dropped", []uint64{1}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		f.Pass(time.Second)
		node := f.Vanes[0]
		with := func(change func(*wire.VaneParams)) error {
			params := &wire.VaneParams{
				Name: node.Name, Zone: node.Zone, Mates: node.Address, Visitors: node.At(visitorsPort), Upstreams: node.At(upstreamsPort), Ops: node.At(opsPort),
				Seeds: f.seeds, Folder: "data", Trusted: f.trusted,
			}
			change(params)
			return node.Node.Reload(params)
		}
		Expect(with(func(p *wire.VaneParams) { p.Held = 2048 })).To(Succeed())
		f.Pass(time.Second)
		Expect(with(func(p *wire.VaneParams) { p.Trusted = []string{"nonsense"} })).NotTo(Succeed())
		Expect(with(func(p *wire.VaneParams) { p.Mates = "10.9.0.77:7001" })).NotTo(Succeed())
		Expect(with(func(p *wire.VaneParams) { p.Held = 1 })).NotTo(Succeed())
		f.Pass(time.Second)
		f.Leave()
		sound(f)
		Expect(f.tally(f.History.Calls())).To(HaveLen(1))
	})
})

var _ = ginkgo.Describe("the trace store", func() {
	story("given recorded calls, when stored, then each span is on two of three cores and outlives a keel", []uint64{1, 2}, func(f *Fleet) {
		f.Plan = []standin.PlannedRequest{{Service: "lending", Route: "borrow", Group: "patrons", Method: "POST", Path: "/lending/borrow/{n}", Weight: 1}}
		raised(f)
		f.Visit(40)
		f.Pass(4 * time.Second)
		f.Leave()
		f.Pass(3 * time.Second)
		copies := map[string]int{}
		for _, m := range f.Keels {
			spans, _ := m.Controller.Traces.Recent(0, 100000)
			for _, span := range spans {
				copies[span.Id]++
			}
		}
		Expect(len(copies)).To(BeNumerically(">", 100))
		for _, count := range copies {
			Expect(count).To(Equal(2))
		}
		f.PowerLoss(f.Keels[0])
		Expect(f.Raise(f.Keels[0])).To(Succeed())
		spans, _ := f.Keels[0].Controller.Traces.Recent(0, 100000)
		Expect(len(spans)).To(BeNumerically(">", len(copies)/3))
		for _, span := range spans {
			if span.Parent != "" && span.Side == tracing.UpstreamSide {
				whole, err := f.Clerk.Trace(f.Scope, span.Trace)
				Expect(err).NotTo(HaveOccurred())
				Expect(len(whole.Spans)).To(BeNumerically(">=", 2))
				break
			}
		}
	})
})
