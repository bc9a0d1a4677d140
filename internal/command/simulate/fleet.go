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
	// The ports that a machine of the fleet listens on.
	clientsPort   = 7002
	upstreamsPort = 7003
	opsPort       = 7004
	operatorsPort = 7005
	instancePort  = 8001
	// startTimeout bounds each wait for the fleet to reach a state.
	startTimeout = 30 * time.Second
)

// machine is a core or application machine with its process.
type machine struct {
	*wire.Machine
	command *exec.Cmd
}

// address returns the machine's address with another port.
func (m *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", netip.MustParseAddrPort(m.Address).Addr(), port)
}

// instance is a stand-in upstream on an application machine. seats.json lists them.
type instance struct {
	Machine  string `json:"machine"`
	Service  string `json:"service"`
	Capacity int    `json:"capacity"`
	address  string
	command  *exec.Cmd
}

// fleet is a fleet of listed machines, each running in a process of its own.
type fleet struct {
	args        args
	bundle      *wire.Bundle
	controllers []*machine
	seeds       []string // addresses of the core machines for other machines
	nodes       []*machine
	instances   []*instance
	requests    []standin.PlannedRequest
	key         ed25519.PrivateKey
	keyFile     string
	client      *listedcore.Client
	httpClient  *http.Client
	runsOld     map[string]bool // whether a machine runs the old version, by name
	history     *judge.History
}

// readJSON decodes a file.
func readJSON(file string, into any) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, into), file)
}

// startFleet starts a fleet and waits until the first bundle is in force and all upstreams are
// known.
func startFleet(s base.Scope, a args) (*fleet, error) {
	f := &fleet{args: a, bundle: &wire.Bundle{}, httpClient: &http.Client{Timeout: 5 * time.Second}, history: judge.NewHistory(s.Clock)}
	if err := f.read(); err != nil {
		return nil, err
	}
	trusted, err := f.makeKey()
	if err != nil {
		return nil, err
	}
	f.splitMachines()
	if err := f.startAll(s, trusted); err != nil {
		f.killAll()
		return nil, err
	}
	return f, nil
}

// read reads the files of the example.
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
	return readJSON(filepath.Join(f.args.Example, "plan.json"), &f.requests)
}

// makeKey generates the key that bundles are signed with and returns the public keys to trust.
func (f *fleet) makeKey() (trusted []string, err error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	f.key, f.keyFile = private, filepath.Join(f.args.Folder, "signer.key")
	seed := base64.StdEncoding.EncodeToString(private.Seed())
	return []string{base64.StdEncoding.EncodeToString(public)}, os.WriteFile(f.keyFile, []byte(seed), 0o600)
}

// splitMachines sorts the bundle's machines into core and application machines. If an old
// version is given, every second machine starts with it.
func (f *fleet) splitMachines() {
	f.runsOld = map[string]bool{}
	f.client = &listedcore.Client{HTTPClient: f.httpClient, OnSigned: f.history.RecordSigned}
	for i, each := range f.bundle.Common.Machines {
		f.runsOld[each.Name] = f.args.Old != "" && i%2 == 1
		m := &machine{Machine: each}
		if !each.Core {
			f.nodes = append(f.nodes, m)
			continue
		}
		f.controllers = append(f.controllers, m)
		f.seeds = append(f.seeds, each.Address)
		f.client.Controllers = append(f.client.Controllers, m.address(operatorsPort))
	}
}

