package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/controlplane"
	"curlewreach/internal/dataplane"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

const (
	keelRole    = "keel"
	nodeRole    = "node"
	crowdRole   = "crowd"
	zones       = 23
	beatEvery   = 500 * time.Millisecond
	garbage     = 50
	hollowCores = 2
)

// Task tells a child what it is.
type Task struct {
	Role     string
	Name     string
	Ip       string
	Port     int
	Seeds    []string
	Folder   string
	First    int
	Count    int
	Services int
	Routes   int
	Spans    float64
	Ramp     time.Duration
	Seed     uint64
}

// Order is a word to a child, answered by its Stat.
type Order struct {
	Do     string
	Serial uint64
	At     time.Duration
	Which  []int
}

// Child runs what its first line asks for, and ends with its input.
func Child(in io.Reader, out io.Writer, alone bool) error {
	lines := bufio.NewReader(in)
	from, to := json.NewDecoder(lines), json.NewEncoder(out)
	var task Task
	if err := from.Decode(&task); err != nil {
		return errors.Wrap(err, "task")
	}
	if alone {
		debug.SetGCPercent(garbage)
		if task.Role != keelRole {
			runtime.GOMAXPROCS(hollowCores)
		}
	}
	folder := ""
	if task.Role == keelRole {
		folder = task.Folder
	}
	s, err := base.NewScope("scale", task.Name, folder, "error")
	if err != nil {
		return err
	}
	tally := &Tally{}
	s.Net, s.Disk, s.Rand = countedNet{s.Net, tally}, countedDisk{s.Disk, tally}, base.SeededRand(task.Seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s = s.WithContext(ctx)
	var crowd *Crowd
	ready, end, err := func() (func() bool, func(), error) {
		switch task.Role {
		case keelRole:
			return startKeel(s, task)
		case nodeRole:
			return startNode(s, task)
		}
		crowd = newCrowd(s, task)
		crowd.run(task.Ramp)
		return func() bool { return true }, func() { cancel(); crowd.crew.Wait() }, nil
	}()
	if err != nil {
		return err
	}
	defer end()
	return answer(from, to, func(order Order) Stat {
		if crowd != nil {
			crowd.obey(order)
		}
		stat := tally.stat()
		stat.Ready = ready()
		if crowd != nil {
			stat.Crowd = crowd.stat()
		}
		return stat
	})
}

// answer carries out orders until the input ends.
func answer(from *json.Decoder, to *json.Encoder, obey func(Order) Stat) error {
	for {
		var order Order
		if err := from.Decode(&order); err != nil {
			return nil
		}
		if err := to.Encode(obey(order)); err != nil {
			return errors.Wrap(err, "stat")
		}
	}
}

func (c *Crowd) obey(order Order) {
	switch order.Do {
	case "expect":
		c.expect(order.Serial, order.At)
	case "fall":
		c.fall(order.Which, order.At)
	case "rise":
		c.rise(order.Which, order.At)
	case "forget":
		c.forget()
	}
}

func startKeel(s base.Scope, task Task) (func() bool, func(), error) {
	p := &wire.ControllerParams{
		Name: task.Name, Zone: "zone-0", Peers: address(task.Ip, task.Port), Operators: address(task.Ip, task.Port+1), Seeds: task.Seeds, Founding: true,
		Folder: task.Folder, Log: "error",
	}
	m, err := controlplane.Start(s, p, func(*controlplane.Server) http.Handler { return http.NotFoundHandler() })
	if err != nil {
		return nil, nil, err
	}
	return m.Ready, m.Kill, nil
}

func startNode(s base.Scope, task Task) (func() bool, func(), error) {
	p := &wire.NodeParams{
		Name: task.Name, Zone: "zone-0", Service: serviceName(0), Outward: address(task.Ip, task.Port+2), Inward: address(task.Ip, task.Port+3),
		Ready: address(task.Ip, task.Port+4), Control: address(task.Ip, task.Port+5), Seeds: task.Seeds, Beat: durationpb.New(beatEvery),
		Leaving: durationpb.New(2 * time.Second), InForce: durationpb.New(2 * time.Second), Grace: durationpb.New(6 * time.Second), RepeatSlack: 10, Log: "error",
	}
	n, err := dataplane.Start(s, p, forwarding.Plain, func(*dataplane.Node) http.Handler { return http.NotFoundHandler() })
	if err != nil {
		return nil, nil, err
	}
	go func() {
		berth := &wire.Instance{Id: "i-" + task.Name, Service: serviceName(0), Address: address(task.Ip, task.Port+6), Zone: "zone-0", Capacity: 8}
		for s.Err() == nil {
			berth.Sequence++
			_ = n.Heartbeat(berth)
			base.Await(s, beatEvery)
		}
	}()
	return n.Ready, n.Kill, nil
}

// ChildMain is a child's whole program.
func ChildMain() int {
	if err := Child(os.Stdin, os.Stdout, true); err != nil {
		_, _ = io.WriteString(os.Stderr, "scale child: "+err.Error()+"\n")
		return 1
	}
	return 0
}
