package simulate

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/listedcore"
	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

const (
	clientsPort   = 7002
	upstreamsPort = 7003
	opsPort       = 7004
	operatorsPort = 7005
	instancePort  = 8001
	raising       = 30 * time.Second
)

type machine struct {
	*wire.Machine
	process *exec.Cmd
}

func (m *machine) at(port int) string {
	return fmt.Sprintf("%s:%d", netip.MustParseAddrPort(m.Address).Addr(), port)
}

type instance struct {
	Machine  string `json:"machine"`
	Service  string `json:"service"`
	Capacity int    `json:"capacity"`
	address  string
	process  *exec.Cmd
}

type fleet struct {
	args        args
	bundle      *wire.Bundle
	controllers []*machine
	seeds       []string
	nodes       []*machine
	instances   []*instance
	plan        []standin.PlannedRequest
	key         ed25519.PrivateKey
	keyFile     string
	client      *listedcore.Client
	web         *http.Client
	old         map[string]bool
	history     *judge.History
}

func readJSON(file string, into any) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, into), file)
}

// startFleet starts a fleet with the first bundle in force and all upstreams known.
func startFleet(s base.Scope, a args) (*fleet, error) {
	f := &fleet{args: a, bundle: &wire.Bundle{}, web: &http.Client{Timeout: 5 * time.Second}, history: judge.NewHistory(s.Clock)}
	if err := f.read(); err != nil {
		return nil, err
	}
	trusted, err := f.makeKey()
	if err != nil {
		return nil, err
	}
	f.list()
	if err := f.startAll(s, trusted); err != nil {
		f.end()
		return nil, err
	}
	return f, nil
}

// read reads the example's files.
func (f *fleet) read() error {
	body, err := os.ReadFile(filepath.Join(f.args.Example, "bundle.json"))
	if err != nil {
		return err
	}
	if err := protojson.Unmarshal(body, f.bundle); err != nil {
		return err
	}
	if err := readJSON(filepath.Join(f.args.Example, "seats.json"), &f.instances); err != nil {
		return err
	}
	return readJSON(filepath.Join(f.args.Example, "plan.json"), &f.plan)
}

// makeKey makes the key that bundles are signed with and returns the keys to
// trust.
func (f *fleet) makeKey() (trusted []string, err error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	f.key, f.keyFile = private, filepath.Join(f.args.Folder, "signer.key")
	seed := base64.StdEncoding.EncodeToString(private.Seed())
	return []string{base64.StdEncoding.EncodeToString(public)}, os.WriteFile(f.keyFile, []byte(seed), 0o600)
}

// list sorts the bundle's machines into core and application machines. With an
// old version given, every second one starts with it.
func (f *fleet) list() {
	f.old = map[string]bool{}
	f.client = &listedcore.Client{HTTPClient: f.web, OnSigned: f.history.RecordSigned}
	for i, each := range f.bundle.Common.Machines {
		f.old[each.Name] = f.args.Old != "" && i%2 == 1
		at := &machine{Machine: each}
		if !each.Core {
			f.nodes = append(f.nodes, at)
			continue
		}
		f.controllers = append(f.controllers, at)
		f.seeds = append(f.seeds, each.Address)
		f.client.Controllers = append(f.client.Controllers, at.at(operatorsPort))
	}
}

