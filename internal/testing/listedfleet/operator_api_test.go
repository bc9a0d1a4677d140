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

// postToOperatorAPI posts JSON to the second controller and returns the status and the fault in the reply, if any.
func (f *Fleet) postToOperatorAPI(path, body string) (int, *base.Fault) {
	response, err := f.OperatorClient.HTTPClient.Post("http://"+f.OperatorClient.Controllers[1]+path, "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	var reply struct {
		Fault *base.Fault `json:"mishap"`
	}
	Expect(json.NewDecoder(bytes.NewReader(responseBody)).Decode(&reply)).To(Succeed(), string(responseBody))
	return response.StatusCode, reply.Fault
}

// draft returns the unsigned bundle that a change of bundle 1 leads to.
func (f *Fleet) draft(change *wire.Change) *wire.Sealed {
	reply, err := f.OperatorClient.Draft(f.Scope, &wire.DraftRequest{Base: 1, Change: change})
	Expect(err).NotTo(HaveOccurred())
	return reply.Sealed
}

// submit submits a bundle to the second controller.
func (f *Fleet) submit(id string, sealed *wire.Sealed) (int, *base.Fault) {
	body, err := protojson.Marshal(&wire.SignRequest{Submission: id, Sealed: sealed})
	Expect(err).NotTo(HaveOccurred())
	return f.postToOperatorAPI("/v1/sign", string(body))
}

// bundleFiles returns the files of the key "bundle" on a disk. Folder names are keys in hex.
func bundleFiles(m *Machine) []string {
	var names []string
	for _, name := range m.Disk.Names() {
		if strings.HasPrefix(name, "keys/62756e646c65/") {
			names = append(names, name)
		}
	}
	return names
}

var _ = ginkgo.Describe("the operator API", func() {
	scenario("given invalid submissions of every kind, when they are submitted, then each is rejected with its kind and nothing is written", []uint64{1}, func(f *Fleet) {
		startAll(f)
		var before [][]string
		for _, m := range f.Controllers {
			before = append(before, bundleFiles(m))
		}
		expect := func(status int, fault *base.Fault, wanted base.Kind) {
			Expect(fault).NotTo(BeNil())
			Expect(fault.Kind).To(Equal(wanted), fault.Reason)
			Expect(status).To(Equal(base.HTTPResponses[wanted].Status))
			Expect(fault.Reason).NotTo(BeEmpty())
		}
		status, fault := f.postToOperatorAPI("/v1/draft", `{"base": 1, "bundle": {`)
		expect(status, fault, base.Malformed)
		status, fault = f.postToOperatorAPI("/v1/draft", `{"base": 1, "bundel": {}}`)
		expect(status, fault, base.Malformed)
		status, fault = f.postToOperatorAPI("/v1/draft", `{"base": 1, "change": {"dropServices": ["lending"]}}`)
		expect(status, fault, base.DanglingReference)
		status, fault = f.postToOperatorAPI("/v1/draft", `{"base": 7, "change": {}}`)
		expect(status, fault, base.StaleBase)
		status, fault = f.submit("unsigned", f.draft(librariansShareChange(2)))
		expect(status, fault, base.Unsigned)
		forged := f.draft(librariansShareChange(2))
		bundle.Sign(forged, f.OperatorKey)
		forged.Signature[0] ^= 1
		status, fault = f.submit("forged", forged)
		expect(status, fault, base.Untrusted)
		incomplete := f.draft(librariansShareChange(2))
		bundle.Sign(incomplete, f.OperatorKey)
		incomplete.Parts = incomplete.Parts[:1]
		status, fault = f.submit("short", incomplete)
		expect(status, fault, base.Malformed)
		invalid := proto.Clone(f.InitialBundle).(*wire.Bundle)
		invalid.Serial, invalid.Base = 2, 1
		invalid.Services[0].Routes[0].Path = "no slash"
		sealed, err := bundle.Encode(invalid)
		Expect(err).NotTo(HaveOccurred())
		bundle.Sign(sealed, f.OperatorKey)
		status, fault = f.submit("signed but broken", sealed)
		expect(status, fault, base.OutOfRange)
		stale := proto.Clone(f.InitialBundle).(*wire.Bundle)
		bundle.SetDefaults(stale, bundle.DefaultLimits(6*time.Second))
		stale.Serial, stale.Base = 6, 5
		sealed, err = bundle.Encode(stale)
		Expect(err).NotTo(HaveOccurred())
		bundle.Sign(sealed, f.OperatorKey)
		status, fault = f.submit("wrong base", sealed)
		expect(status, fault, base.StaleBase)
		for i, m := range f.Controllers {
			Expect(bundleFiles(m)).To(Equal(before[i]))
		}
	})

	scenario("given one submission sent to several controllers, when each handles it, then it is decided once", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		sealed := f.draft(librariansShareChange(2))
		bundle.Sign(sealed, f.OperatorKey)
		for _, client := range f.OperatorClient.EachController() {
			outcome, err := client.Submit(f.Scope, "once", sealed)
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
			Expect(outcome.Serial).To(Equal(uint64(2)))
		}
		outcome, err := f.OperatorClient.Submit(f.Scope, "replayed under another id", sealed)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Verdict).To(Equal(wire.Verdict_BOUNCED))
	})

	scenario("given several serials, when an older one is requested, then its bundle is complete and its signature verifies", []uint64{1}, func(f *Fleet) {
		startAll(f)
		for serial := uint64(1); serial < 4; serial++ {
			Expect(f.push(fmt.Sprint("s", serial), serial, librariansShareChange(float64(serial+1))).Verdict).To(Equal(wire.Verdict_TAKEN))
		}
		trust, err := bundle.NewTrust(f.trustedKeys)
		Expect(err).NotTo(HaveOccurred())
		for serial := uint64(1); serial <= 4; serial++ {
			reply, err := f.OperatorClient.Bundle(f.Scope, serial)
			Expect(err).NotTo(HaveOccurred())
			manifest, fault := trust.Verify(reply.Sealed)
			Expect(fault).To(BeNil())
			Expect(manifest.Serial).To(Equal(serial))
			Expect(bundle.IsComplete(reply.Sealed, manifest)).To(BeTrue())
		}
		_, err = f.OperatorClient.Bundle(f.Scope, 9)
		Expect(err).To(HaveOccurred())
	})

	scenario("given a very large bundle, when it rolls out, then it is in force in time, and one over the limit is rejected", []uint64{1}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(40)
		bulkChange := func(services int) *wire.Change {
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
		start := f.Scope.Clock.Mono()
		Expect(f.push("large", 1, bulkChange(200)).Verdict).To(Equal(wire.Verdict_TAKEN))
		acked := f.Scope.Clock.Mono()
		Expect(f.WaitUntil(2*time.Second, func() bool { return f.AllNodesHaveSerial(2) })).To(BeTrue())
		sent, _ := f.World.Sent()
		size := 0
		for _, part := range f.Nodes[0].Node.Node.Bundle().Sealed.Parts {
			size += len(part.Body)
		}
		ginkgo.GinkgoWriter.Printf("MEASURE large, 10000 routes: parts of %d bytes; %d bytes between all processes and the operator; acknowledged after %s, on every node %s later\n", size, sent-bytes, acked-start, f.Scope.Clock.Mono()-acked)
		_, err := f.OperatorClient.Draft(f.Scope, &wire.DraftRequest{Base: 2, Change: bulkChange(450)})
		Expect(err).To(MatchError(ContainSubstring("too-large")))
		f.Sleep(time.Second)
		f.StopLoad()
		expectNoViolations(f)
	})
})

