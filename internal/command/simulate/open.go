package simulate

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/controlplane"
	"curlewreach/internal/dataplane"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	openSubcommand = "open"
	// openControllerSubcommand and openNodeSubcommand are what the child processes run.
	openControllerSubcommand = "open-core"
	openNodeSubcommand       = "open-node"
	openControllers          = 3
	// openCapacity is the capacity that a stand-in upstream reports.
	openCapacity = 8
	// openHeartbeat is the interval between reports of a stand-in upstream.
	openHeartbeat = 500 * time.Millisecond
	// openTimeLeft is the deadline that clients give a request.
	openTimeLeft = 2 * time.Second
	// openMaxDelay bounds the random time that a stand-in upstream takes to respond.
	openMaxDelay  = 20 * time.Millisecond
	openPeersPort = 7380
	// openStopTimeout is the time to stop after SIGTERM before a child process is killed.
	openStopTimeout = 8 * time.Second
)

// openArgs are the options of 'simulate open'.
type openArgs struct {
	Nodes  int     `arg:"--nodes" default:"5" help:"number of application machines; every second one serves loans, the others books"`
	Rate   float64 `arg:"--rate" default:"50" help:"requests per second over the whole fleet"`
	Folder string  `arg:"--folder" help:"folder for params, data and logs; a temporary one if left out"`
	Log    string  `arg:"--log" default:"info" help:"log level of the fleet's processes"`
}

func (openArgs) Description() string {
	return "runs an open fleet on this machine until a signal: one process per controller and node, each node with a stand-in upstream"
}

// openFleet is an open fleet in child processes of this one.
type openFleet struct {
	openArgs
	controllers     []string // addresses of the controllers for other machines
	clientAddresses []string // addresses at which the nodes serve clients
	children        []*exec.Cmd
}

// parseCommand parses the arguments of a subcommand. If no folder is named, it creates a temporary
// one, which clean removes.
func parseCommand(program string, arguments []string, into any, folder *string) (clean func(), err error) {
	parser, err := arg.NewParser(arg.Config{Program: program}, into)
	if err != nil {
		return nil, err
	}
	parser.MustParse(arguments)
	if *folder != "" {
		return func() {}, nil
	}
	if *folder, err = os.MkdirTemp("", "curlew-simulate"); err != nil {
		return nil, err
	}
	return func() { _ = os.RemoveAll(*folder) }, nil
}

// openMain runs 'simulate open'.
func openMain(arguments []string) error {
	f := &openFleet{}
	clean, err := parseCommand("curlew simulate open", arguments, &f.openArgs, &f.Folder)
	if err != nil {
		return err
	}
	defer clean()
	defer f.stopAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := f.startAll(); err != nil {
		return err
	}
	if err := f.propose(ctx); err != nil {
		return err
	}
	go f.sendRequests(ctx)
	fmt.Printf("export CURLEW_CONTROLLERS=%s\n", strings.Join(f.controllers, ","))
	for _, child := range f.children {
		fmt.Printf("%-8s pid %d\n", strings.TrimSuffix(filepath.Base(child.Args[2]), ".json"), child.Process.Pid)
	}
	fmt.Printf("visitors %s, logs in %s\n", f.clientAddresses[0], f.Folder)
	base.HandleSignals(func() {}, func() {})
	return nil
}

// startAll starts the processes of all controllers and nodes.
func (f *openFleet) startAll() error {
	for i := range openControllers {
		f.controllers = append(f.controllers, fmt.Sprintf("127.0.2.%d:%d", i+1, openPeersPort))
	}
	for i, address := range f.controllers {
		name := fmt.Sprintf("core-%d", i+1)
		if err := f.startChild(openControllerSubcommand, name, &wire.ControllerParams{
			Name: name, Zone: fmt.Sprintf("z%d", i+1), Peers: address, Operators: fmt.Sprintf("127.0.2.%d:7005", i+1), Seeds: f.controllers,
			Founding: true, Folder: filepath.Join(f.Folder, name), Log: f.Log,
		}); err != nil {
			return err
		}
	}
	for i := range f.Nodes {
		name, service := fmt.Sprintf("app-%d", i+1), []string{"books", "loans"}[i%2]
		at := func(port int) string { return fmt.Sprintf("127.0.3.%d:%d", i+1, port) }
		f.clientAddresses = append(f.clientAddresses, at(7001))
		if err := f.startChild(openNodeSubcommand, name, &wire.NodeParams{
			Name: name, Zone: fmt.Sprintf("z%d", i%openControllers+1), Service: service, Upstream: at(8080), Outward: at(7001), Inward: at(7002), Ready: at(7003), Control: at(7004), Peers: at(openPeersPort),
			Seeds: f.controllers, Beat: durationpb.New(openHeartbeat), Leaving: durationpb.New(2 * time.Second), InForce: durationpb.New(2 * time.Second), Grace: durationpb.New(6 * time.Second),
			RepeatWindow: durationpb.New(10 * time.Second), RepeatSlack: 20, Log: f.Log,
		}); err != nil {
			return err
		}
	}
	return nil
}

