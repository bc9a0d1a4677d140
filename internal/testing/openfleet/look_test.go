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

const viewsPort = 7006

func (f *Fleet) see(address, path string) string {
	web := httpserver.NewClient(f.Scope)
	defer web.CloseIdleConnections()
	s, cancel := f.Scope.WithTimeout(2 * time.Second)
	defer cancel()
	ask, err := http.NewRequestWithContext(s, http.MethodGet, "http://"+address+path, nil)
	Expect(err).NotTo(HaveOccurred(), f.Description)
	response, err := web.Do(ask)
	Expect(err).NotTo(HaveOccurred(), f.Description)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred(), f.Description)
	return string(body)
}

func (f *Fleet) view(address string, into proto.Message) {
	Expect(protojson.Unmarshal([]byte(f.see(address, "/view")), into)).To(Succeed(), f.Description)
}

func (f *Fleet) node(m *Machine) *wire.NodeView {
	view := &wire.NodeView{}
	f.view(m.Address(viewsPort), view)
	return view
}

func (f *Fleet) controller(m *Machine) *wire.ControllerView {
	view := &wire.ControllerView{}
	f.view(m.Address(inwardPort), view)
	return view
}

func looked(f *Fleet) {
	f.AdjustParams = func(p *wire.NodeParams) {
		host, _, _ := strings.Cut(p.Inward, ":")
		p.Peers = host + ":7006"
	}
	raised(f)
}

var _ = ginkgo.Describe("looking at an open fleet", func() {
	storyOf("given a fleet with visitors, when nodes and control machines are looked at, then they tell what they hold, see and carried", 3, small, []uint64{1}, func(f *Fleet) {
		looked(f)
		f.StartLoad(60)
		f.Sleep(5 * time.Second)
		f.StopLoad()
		for _, m := range f.Nodes {
			view := f.node(m)
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
		page := f.see(f.Nodes[0].Address(viewsPort), "/metrics")
		Expect(page).To(MatchRegexp(`(?m)^curlew_outcomes_total\{what="answered"\} [1-9]`), f.Description)
		Expect(page).To(MatchRegexp(`(?m)^curlew_request_seconds_bucket\{kind="repeatable",le="\+Inf"\} [1-9]`), f.Description)
		Expect(page).To(ContainSubstring("\ncurlew_configuration_serial 3\n"), f.Description)
		owners := map[string]bool{}
		for _, m := range f.Controllers {
			view := f.controller(m)
			Expect(view.Phase).To(Equal("founded"), f.Description)
			Expect(view.Settled).To(BeTrue(), f.Description)
			Expect(view.Serial).To(Equal(uint64(3)), f.Description)
			Expect(view.Nodes).To(HaveLen(len(f.Nodes)), f.Description)
			Expect(view.Nodes[0].NodeStatus.Peers).To(HaveSuffix(":7006"), f.Description)
			Expect(view.Peers).To(HaveLen(3), f.Description)
			owners[view.Owner] = true
			Expect(f.see(m.Address(inwardPort), "/metrics")).To(MatchRegexp(`(?m)^curlew_nodes\{state="there"\} 5$`), f.Description)
		}
		Expect(owners).To(HaveLen(1), f.Description)
	})

	storyOf("given a node that lost its power and a silent upstream, when they are looked at, then the control machines and peers tell", 3, small, []uint64{2}, func(f *Fleet) {
		looked(f)
		gone, mute := f.Nodes[0], f.Nodes[1]
		f.PowerLoss(gone)
		mute.Upstream.Kill()
		f.Sleep(4 * time.Second)
		Expect(f.node(mute).Instance).To(BeNil(), f.Description)
		for _, each := range f.node(mute).Peers {
			Expect(each.Absent).To(Equal(each.Node == gone.Name), f.Description)
		}
		for _, m := range f.Controllers {
			for _, each := range f.controller(m).Nodes {
				Expect(each.Absent).To(Equal(each.NodeStatus.Node == gone.Name), f.Description)
			}
			var told struct{ Happenings []struct{ Topic string } }
			Expect(json.Unmarshal([]byte(f.see(m.Address(inwardPort), "/journal?last=1&subject="+gone.Name)), &told)).To(Succeed(), f.Description)
			Expect(told.Happenings).To(HaveLen(1), f.Description)
			Expect(told.Happenings[0].Topic).To(Equal("absent"), f.Description)
		}
	})
})
