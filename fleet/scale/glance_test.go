package scale

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("a glance at a keel's answer", func() {
	ginkgo.It("given an answer, when it is read thinly, then its outline is the whole one's", func() {
		body, err := proto.Marshal(&wire.PollReply{
			Controller: "k", Serial: 8, Registry: 77, Configuration: &wire.Configuration{Serial: 8, Routes: []*wire.ConfigurationRoute{{Name: "r", AimMs: 3.5}}}, Odds: &wire.Odds{Serial: 3, Epsilon: 0.1, Table: map[string]float64{"a": 1}},
			Observations: []*wire.Observation{
				{NodeStatus: &wire.NodeStatus{Node: "a", Incarnation: "first1"}},
				{NodeStatus: &wire.NodeStatus{Node: "b", Incarnation: "first2"}, Absent: true, SilenceMs: 1600},
				{NodeStatus: &wire.NodeStatus{Node: "c", Incarnation: again + "3"}},
			},
			Controllers: []string{"x", "y"},
		})
		Expect(err).NotTo(HaveOccurred())
		g := &Glance{}
		Expect(thin{}.Unmarshal(body, g)).To(Succeed())
		Expect(*g).To(Equal(Glance{Keel: "k", Serial: 8, Chart: 8, Odds: 3, Roster: 77, Sights: 3, Gone: []string{"b"}, Back: []string{"c"}}))
		Expect(thin{}.Unmarshal(body[:len(body)-1], &Glance{})).NotTo(Succeed())
	})
})
