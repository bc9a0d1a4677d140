package openfleet

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire"
)

const viewPort = 7006

// fetch returns the body of a GET request.
func (f *Fleet) fetch(address, path string) string {
	httpClient := httpserver.NewClient(f.Scope)
	defer httpClient.CloseIdleConnections()
	s, cancel := f.Scope.WithTimeout(2 * time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(s, http.MethodGet, "http://"+address+path, nil)
	Expect(err).NotTo(HaveOccurred(), f.Description)
	response, err := httpClient.Do(request)
	Expect(err).NotTo(HaveOccurred(), f.Description)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred(), f.Description)
	return string(body)
}

// fetchView decodes the view of the process at an address.
func (f *Fleet) fetchView(address string, into proto.Message) {
	Expect(protojson.Unmarshal([]byte(f.fetch(address, "/view")), into)).To(Succeed(), f.Description)
}

func (f *Fleet) nodeView(m *Machine) *wire.NodeView {
	view := &wire.NodeView{}
	f.fetchView(m.Address(viewPort), view)
	return view
}

func (f *Fleet) controllerView(m *Machine) *wire.ControllerView {
	view := &wire.ControllerView{}
	f.fetchView(m.Address(inboundPort), view)
	return view
}

// startAllWithViews starts the fleet with the views of nodes served on viewPort.
func startAllWithViews(f *Fleet) {
	f.AdjustParams = func(p *wire.NodeParams) {
		host, _, _ := strings.Cut(p.Inward, ":")
		p.Peers = host + ":7006"
	}
	startAll(f)
}

var _ = ginkgo.Describe("views of a fleet", func() {
	specWith("given a fleet under load, when the views of nodes and control plane replicas are read, then they show configuration, peers and counters", 3, smallServices, []uint64{1}, func(f *Fleet) {
		startAllWithViews(f)
		f.StartLoad(60)
		f.Sleep(5 * time.Second)
		f.StopLoad()
		for _, m := range f.Nodes {
			view := f.nodeView(m)
			Expect(view.Node).To(Equal(m.Name), f.Description)
			Expect(view.Serial).To(Equal(uint64(3)), f.Description)
			Expect(view.Ready).To(BeTrue(), f.Description)
			Expect(view.Instance.GetService()).To(Equal(m.Service), f.Description)
			Expect(view.Gate.GetLimit()).To(Equal(uint32(8)), f.Description)
			Expect(view.Peers).To(HaveLen(len(f.Nodes)), f.Description)
			Expect(view.Controllers).To(HaveLen(3), f.Description)
			Expect(view.RetryBudgets).NotTo(BeEmpty(), f.Description)
			Expect(view.Latencies).NotTo(BeEmpty(), f.Description)
			Expect(view.Counts["answered"]).To(BeNumerically(">", 20), f.Description)
		}
		page := f.fetch(f.Nodes[0].Address(viewPort), "/metrics")
		Expect(page).To(MatchRegexp(`(?m)^curlew_outcomes_total\{what="answered"\} [1-9]`), f.Description)
		Expect(page).To(MatchRegexp(`(?m)^curlew_request_seconds_bucket\{kind="repeatable",le="\+Inf"\} [1-9]`), f.Description)
		Expect(page).To(ContainSubstring("\ncurlew_configuration_serial 3\n"), f.Description)
		owners := map[string]bool{}
		for _, m := range f.Controllers {
			view := f.controllerView(m)
			Expect(view.Phase).To(Equal("founded"), f.Description)
			Expect(view.Settled).To(BeTrue(), f.Description)
			Expect(view.Serial).To(Equal(uint64(3)), f.Description)
			Expect(view.Nodes).To(HaveLen(len(f.Nodes)), f.Description)
			Expect(view.Nodes[0].NodeStatus.Peers).To(HaveSuffix(":7006"), f.Description)
			Expect(view.Peers).To(HaveLen(3), f.Description)
			owners[view.Owner] = true
			Expect(f.fetch(m.Address(inboundPort), "/metrics")).To(MatchRegexp(`(?m)^curlew_nodes\{state="there"\} 5$`), f.Description)
		}
		Expect(owners).To(HaveLen(1), f.Description)
	})

	specWith("given a node without power and a killed upstream, when views are read, then the node is shown as absent by control plane replicas and peers, and the upstream no longer by its node", 3, smallServices, []uint64{2}, func(f *Fleet) {
		startAllWithViews(f)
		poweredOff, silent := f.Nodes[0], f.Nodes[1]
		f.PowerLoss(poweredOff)
		silent.Upstream.Kill()
		f.Sleep(4 * time.Second)
		Expect(f.nodeView(silent).Instance).To(BeNil(), f.Description)
		for _, each := range f.nodeView(silent).Peers {
			Expect(each.Absent).To(Equal(each.Node == poweredOff.Name), f.Description)
		}
		for _, m := range f.Controllers {
			for _, each := range f.controllerView(m).Nodes {
				Expect(each.Absent).To(Equal(each.NodeStatus.Node == poweredOff.Name), f.Description)
			}
			var journal struct{ Happenings []struct{ Topic string } }
			Expect(json.Unmarshal([]byte(f.fetch(m.Address(inboundPort), "/journal?last=1&subject="+poweredOff.Name)), &journal)).To(Succeed(), f.Description)
			Expect(journal.Happenings).To(HaveLen(1), f.Description)
			Expect(journal.Happenings[0].Topic).To(Equal("absent"), f.Description)
		}
	})
})