// startMachines starts the core and the application machines' processes.
func (f *fleet) startMachines(trusted []string) (err error) {
	for _, each := range f.controllers {
		if each.process, err = f.start(coreCommand, each.Name, f.controllerParams(each, trusted)); err != nil {
			return err
		}
	}
	for _, each := range f.nodes {
		if each.process, err = f.start(nodeCommand, each.Name, f.nodeParams(each, trusted)); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts all processes, with the first bundle in force.
func (f *fleet) startAll(s base.Scope, trusted []string) error {
	if err := f.startMachines(trusted); err != nil {
		return err
	}
	if err := f.until(s, "controllers ready", func() bool { return f.allReady(f.controllers, operatorsPort) }); err != nil {
		return err
	}
	for _, each := range f.instances {
		if err := f.seat(each); err != nil {
			return err
		}
	}
	outcome, err := f.client.Apply(s, "first", &wire.DraftRequest{Bundle: f.bundle}, f.key)
	if err != nil {
		return err
	}
	f.history.RecordOutcome(outcome)
	if outcome.Verdict != wire.Verdict_TAKEN {
		return errors.Errorf("the first bundle was not taken: %s", outcome)
	}
	if err := f.until(s, "nodes ready", func() bool { return f.allReady(f.nodes, opsPort) }); err != nil {
		return err
	}
	return f.until(s, "upstreams known", func() bool {
		reply, err := f.client.Nodes(s)
		count := 0
		for _, sighting := range reply.GetSightings() {
			count += len(sighting.Roster.Seats)
		}
		return err == nil && count == len(f.instances)
	})
}

func (f *fleet) controllerParams(each *machine, trusted []string) *wire.KeelParams {
	return &wire.KeelParams{
		Name: each.Name, Zone: each.Zone, Mates: each.Address, Operators: each.at(operatorsPort), Seeds: f.seeds,
		Folder: f.folder(each.Name), Trusted: trusted, Log: f.args.Log,
	}
}

func (f *fleet) nodeParams(each *machine, trusted []string) *wire.VaneParams {
	return &wire.VaneParams{
		Name: each.Name, Zone: each.Zone, Mates: each.Address, Visitors: each.at(clientsPort), Upstreams: each.at(upstreamsPort),
		Ops: each.at(opsPort), Seeds: f.seeds, Folder: f.folder(each.Name), Trusted: trusted, Log: f.args.Log,
	}
}

func (f *fleet) operators() string { return strings.Join(f.client.Controllers, ",") }

func (f *fleet) folder(name string) string { return filepath.Join(f.args.Folder, name) }

// Commands of curlew that the machines run.
const (
	coreCommand = "core"
	nodeCommand = "node"
)

// start starts a machine's process.
func (f *fleet) start(command, name string, params proto.Message) (*exec.Cmd, error) {
	body, err := protojson.MarshalOptions{Multiline: true}.Marshal(params)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(f.args.Folder, name+".json")
	if err := os.WriteFile(file, body, 0o644); err != nil {
		return nil, err
	}
	return f.spawn(name, f.version(name), command, "--params", file)
}

// version returns the program that a machine runs.
func (f *fleet) version(name string) string {
	if f.old[name] {
		return filepath.Join(f.args.Old, curlew)
	}
	return filepath.Join(f.args.Bin, curlew)
}

func (f *fleet) spawn(name, program string, rest ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(f.args.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	process := exec.Command(program, rest...)
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return process, errors.Wrap(process.Start(), program)
}

func (f *fleet) seat(each *instance) error {
	var home *machine
	for _, at := range f.nodes {
		if at.Name == each.Machine {
			home = at
		}
	}
	if home == nil {
		return errors.Errorf("seats: no machine %q", each.Machine)
	}
	each.address = home.at(instancePort)
	var err error
	each.process, err = f.spawn(each.Machine+"-upstream", filepath.Join(f.args.Bin, curlew), "standin", "upstream", "--service", each.Service, "--address", each.address,
		"--reports", home.at(upstreamsPort), "--zone", home.Zone, "--capacity", fmt.Sprint(each.Capacity), "--habits", filepath.Join(f.args.Example, "habits.json"), "--runs", f.runsOf(each))
	return err
}

func (f *fleet) runsOf(each *instance) string {
	return filepath.Join(f.args.Folder, each.Machine+"-runs")
}

func (f *fleet) end() {
	for _, each := range f.processes() {
		_ = each.Process.Kill()
		_ = each.Wait()
	}
}

func (f *fleet) processes() []*exec.Cmd {
	var all []*exec.Cmd
	for _, each := range f.instances {
		all = append(all, each.process)
	}
	for _, each := range append(append([]*machine{}, f.nodes...), f.controllers...) {
		all = append(all, each.process)
	}
	started := all[:0]
	for _, each := range all {
		if each != nil && each.Process != nil {
			started = append(started, each)
		}
	}
	return started
}

func (f *fleet) ready(m *machine, port int) (serial uint64, ready bool) {
	response, err := f.web.Get("http://" + m.at(port) + "/ready")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	var said struct {
		Serial uint64
		Digest string
	}
	_ = json.NewDecoder(response.Body).Decode(&said)
	at := f.history.Now()
	if port == opsPort {
		f.history.RecordSample(judge.Sample{At: at, Node: m.Name, Serial: said.Serial, Digest: said.Digest, Ready: response.StatusCode == http.StatusOK})
	}
	return said.Serial, response.StatusCode == http.StatusOK
}

func (f *fleet) allReady(machines []*machine, port int) bool {
	for _, each := range machines {
		if _, ready := f.ready(each, port); !ready {
			return false
		}
	}
	return true
}

func (f *fleet) until(s base.Scope, what string, reached func() bool) error {
	bounded, cancel := s.WithTimeout(raising)
	defer cancel()
	for !reached() {
		if base.Await(bounded, 20*time.Millisecond); bounded.Err() != nil {
			return errors.Errorf("gave up waiting: %s", what)
		}
	}
	return nil
}

func (f *fleet) change(ctx context.Context, submission string, serial uint64) (*wire.Outcome, error) {
	change := &wire.Change{}
	body, err := os.ReadFile(filepath.Join(f.args.Example, "change.json"))
	if err != nil {
		return nil, err
	}
	if err := protojson.Unmarshal(body, change); err != nil {
		return nil, err
	}
	outcome, err := f.client.Apply(ctx, submission, &wire.DraftRequest{Base: serial, Change: change}, f.key)
	if err == nil {
		f.history.RecordOutcome(outcome)
	}
	return outcome, err
}