// startMachines starts the processes of the core and application machines.
func (f *fleet) startMachines(trusted []string) (err error) {
	for _, each := range f.controllers {
		if each.command, err = f.startMachine(coreCommand, each.Name, f.controllerParams(each, trusted)); err != nil {
			return err
		}
	}
	for _, each := range f.nodes {
		if each.command, err = f.startMachine(nodeCommand, each.Name, f.nodeParams(each, trusted)); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts all processes and puts the first bundle in force.
func (f *fleet) startAll(s base.Scope, trusted []string) error {
	if err := f.startMachines(trusted); err != nil {
		return err
	}
	if err := f.waitUntil(s, "controllers ready", func() bool { return f.allReady(f.controllers, operatorsPort) }); err != nil {
		return err
	}
	for _, each := range f.instances {
		if err := f.startInstance(each); err != nil {
			return err
		}
	}
	outcome, err := f.client.Apply(s, "first", &wire.DraftRequest{Bundle: f.bundle}, f.key)
	if err != nil {
		return err
	}
	f.history.RecordOutcome(outcome)
	if outcome.Verdict != wire.Verdict_TAKEN {
		return errors.Errorf("the first bundle was not accepted: %s", outcome)
	}
	if err := f.waitUntil(s, "nodes ready", func() bool { return f.allReady(f.nodes, opsPort) }); err != nil {
		return err
	}
	return f.waitUntil(s, "upstreams known", func() bool {
		reply, err := f.client.Nodes(s)
		count := 0
		for _, sighting := range reply.GetSightings() {
			count += len(sighting.Roster.Seats)
		}
		return err == nil && count == len(f.instances)
	})
}

// controllerParams returns the settings of a core machine.
func (f *fleet) controllerParams(each *machine, trusted []string) *wire.KeelParams {
	return &wire.KeelParams{
		Name: each.Name, Zone: each.Zone, Mates: each.Address, Operators: each.address(operatorsPort), Seeds: f.seeds,
		Folder: f.folder(each.Name), Trusted: trusted, Log: f.args.Log,
	}
}

// nodeParams returns the settings of an application machine.
func (f *fleet) nodeParams(each *machine, trusted []string) *wire.VaneParams {
	return &wire.VaneParams{
		Name: each.Name, Zone: each.Zone, Mates: each.Address, Visitors: each.address(clientsPort), Upstreams: each.address(upstreamsPort),
		Ops: each.address(opsPort), Seeds: f.seeds, Folder: f.folder(each.Name), Trusted: trusted, Log: f.args.Log,
	}
}

// operators returns the addresses for 'curlew ctl --controllers'.
func (f *fleet) operators() string { return strings.Join(f.client.Controllers, ",") }

// folder returns the data folder of a machine.
func (f *fleet) folder(name string) string { return filepath.Join(f.args.Folder, name) }

// The subcommands of curlew that the machines run.
const (
	coreCommand = "core"
	nodeCommand = "node"
)

// startMachine writes a machine's settings to a file and starts its process.
func (f *fleet) startMachine(command, name string, params proto.Message) (*exec.Cmd, error) {
	body, err := protojson.MarshalOptions{Multiline: true}.Marshal(params)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(f.args.Folder, name+".json")
	if err := os.WriteFile(file, body, 0o644); err != nil {
		return nil, err
	}
	return f.startProcess(name, f.program(name), command, "--params", file)
}

// program returns the path of the program that a machine runs.
func (f *fleet) program(name string) string {
	if f.runsOld[name] {
		return filepath.Join(f.args.Old, programFile)
	}
	return filepath.Join(f.args.Bin, programFile)
}

// startProcess starts a process that logs to the file of the name given. The kernel kills it when
// this process ends.
func (f *fleet) startProcess(name, program string, arguments ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(f.args.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	child := exec.Command(program, arguments...)
	child.Stdout, child.Stderr = log, log
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return child, errors.Wrap(child.Start(), program)
}

// startInstance starts a stand-in upstream on its machine.
func (f *fleet) startInstance(each *instance) error {
	var host *machine
	for _, candidate := range f.nodes {
		if candidate.Name == each.Machine {
			host = candidate
		}
	}
	if host == nil {
		return errors.Errorf("seats.json names an unknown machine %q", each.Machine)
	}
	each.address = host.address(instancePort)
	var err error
	each.command, err = f.startProcess(each.Machine+"-upstream", filepath.Join(f.args.Bin, programFile), "standin", "upstream", "--service", each.Service, "--address", each.address,
		"--reports", host.address(upstreamsPort), "--zone", host.Zone, "--capacity", fmt.Sprint(each.Capacity), "--habits", filepath.Join(f.args.Example, "habits.json"), "--runs", f.runsFile(each))
	return err
}

// runsFile returns the file in which an instance records the requests that it ran.
func (f *fleet) runsFile(each *instance) string {
	return filepath.Join(f.args.Folder, each.Machine+"-runs")
}

// killAll kills all processes and waits for them.
func (f *fleet) killAll() {
	for _, each := range f.processes() {
		_ = each.Process.Kill()
		_ = each.Wait()
	}
}

// processes returns the processes that were started.
func (f *fleet) processes() []*exec.Cmd {
	var all []*exec.Cmd
	for _, each := range f.instances {
		all = append(all, each.command)
	}
	for _, each := range append(append([]*machine{}, f.nodes...), f.controllers...) {
		all = append(all, each.command)
	}
	started := all[:0]
	for _, each := range all {
		if each != nil && each.Process != nil {
			started = append(started, each)
		}
	}
	return started
}

// ready asks a machine for its serial and whether it is ready. Replies of nodes are recorded in
// the history.
func (f *fleet) ready(m *machine, port int) (serial uint64, ready bool) {
	response, err := f.httpClient.Get("http://" + m.address(port) + "/ready")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	var status struct {
		Serial uint64
		Digest string
	}
	_ = json.NewDecoder(response.Body).Decode(&status)
	at := f.history.Now()
	if port == opsPort {
		f.history.RecordSample(judge.Sample{At: at, Node: m.Name, Serial: status.Serial, Digest: status.Digest, Ready: response.StatusCode == http.StatusOK})
	}
	return status.Serial, response.StatusCode == http.StatusOK
}

// allReady reports whether all machines are ready.
func (f *fleet) allReady(machines []*machine, port int) bool {
	for _, each := range machines {
		if _, ready := f.ready(each, port); !ready {
			return false
		}
	}
	return true
}

// waitUntil polls until reached returns true. It fails after startTimeout; what names the state in
// the error.
func (f *fleet) waitUntil(s base.Scope, what string, reached func() bool) error {
	bounded, cancel := s.WithTimeout(startTimeout)
	defer cancel()
	for !reached() {
		if base.Await(bounded, 20*time.Millisecond); bounded.Err() != nil {
			return errors.Errorf("timed out waiting for: %s", what)
		}
	}
	return nil
}

// applyChange signs and submits the example's change on top of a serial.
func (f *fleet) applyChange(ctx context.Context, submission string, serial uint64) (*wire.Outcome, error) {
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
