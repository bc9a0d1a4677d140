package ctl

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/controlplane"
	"curlewreach/internal/dataplane"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/listedcore"
	"curlewreach/internal/random"
	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func newScope(name string) base.Scope {
	disk, err := storage.Open(ginkgo.GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	return base.Scope{
		Context: context.Background(), Node: name, Clock: base.RealClock(), Net: base.RealNet(), Disk: disk,
		Rand: random.New(), Log: hclog.NewNullLogger(), Journal: base.NewJournal(100),
	}
}

func notFound[T any](T) http.Handler { return http.NotFoundHandler() }

func startController(seed string) *controlplane.Server {
	server, err := controlplane.Start(newScope("core-1"), &wire.ControllerParams{Name: "core-1", Zone: "a", Peers: seed, Operators: freeAddress(), Seeds: []string{seed}, Founding: true, Folder: "x", Ack: durationpb.New(time.Second)}, notFound[*controlplane.Server])
	Expect(err).NotTo(HaveOccurred())
	return server
}

func startNode(i int, seed string) *dataplane.Node {
	second := durationpb.New(time.Second)
	n, err := dataplane.Start(newScope("app"), &wire.NodeParams{
		Name: fmt.Sprint("app-", i), Zone: "a", Service: "books", Outward: freeAddress(), Inward: freeAddress(), Ready: freeAddress(), Control: freeAddress(), Seeds: []string{seed}, Peers: freeAddress(),
		Beat: second, Leaving: second, InForce: second, Grace: second, RepeatSlack: 10,
	}, forwarding.DefaultHeaderNames, notFound[*dataplane.Node])
	Expect(err).NotTo(HaveOccurred())
	return n
}

var _ = ginkgo.Describe("inspecting an open fleet", func() {
	var client *listedcore.Client
	runOpen := func(o *openArgs) error {
		a := &args{Controllers: client.Controllers[0], Open: o}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return a.run(ctx)
	}
	problems := func() []string {
		fleet, err := askFleet(context.Background(), client)
		if err != nil {
			return []string{err.Error()}
		}
		configuration, _ := askAnyController(context.Background(), client, (*listedcore.Client).Configuration)
		return fleet.problems(configuration)
	}

	ginkgo.It("given a controller and two nodes, when ctl asks them, then each view replies and the problems follow the state of the fleet", func() {
		seed := freeAddress()
		client = &listedcore.Client{HTTPClient: http.DefaultClient, Controllers: []string{seed}}
		Expect(exitCode(runOpen(&openArgs{Nodes: &noArgs{}}))).To(Equal(exitUnreachable))
		server := startController(seed)
		defer server.Kill()
		first, second := startNode(1, seed), startNode(2, seed)
		defer first.Kill()
		defer second.Kill()
		Eventually(problems, 8*time.Second, 50*time.Millisecond).Should(ContainElements("there is no configuration yet: nodes serve nobody", "node app-1 is not ready: it has no configuration"))
		_, err := server.Propose(context.Background(), &wire.ConfigurationProposal{Configuration: &wire.Configuration{
			Serial: 1, Services: []*wire.ConfigurationService{{Name: "books", Probe: "/h", ConnLimit: 9, Protocol: "h1"}}, Limits: &wire.ConfigurationLimits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 9000},
			Routes: []*wire.ConfigurationRoute{{Name: "r", Host: "a.example", Prefix: "/", CutoffMs: 2000, AimMs: 500, Tries: 2, Service: proto.String("books")}},
		}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(problems, 8*time.Second, 50*time.Millisecond).Should(ContainElements("service books has no upstream anywhere", "the upstream beside node app-2 is silent"))
		sendReports := func() {
			for i, n := range []*dataplane.Node{first, second} {
				Expect(n.Heartbeat(&wire.Instance{Id: fmt.Sprint("i", i), Service: "books", Address: "127.0.0.1:9", Zone: "a", Capacity: 4})).To(BeNil())
			}
		}
		Eventually(func() []string { sendReports(); return problems() }, 12*time.Second, 50*time.Millisecond).Should(BeEmpty())
		for _, o := range []*openArgs{
			{Nodes: &noArgs{}},
			{Controllers: &noArgs{}},
			{Configuration: &noArgs{}},
			{Routes: &noArgs{}},
			{Odds: &noArgs{}},
			{Wrong: &noArgs{}},
			{Node: &idArgs{"app-1"}},
			{Journal: &journalArgs{Node: "app-1", Last: 5}},
			{Journal: &journalArgs{Node: "core-1", Last: 5}},
		} {
			Expect(runOpen(o)).To(Succeed())
		}
		Expect(exitCode(runOpen(&openArgs{Node: &idArgs{"app-9"}}))).To(Equal(exitFailure))
		first.Kill()
		Eventually(problems, 8*time.Second, 50*time.Millisecond).Should(ContainElement(MatchRegexp("^node app-1 is absent, silent for ")))
		Expect(exitCode(runOpen(&openArgs{Wrong: &noArgs{}}))).To(Equal(exitFailure))
		server.Kill()
		Expect(exitCode(runOpen(&openArgs{Wrong: &noArgs{}}))).To(Equal(exitUnreachable))
	})

	ginkgo.DescribeTable("given the views of controllers and nodes, when ctl looks for problems, then it lists each",
		func(change func(fleet *fleetView), expected ...string) {
			gate := &wire.GateView{Limit: 4}
			fleet := &fleetView{
				controllers:  map[string]*wire.ControllerView{},
				observations: map[string]*nodeObservation{"app-1": {status: &wire.NodeStatus{Node: "app-1", Peers: "10.0.1.1:7"}, presentAt: []string{"core-1", "core-2"}}},
				nodeViews:    map[string]*wire.NodeView{"app-1": {Serial: 5, Ready: true, Instance: &wire.Instance{Service: "books"}, Gate: gate}},
			}
			for i := range 2 {
				address := fmt.Sprintf("10.0.0.%d:7", i+1)
				fleet.controllers[address] = &wire.ControllerView{
					Controller: fmt.Sprint("core-", i+1), Address: address, Phase: phaseFounded, Settled: true, Serial: 5, Learner: "x", Keys: []*wire.KeyState{{Key: "chart", Copies: 2}},
					Peers: []*wire.ControllerPeer{{Address: "10.0.0.1:7", Heard: true}, {Address: "10.0.0.2:7", Heard: true}},
				}
			}
			change(fleet)
			Expect(fleet.problems(&wire.Configuration{Serial: 5, Services: []*wire.ConfigurationService{{Name: "books"}}})).To(ConsistOf(expected))
		},
		ginkgo.Entry("no problem", func(*fleetView) {}),
		ginkgo.Entry("an unreachable controller", func(fleet *fleetView) { fleet.silentControllers = []string{"10.0.0.3:7"} }, "controller 10.0.0.3:7 can't be reached"),
		ginkgo.Entry("a controller cut off from its peers", func(fleet *fleetView) {
			controller := fleet.controllers["10.0.0.1:7"]
			controller.Settled, controller.AgreedMs, controller.Peers[1].Heard, controller.Serial = false, proto.Uint64(2500), false, 4
		}, "controller core-1 does not agree with a majority of disks; it last did 2.5s ago", "controller core-1 does not hear controller 10.0.0.2:7", "controller core-1 is on serial 4, the newest is 5"),
		ginkgo.Entry("too few copies", func(fleet *fleetView) { fleet.controllers["10.0.0.1:7"].Keys[0].Copies = 1 }, "the newest configuration is on 1 of 2 disks"),
		ginkgo.Entry("a blank disk", func(fleet *fleetView) { fleet.controllers["10.0.0.2:7"].Phase = "blank" }, "controller core-2 has not recovered its disk: blank"),
		ginkgo.Entry("a controller that is no voter", func(fleet *fleetView) {
			fleet.controllers["10.0.0.2:7"].Phase, fleet.controllers["10.0.0.2:7"].Generation = phaseCatchingUp, 4
		}, "controller core-2 has no vote, and generation 4 has its voters"),
		ginkgo.Entry("no voter to spare", func(fleet *fleetView) {
			controller := fleet.controllers["10.0.0.1:7"]
			controller.Peers = append(controller.Peers, &wire.ControllerPeer{Address: "10.0.0.3:7"})
			controller.Generation, controller.Sealed, controller.Keys = 3, true, nil
			controller.Learners = []*wire.ControllerLearner{{Address: "10.0.0.4:7"}, {Address: "10.0.0.5:7", CaughtUp: true}}
		}, "controller core-1 hears so few of the 3 voters of generation 3 that one more lost would stop changes",
			"controller core-1 has ended generation 3 and waits for the next", "controller core-1 sees 10.0.0.4:7 still catching up"),
		ginkgo.Entry("a node on an older serial", func(fleet *fleetView) { fleet.nodeViews["app-1"].Serial = 4 }, "node app-1 is on serial 4, the newest is 5"),
		ginkgo.Entry("a node with an unconfirmed configuration", func(fleet *fleetView) {
			fleet.nodeViews["app-1"].Polled = []*wire.ControlView{{Address: "10.0.0.1:7"}}
		}, "node app-1 serves a configuration that no majority has confirmed since it started"),
		ginkgo.Entry("a node heard by one controller only", func(fleet *fleetView) {
			fleet.observations["app-1"].presentAt, fleet.observations["app-1"].absentAt = []string{"core-1"}, []string{"core-2"}
		}, "node app-1 is not heard by core-2, though by core-1"),
		ginkgo.Entry("a node that does not reply", func(fleet *fleetView) {
			delete(fleet.nodeViews, "app-1")
			fleet.observations["app-1"].status.Instance = &wire.Instance{Service: "books"}
		}, "node app-1 did not reply at its door for views (10.0.1.1:7)"),
		ginkgo.Entry("an overloaded node", func(fleet *fleetView) {
			v := fleet.nodeViews["app-1"]
			v.Gate.Flying, v.Gate.Waiting, v.Gate.RestMs, v.BacklogMs, v.RetryBudgets = 4, 2, 70, 300, []*wire.RetryBudgetView{{Service: "books", Spent: true}}
		}, "the gate at node app-1 is full: 4 of 4 taken, 2 wait, a new request would wait 70ms", "the link of node app-1 is behind by 300ms", "node app-1 has used up its retry budget for service books"),
	)
})
