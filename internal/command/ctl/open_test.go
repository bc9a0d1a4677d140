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

func free() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func scoped(name string) base.Scope {
	disk, err := storage.Open(ginkgo.GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	return base.Scope{
		Context: context.Background(), Node: name, Clock: base.RealClock(), Net: base.RealNet(), Disk: disk,
		Rand: random.New(), Log: hclog.NewNullLogger(), Journal: base.NewJournal(100),
	}
}

func nothing[T any](T) http.Handler { return http.NotFoundHandler() }

func controller(seed string) *controlplane.Server {
	m, err := controlplane.Start(scoped("core-1"), &wire.ControllerParams{Name: "core-1", Zone: "a", Peers: seed, Operators: free(), Seeds: []string{seed}, Founding: true, Folder: "x", Ack: durationpb.New(time.Second)}, nothing[*controlplane.Server])
	Expect(err).NotTo(HaveOccurred())
	return m
}

func node(i int, seed string) *dataplane.Node {
	second := durationpb.New(time.Second)
	n, err := dataplane.Start(scoped("app"), &wire.NodeParams{
		Name: fmt.Sprint("app-", i), Zone: "a", Service: "books", Outward: free(), Inward: free(), Ready: free(), Control: free(), Seeds: []string{seed}, Peers: free(),
		Beat: second, Leaving: second, InForce: second, Grace: second, RepeatSlack: 10,
	}, forwarding.DefaultHeaderNames, nothing[*dataplane.Node])
	Expect(err).NotTo(HaveOccurred())
	return n
}

var _ = ginkgo.Describe("looking at an open fleet", func() {
	var client *listedcore.Client
	ask := func(o *open) error {
		a := &args{Controllers: client.Controllers[0], Open: o}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return a.run(ctx)
	}
	wrong := func() []string {
		l, err := around(context.Background(), client)
		if err != nil {
			return []string{err.Error()}
		}
		configuration, _ := anyController(context.Background(), client, (*listedcore.Client).Configuration)
		return l.wrong(configuration)
	}

	ginkgo.It("given a controller and two nodes, when ctl walks around, then each view answers and wrong follows the fleet", func() {
		seed := free()
		client = &listedcore.Client{HTTPClient: http.DefaultClient, Controllers: []string{seed}}
		Expect(exitCode(ask(&open{Nodes: &none{}}))).To(Equal(exitUnreachable))
		m := controller(seed)
		defer m.Kill()
		first, second := node(1, seed), node(2, seed)
		defer first.Kill()
		defer second.Kill()
		Eventually(wrong, 8*time.Second, 50*time.Millisecond).Should(ContainElements("there is no configuration yet: nodes serve nobody", "node app-1 is not ready: it has no configuration"))
		_, err := m.Propose(context.Background(), &wire.ConfigurationProposal{Configuration: &wire.Configuration{
			Serial: 1, Services: []*wire.ConfigurationService{{Name: "books", Probe: "/h", ConnLimit: 9, Protocol: "h1"}}, Limits: &wire.ConfigurationLimits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 9000},
			Routes: []*wire.ConfigurationRoute{{Name: "r", Host: "a.example", Prefix: "/", CutoffMs: 2000, AimMs: 500, Tries: 2, Service: proto.String("books")}},
		}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(wrong, 8*time.Second, 50*time.Millisecond).Should(ContainElements("service books has no upstream anywhere", "the upstream beside node app-2 is silent"))
		beat := func() {
			for i, n := range []*dataplane.Node{first, second} {
				Expect(n.Heartbeat(&wire.Instance{Id: fmt.Sprint("i", i), Service: "books", Address: "127.0.0.1:9", Zone: "a", Capacity: 4})).To(BeNil())
			}
		}
		Eventually(func() []string { beat(); return wrong() }, 12*time.Second, 50*time.Millisecond).Should(BeEmpty())
		for _, o := range []*open{
			{Nodes: &none{}},
			{Controllers: &none{}},
			{Configuration: &none{}},
			{Routes: &none{}},
			{Odds: &none{}},
			{Wrong: &none{}},
			{Node: &named{"app-1"}},
			{Journal: &journal{Node: "app-1", Last: 5}},
			{Journal: &journal{Node: "core-1", Last: 5}},
		} {
			Expect(ask(o)).To(Succeed())
		}
		Expect(exitCode(ask(&open{Node: &named{"app-9"}}))).To(Equal(exitFault))
		first.Kill()
		Eventually(wrong, 8*time.Second, 50*time.Millisecond).Should(ContainElement(MatchRegexp("^node app-1 is absent, silent for ")))
		Expect(exitCode(ask(&open{Wrong: &none{}}))).To(Equal(exitFault))
		m.Kill()
		Expect(exitCode(ask(&open{Wrong: &none{}}))).To(Equal(exitUnreachable))
	})

	ginkgo.DescribeTable("given what controllers and nodes say, when ctl looks for what is wrong, then it says so in plain words",
		func(change func(l *look), said ...string) {
			gate := &wire.GateView{Limit: 4}
			l := &look{
				controllers:  map[string]*wire.ControllerView{},
				observations: map[string]*sighted{"app-1": {post: &wire.NodeStatus{Node: "app-1", Peers: "10.0.1.1:7"}, there: []string{"core-1", "core-2"}}},
				views:        map[string]*wire.NodeView{"app-1": {Serial: 5, Ready: true, Instance: &wire.Instance{Service: "books"}, Gate: gate}},
			}
			for i := range 2 {
				address := fmt.Sprintf("10.0.0.%d:7", i+1)
				l.controllers[address] = &wire.ControllerView{
					Controller: fmt.Sprint("core-", i+1), Address: address, Phase: wholePhase, Settled: true, Serial: 5, Learner: "x", Keys: []*wire.KeyState{{Key: "chart", Copies: 2}},
					Peers: []*wire.ControllerPeer{{Address: "10.0.0.1:7", Heard: true}, {Address: "10.0.0.2:7", Heard: true}},
				}
			}
			change(l)
			Expect(l.wrong(&wire.Configuration{Serial: 5, Services: []*wire.ConfigurationService{{Name: "books"}}})).To(ConsistOf(said))
		},
		ginkgo.Entry("nothing", func(*look) {}),
		ginkgo.Entry("a controller out of reach", func(l *look) { l.silent = []string{"10.0.0.3:7"} }, "controller 10.0.0.3:7 can't be reached"),
		ginkgo.Entry("a controller cut off", func(l *look) {
			k := l.controllers["10.0.0.1:7"]
			k.Settled, k.AgreedMs, k.Peers[1].Heard, k.Serial = false, proto.Uint64(2500), false, 4
		}, "controller core-1 does not agree with a majority of disks; it last did 2.5s ago", "controller core-1 does not hear controller 10.0.0.2:7", "controller core-1 is on serial 4, the newest is 5"),
		ginkgo.Entry("too few copies", func(l *look) { l.controllers["10.0.0.1:7"].Keys[0].Copies = 1 }, "the newest configuration is on 1 of 2 disks"),
		ginkgo.Entry("a blank disk", func(l *look) { l.controllers["10.0.0.2:7"].Phase = "blank" }, "controller core-2 has not recovered its disk: blank"),
		ginkgo.Entry("a controller without a vote", func(l *look) {
			l.controllers["10.0.0.2:7"].Phase, l.controllers["10.0.0.2:7"].Generation = catchingUp, 4
		}, "controller core-2 has no vote, and generation 4 has its voters"),
		ginkgo.Entry("no voter to spare", func(l *look) {
			k := l.controllers["10.0.0.1:7"]
			k.Peers = append(k.Peers, &wire.ControllerPeer{Address: "10.0.0.3:7"})
			k.Generation, k.Sealed, k.Keys = 3, true, nil
			k.Learners = []*wire.ControllerLearner{{Address: "10.0.0.4:7"}, {Address: "10.0.0.5:7", CaughtUp: true}}
		}, "controller core-1 hears so few of the 3 voters of generation 3 that one more lost would stop changes",
			"controller core-1 has ended generation 3 and waits for the next", "controller core-1 sees 10.0.0.4:7 still catching up"),
		ginkgo.Entry("a node behind", func(l *look) { l.views["app-1"].Serial = 4 }, "node app-1 is on serial 4, the newest is 5"),
		ginkgo.Entry("a node beside a control machine that is cut off", func(l *look) {
			l.views["app-1"].Polled = []*wire.ControlView{{Address: "10.0.0.1:7"}}
		}, "node app-1 serves a configuration that no majority has vouched for since it started"),
		ginkgo.Entry("a node seen by one controller", func(l *look) {
			l.observations["app-1"].there, l.observations["app-1"].absent = []string{"core-1"}, []string{"core-2"}
		}, "node app-1 is not heard by core-2, though by core-1"),
		ginkgo.Entry("a node that is mute", func(l *look) {
			delete(l.views, "app-1")
			l.observations["app-1"].post.Instance = &wire.Instance{Service: "books"}
		}, "node app-1 did not reply at its door for views (10.0.1.1:7)"),
		ginkgo.Entry("a crowd", func(l *look) {
			v := l.views["app-1"]
			v.Gate.Flying, v.Gate.Waiting, v.Gate.RestMs, v.BacklogMs, v.RetryBudgets = 4, 2, 70, 300, []*wire.RetryBudgetView{{Service: "books", Spent: true}}
		}, "the gate at node app-1 is full: 4 of 4 taken, 2 wait, a new request would wait 70ms", "the link of node app-1 is behind by 300ms", "node app-1 has spent its repeats for service books"),
	)
})
