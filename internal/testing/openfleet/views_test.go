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

func startAllWithViews(f *Fleet) {
	f.AdjustParams = func(p *wire.NodeParams) {
		host, _, _ := strings.Cut(p.Inward, ":")
		p.Peers = host + ":7006"
	}
	startAll(f)
}

var _ = ginkgo.Describe("looking at an open fleet", func() {
	specWith("given a fleet with visitors, when nodes and control machines are looked at, then they tell what they hold, see and carried", 3, smallServices, []uint64{1}, func(f *Fleet) {
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

	specWith("given a node that lost its power and a silent upstream, when they are looked at, then the control machines and peers tell", 3, smallServices, []uint64{2}, func(f *Fleet) {
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
