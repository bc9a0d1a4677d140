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
	openWord        = "open"
	openController  = "open-core"
	openNode        = "open-node"
	openControllers = 3
	openSlots       = 8
	openBeat        = 500 * time.Millisecond
	openLeft        = 2 * time.Second
	openSlow        = 20 * time.Millisecond
	openPeers       = 7380
	openEnding      = 8 * time.Second
)

type openArgs struct {
	Nodes  int     `arg:"--nodes" default:"5" help:"application machines; each second one serves loans, the others books"`
	Rate   float64 `arg:"--rate" default:"50" help:"requests a second over the whole fleet"`
	Folder string  `arg:"--folder" help:"where params, data and logs go; a temporary one when left out"`
	Log    string  `arg:"--log" default:"info" help:"log level of the fleet's processes"`
}

func (openArgs) Description() string {
	return "runs an open fleet on this machine, a process a controller and a node, each node with a stand-in upstream, until a signal"
}

type openFleet struct {
	openArgs
	controllers []string
	outward     []string
	children    []*exec.Cmd
}

// parseCommand reads the words of a subcommand; clean removes the folder that it made where none was named.
func parseCommand(program string, words []string, into any, folder *string) (clean func(), err error) {
	parser, err := arg.NewParser(arg.Config{Program: program}, into)
	if err != nil {
		return nil, err
	}
	parser.MustParse(words)
	if *folder != "" {
		return func() {}, nil
	}
	if *folder, err = os.MkdirTemp("", "curlew-simulate"); err != nil {
		return nil, err
	}
	return func() { _ = os.RemoveAll(*folder) }, nil
}

func openMain(words []string) error {
	f := &openFleet{}
	clean, err := parseCommand("curlew simulate open", words, &f.openArgs, &f.Folder)
	if err != nil {
		return err
	}
	defer clean()
	defer f.end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := f.raise(); err != nil {
		return err
	}
	if err := f.propose(ctx); err != nil {
		return err
	}
	go f.visit(ctx)
	fmt.Printf("export CURLEW_CONTROLLERS=%s\n", strings.Join(f.controllers, ","))
	for _, child := range f.children {
		fmt.Printf("%-8s pid %d\n", strings.TrimSuffix(filepath.Base(child.Args[2]), ".json"), child.Process.Pid)
	}
	fmt.Printf("visitors %s, logs in %s\n", f.outward[0], f.Folder)
	base.HandleSignals(func() {}, func() {})
	return nil
}

func (f *openFleet) raise() error {
	for i := range openControllers {
		f.controllers = append(f.controllers, fmt.Sprintf("127.0.2.%d:%d", i+1, openPeers))
	}
	for i, address := range f.controllers {
		name := fmt.Sprintf("core-%d", i+1)
		if err := f.start(openController, name, &wire.ControllerParams{
			Name: name, Zone: fmt.Sprintf("z%d", i+1), Peers: address, Operators: fmt.Sprintf("127.0.2.%d:7005", i+1), Seeds: f.controllers,
			Founding: true, Folder: filepath.Join(f.Folder, name), Log: f.Log,
		}); err != nil {
			return err
		}
	}
	for i := range f.Nodes {
		name, service := fmt.Sprintf("app-%d", i+1), []string{"books", "loans"}[i%2]
		at := func(port int) string { return fmt.Sprintf("127.0.3.%d:%d", i+1, port) }
		f.outward = append(f.outward, at(7001))
		if err := f.start(openNode, name, &wire.NodeParams{
			Name: name, Zone: fmt.Sprintf("z%d", i%openControllers+1), Service: service, Upstream: at(8080), Outward: at(7001), Inward: at(7002), Ready: at(7003), Control: at(7004), Peers: at(openPeers),
			Seeds: f.controllers, Beat: durationpb.New(openBeat), Leaving: durationpb.New(2 * time.Second), InForce: durationpb.New(2 * time.Second), Grace: durationpb.New(6 * time.Second),
			RepeatWindow: durationpb.New(10 * time.Second), RepeatSlack: 20, Log: f.Log,
		}); err != nil {
			return err
		}
	}
	return nil
}