var _ = ginkgo.Describe("params", func() {
	ginkgo.It("given many invalid params, when they are checked, then all errors are listed at once", func() {
		node := &wire.VaneParams{Name: "Bad Name", Mates: "nowhere", Seeds: []string{"1.2.3.4"}, Log: "loud", Held: 1}
		listednode.SetDefaults(node)
		Expect(len(base.ErrorLines(listednode.Check(node)))).To(BeNumerically(">=", 10))
		controller := &wire.KeelParams{Name: "k", Serials: 1}
		listedcore.SetDefaults(controller)
		Expect(len(base.ErrorLines(listedcore.Check(controller)))).To(BeNumerically(">=", 6))
	})

	scenario("given load, when params are reloaded, then valid ones are applied, invalid ones are rejected, and no request fails", []uint64{1}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		f.Sleep(time.Second)
		node := f.Nodes[0]
		reload := func(change func(*wire.VaneParams)) error {
			params := &wire.VaneParams{
				Name: node.Name, Zone: node.Zone, Mates: node.Address, Visitors: node.PortAddress(clientsPort), Upstreams: node.PortAddress(upstreamsPort), Ops: node.PortAddress(opsPort),
				Seeds: f.seeds, Folder: "data", Trusted: f.trustedKeys,
			}
			change(params)
			return node.Node.Reload(params)
		}
		Expect(reload(func(p *wire.VaneParams) { p.Held = 2048 })).To(Succeed())
		f.Sleep(time.Second)
		Expect(reload(func(p *wire.VaneParams) { p.Trusted = []string{"nonsense"} })).NotTo(Succeed())
		Expect(reload(func(p *wire.VaneParams) { p.Mates = "10.9.0.77:7001" })).NotTo(Succeed())
		Expect(reload(func(p *wire.VaneParams) { p.Held = 1 })).NotTo(Succeed())
		f.Sleep(time.Second)
		f.StopLoad()
		expectNoViolations(f)
		Expect(f.outcomeCounts(f.History.Calls())).To(HaveLen(1))
	})
})

var _ = ginkgo.Describe("the trace store", func() {
	scenario("given recorded calls, when they are stored, then each span is on two of three controllers and survives the power loss of one", []uint64{1, 2}, func(f *Fleet) {
		f.Plan = []standin.PlannedRequest{{Service: "lending", Route: "borrow", Group: "patrons", Method: "POST", Path: "/lending/borrow/{n}", Weight: 1}}
		startAll(f)
		f.StartLoad(40)
		f.Sleep(4 * time.Second)
		f.StopLoad()
		f.Sleep(3 * time.Second)
		copies := map[string]int{}
		for _, m := range f.Controllers {
			spans, _ := m.Controller.Traces.Recent(0, 100000)
			for _, span := range spans {
				copies[span.Id]++
			}
		}
		Expect(len(copies)).To(BeNumerically(">", 100))
		for _, count := range copies {
			Expect(count).To(Equal(2))
		}
		f.PowerLoss(f.Controllers[0])
		Expect(f.StartProcess(f.Controllers[0])).To(Succeed())
		spans, _ := f.Controllers[0].Controller.Traces.Recent(0, 100000)
		Expect(len(spans)).To(BeNumerically(">", len(copies)/3))
		for _, span := range spans {
			if span.Parent != "" && span.Side == tracing.UpstreamSide {
				trace, err := f.OperatorClient.Trace(f.Scope, span.Trace)
				Expect(err).NotTo(HaveOccurred())
				Expect(len(trace.Spans)).To(BeNumerically(">=", 2))
				break
			}
		}
	})
})