// startChild starts this program with a subcommand and a settings file. The kernel sends the child
// SIGTERM when this process ends.
func (f *openFleet) startChild(subcommand, name string, params proto.Message) error {
	body, err := protojson.MarshalOptions{Multiline: true}.Marshal(params)
	if err != nil {
		return err
	}
	file := filepath.Join(f.Folder, name+".json")
	if err := os.WriteFile(file, body, 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.Folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	child := exec.Command(executable, "simulate", subcommand, file)
	child.Stdout, child.Stderr = log, log
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := child.Start(); err != nil {
		return err
	}
	f.children = append(f.children, child)
	return nil
}

// stopAll stops all child processes and waits for them.
func (f *openFleet) stopAll() {
	for _, child := range f.children {
		_ = child.Process.Signal(syscall.SIGTERM)
	}
	for _, child := range f.children {
		killTimer := time.AfterFunc(openStopTimeout, func() { _ = child.Process.Kill() })
		_ = child.Wait()
		killTimer.Stop()
	}
}

// propose proposes the first configuration until a controller accepts it.
func (f *openFleet) propose(ctx context.Context) error {
	route := func(name, service string, repeat wire.Repeat, rank uint32) *wire.ConfigurationRoute {
		return &wire.ConfigurationRoute{Name: name, Host: "open.example", Prefix: "/" + name + "/", Repeat: repeat, CutoffMs: 2000, AimMs: 500, Rank: rank, Tries: 2, Service: &service}
	}
	configuration := &wire.Configuration{
		Serial: 1, Limits: &wire.ConfigurationLimits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 15000},
		Routes: []*wire.ConfigurationRoute{route("search", "books", wire.Repeat_REPEATABLE, 2), route("lend", "loans", wire.Repeat_ONCE, 0)},
	}
	for _, name := range []string{"books", "loans"} {
		configuration.Services = append(configuration.Services, &wire.ConfigurationService{Name: name, Probe: "/health", ConnLimit: 100, Protocol: "h1"})
	}
	controller := wireconnect.NewMoorClient(http.DefaultClient, "http://"+f.controllers[0])
	for started := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		bounded, cancel := context.WithTimeout(ctx, 4*time.Second)
		outcome, err := controller.Propose(bounded, connect.NewRequest(&wire.ConfigurationProposal{Configuration: configuration}))
		cancel()
		switch {
		case err == nil && outcome.Msg.Kind != "":
			return errors.Errorf("the configuration was rejected: %s", strings.Join(outcome.Msg.Reasons, "; "))
		case err == nil:
			return nil
		case time.Since(started) > startTimeout:
			return errors.Wrap(err, "timed out waiting for the first configuration to be accepted")
		}
	}
}

// sendRequests sends requests to the nodes in turn, at the rate asked for, until ctx ends.
func (f *openFleet) sendRequests(ctx context.Context) {
	if f.Rate <= 0 {
		return
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(float64(time.Second) / f.Rate))
		go func() {
			path := []string{"search", "search", "lend"}[i%3]
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.clientAddresses[i%len(f.clientAddresses)]+"/"+path+"/x", nil)
			if err != nil {
				return
			}
			request.Host = "open.example"
			request.Header.Set(forwarding.DefaultHeaderNames.RequestID, fmt.Sprintf("visit-%d", i))
			request.Header.Set(forwarding.DefaultHeaderNames.TimeLeft, fmt.Sprint(openTimeLeft.Milliseconds()))
			if response, err := client.Do(request); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}()
	}
}

// notFound returns the handler of a server that isn't needed here.
func notFound[T any](T) http.Handler { return http.NotFoundHandler() }

// openControllerMain runs a controller in a child process.
func openControllerMain(file string) error {
	params := &wire.ControllerParams{}
	if err := base.LoadParams(file, params); err != nil {
		return err
	}
	s, err := base.NewScope(program, params.Name, params.Folder, params.Log)
	if err != nil {
		return err
	}
	server, err := controlplane.Start(s, params, notFound[*controlplane.Server])
	if err != nil {
		return err
	}
	base.HandleSignals(server.Stop, func() {})
	return nil
}

// openNodeMain runs a node and its stand-in upstream in a child process.
func openNodeMain(file string) error {
	params := &wire.NodeParams{}
	if err := base.LoadParams(file, params); err != nil {
		return err
	}
	s, err := base.NewScope(program, params.Name, "", params.Log)
	if err != nil {
		return err
	}
	node, err := dataplane.Start(s, params, forwarding.DefaultHeaderNames, notFound[*dataplane.Node])
	if err != nil {
		return err
	}
	instance := &wire.Instance{Id: params.Name + "-" + s.Rand.Hex(3), Service: params.Service, Address: params.Upstream, Zone: params.Zone, Capacity: openCapacity}
	server, err := httpserver.Serve(s, params.Upstream, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(rand.N(openMaxDelay))
		w.Header().Set(forwarding.DefaultHeaderNames.RequestID, r.Header.Get(forwarding.DefaultHeaderNames.RequestID))
		w.Header().Set(forwarding.DefaultHeaderNames.Seal, "whole")
		_, _ = fmt.Fprintln(w, instance.Id)
	}))
	if err != nil {
		return err
	}
	defer server.Close()
	go base.Tick(s, openHeartbeat, func(base.Scope) { _ = node.Heartbeat(instance) })
	base.HandleSignals(node.Stop, func() {})
	return nil
}