func (f *openFleet) start(word, name string, params proto.Message) error {
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
	own, err := os.Executable()
	if err != nil {
		return err
	}
	child := exec.Command(own, "simulate", word, file)
	child.Stdout, child.Stderr = log, log
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := child.Start(); err != nil {
		return err
	}
	f.children = append(f.children, child)
	return nil
}

func (f *openFleet) end() {
	for _, child := range f.children {
		_ = child.Process.Signal(syscall.SIGTERM)
	}
	for _, child := range f.children {
		late := time.AfterFunc(openEnding, func() { _ = child.Process.Kill() })
		_ = child.Wait()
		late.Stop()
	}
}

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
	for begun := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		bounded, cancel := context.WithTimeout(ctx, 4*time.Second)
		outcome, err := controller.Propose(bounded, connect.NewRequest(&wire.ConfigurationProposal{Configuration: configuration}))
		cancel()
		switch {
		case err == nil && outcome.Msg.Kind != "":
			return errors.Errorf("the configuration was rejected: %s", strings.Join(outcome.Msg.Reasons, "; "))
		case err == nil:
			return nil
		case time.Since(begun) > raising:
			return errors.Wrap(err, "gave up waiting for the first configuration")
		}
	}
}

func (f *openFleet) visit(ctx context.Context) {
	if f.Rate <= 0 {
		return
	}
	web := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(float64(time.Second) / f.Rate))
		go func() {
			path := []string{"search", "search", "lend"}[i%3]
			ask, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.outward[i%len(f.outward)]+"/"+path+"/x", nil)
			if err != nil {
				return
			}
			ask.Host = "open.example"
			ask.Header.Set(forwarding.DefaultHeaderNames.RequestID, fmt.Sprintf("visit-%d", i))
			ask.Header.Set(forwarding.DefaultHeaderNames.TimeLeft, fmt.Sprint(openLeft.Milliseconds()))
			if answer, err := web.Do(ask); err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
		}()
	}
}

func nobody[T any](T) http.Handler { return http.NotFoundHandler() }

func openControllerMain(file string) error {
	p := &wire.ControllerParams{}
	if err := base.LoadParams(file, p); err != nil {
		return err
	}
	s, err := base.NewScope(program, p.Name, p.Folder, p.Log)
	if err != nil {
		return err
	}
	m, err := controlplane.Start(s, p, nobody[*controlplane.Server])
	if err != nil {
		return err
	}
	base.HandleSignals(m.Stop, func() {})
	return nil
}

func openNodeMain(file string) error {
	p := &wire.NodeParams{}
	if err := base.LoadParams(file, p); err != nil {
		return err
	}
	s, err := base.NewScope(program, p.Name, "", p.Log)
	if err != nil {
		return err
	}
	n, err := dataplane.Start(s, p, forwarding.DefaultHeaderNames, nobody[*dataplane.Node])
	if err != nil {
		return err
	}
	instance := &wire.Instance{Id: p.Name + "-" + s.Rand.Hex(3), Service: p.Service, Address: p.Upstream, Zone: p.Zone, Capacity: openSlots}
	door, err := httpserver.Serve(s, p.Upstream, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(rand.N(openSlow))
		w.Header().Set(forwarding.DefaultHeaderNames.RequestID, r.Header.Get(forwarding.DefaultHeaderNames.RequestID))
		w.Header().Set(forwarding.DefaultHeaderNames.Seal, "whole")
		_, _ = fmt.Fprintln(w, instance.Id)
	}))
	if err != nil {
		return err
	}
	defer door.Close()
	go base.Tick(s, openBeat, func(base.Scope) { _ = n.Heartbeat(instance) })
	base.HandleSignals(n.Stop, func() {})
	return nil
}
