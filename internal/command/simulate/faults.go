package simulate

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

// faultScenario injects faults into a running fleet and returns once the machines are back.
type faultScenario func(f *fleet, s base.Scope) error

// faultScenarios are the choices of --trouble.
var faultScenarios = map[string]faultScenario{
	"none":        func(*fleet, base.Scope) error { return nil },
	"everything":  (*fleet).restartEverything,
	"core":        (*fleet).restartCore,
	"roll":        (*fleet).rollingRestart,
	"one":         (*fleet).restartOneNode,
	"frozen-core": (*fleet).suspendCore,
	"frozen-node": (*fleet).suspendNodes,
	"upstreams":   (*fleet).restartInstances,
	"faulty":      (*fleet).breakInstances,
	"leaving":     (*fleet).drainInstances,
	"passed":      (*fleet).reassignInstances,
	"race":        (*fleet).raceChanges,
	"zone":        (*fleet).restartZone,
	"mid-roll":    (*fleet).restartDuringRollOut,
}

// faultScenarioNames returns the choices of --trouble, sorted.
func faultScenarioNames() string {
	var names []string
	for name := range faultScenarios {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// machines returns all machines, the core first.
func (f *fleet) machines() []*machine {
	return append(append([]*machine{}, f.controllers...), f.nodes...)
}

// kill kills a machine's process and waits for it.
func (f *fleet) kill(m *machine) {
	_ = m.command.Process.Kill()
	_ = m.command.Wait()
}

// restart starts a machine's process anew with the settings it had.
func (f *fleet) restart(m *machine) error {
	subcommand := nodeCommand
	if m.Core {
		subcommand = coreCommand
	}
	var err error
	m.command, err = f.startProcess(m.Name, f.program(m.Name), subcommand, "--params", filepath.Join(f.args.Folder, m.Name+".json"))
	return err
}

// restartEverything kills all machines, deletes the disk of one core machine, and starts all again
// after a second.
func (f *fleet) restartEverything(s base.Scope) error {
	for _, m := range f.machines() {
		f.kill(m)
	}
	if err := os.RemoveAll(f.folder(f.controllers[2].Name)); err != nil {
		return err
	}
	base.Await(s, time.Second)
	for _, m := range f.machines() {
		if err := f.restart(m); err != nil {
			return err
		}
	}
	return nil
}

// restartCore kills the core machines and starts them again after 4 s.
func (f *fleet) restartCore(s base.Scope) error {
	for _, m := range f.controllers {
		f.kill(m)
	}
	base.Await(s, 4*time.Second)
	for _, m := range f.controllers {
		if err := f.restart(m); err != nil {
			return err
		}
	}
	return nil
}

// suspendCore suspends two core machines for 4 s.
func (f *fleet) suspendCore(s base.Scope) error {
	for _, m := range f.controllers[:2] {
		if err := m.command.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	base.Await(s, 4*time.Second)
	for _, m := range f.controllers[:2] {
		if err := m.command.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	return nil
}

// restartOneNode kills an application machine and starts it again at once.
func (f *fleet) restartOneNode(base.Scope) error {
	f.kill(f.nodes[0])
	return f.restart(f.nodes[0])
}

// rollingRestart stops each machine in turn, starts it with the current version, and waits until it
// is ready. It fails if a machine doesn't stop within its grace period.
func (f *fleet) rollingRestart(s base.Scope) error {
	for _, m := range f.machines() {
		end := f.history.RecordDisturbance(m.Name, "stop", true)
		if err := m.command.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		done := make(chan error, 1)
		go func() { done <- m.command.Wait() }()
		select {
		case <-done:
		case <-time.After(f.stopGrace()):
			f.kill(m)
			return errors.Errorf("%s did not stop within its grace period", m.Name)
		}
		end()
		f.runsOld[m.Name] = false
		if err := f.restart(m); err != nil {
			return err
		}
		port := opsPort
		if m.Core {
			port = operatorsPort
		}
		if err := f.waitUntil(s, m.Name+" ready", func() bool {
			_, ready := f.ready(m, port)
			return ready
		}); err != nil {
			return err
		}
	}
	return nil
}

// stopGrace returns the time within which a machine must stop after SIGTERM.
func (f *fleet) stopGrace() time.Duration { return 6 * time.Second }

// suspendNodes suspends two application machines in turn for about 3 s. While each is suspended,
// a change is rolled out.
func (f *fleet) suspendNodes(s base.Scope) error {
	for _, m := range f.nodes[:2] {
		if err := m.command.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		base.Await(s, 300*time.Millisecond)
		if _, err := f.applyChange(s, "while frozen "+m.Name, f.newestSerial()); err != nil {
			return err
		}
		base.Await(s, 2500*time.Millisecond)
		if err := m.command.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		base.Await(s, time.Second)
	}
	return nil
}

// newestSerial returns the newest serial that was acknowledged.
func (f *fleet) newestSerial() (serial uint64) {
	for _, ack := range f.history.Acks() {
		if ack.Verdict == wire.Verdict_TAKEN {
			serial = max(serial, ack.Serial)
		}
	}
	return serial
}

// killInstance kills a stand-in upstream and waits for it.
func (f *fleet) killInstance(each *instance) {
	_ = each.command.Process.Kill()
	_ = each.command.Wait()
}

// restartInstances kills and restarts the stand-in upstreams one after the other.
func (f *fleet) restartInstances(s base.Scope) error {
	for _, each := range f.instances {
		f.killInstance(each)
		base.Await(s, 200*time.Millisecond)
		if err := f.startInstance(each); err != nil {
			return err
		}
		base.Await(s, 600*time.Millisecond)
	}
	return nil
}

// put sends a PUT request to a stand-in upstream.
func (f *fleet) put(each *instance, path string) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+each.address+path, nil)
	if err != nil {
		return err
	}
	response, err := f.httpClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// breakInstances makes stand-in upstreams fail in one way after the other, and replaces each
// after 1.5 s.
func (f *fleet) breakInstances(s base.Scope) error {
	for i, fault := range []standin.Fault{standin.CloseUnanswered, standin.Hang, standin.Corrupt, standin.Truncate, standin.InvalidHTTP} {
		each := f.instances[i%len(f.instances)]
		if err := f.put(each, "/mime/fault/"+string(fault)); err != nil {
			return err
		}
		base.Await(s, 1500*time.Millisecond)
		f.killInstance(each)
		if err := f.startInstance(each); err != nil {
			return err
		}
	}
	return nil
}

// drainInstances makes three stand-in upstreams announce that they leave, and replaces each
// after 2.5 s.
func (f *fleet) drainInstances(s base.Scope) error {
	for _, each := range f.instances[:3] {
		if err := f.put(each, "/mime/leave"); err != nil {
			return err
		}
		base.Await(s, 2500*time.Millisecond)
		f.killInstance(each)
		if err := f.startInstance(each); err != nil {
			return err
		}
	}
	return nil
}

// reassignInstances replaces two stand-in upstreams by instances of another service at the same
// addresses, so that requests to a reused address are tested.
func (f *fleet) reassignInstances(s base.Scope) error {
	first, last := f.instances[0], f.instances[len(f.instances)-1]
	for _, each := range []*instance{first, f.instances[1]} {
		f.killInstance(each)
		each.Service = last.Service
		if err := f.startInstance(each); err != nil {
			return err
		}
		base.Await(s, 2*time.Second)
	}
	return nil
}

// raceChanges lets two operators submit conflicting changes on the same base at once. In each
// round it also submits an old bundle, then that with a broken signature, then with a part
// missing. None of the three may be accepted.
func (f *fleet) raceChanges(s base.Scope) error {
	for round := range 5 {
		serial := f.newestSerial()
		base.Parallel([]int{0, 1}, func(i int) {
			operator := *f.client
			operator.Controllers = operator.Controllers[i : i+1]
			weight := float64(1 + round + 3*i)
			share := proto.Clone(f.bundle.Common.Shares[0]).(*wire.Share)
			share.Watched = weight
			id := fmt.Sprintf("race-%d-%d", round, i)
			if outcome, err := operator.Apply(s, id, &wire.DraftRequest{Base: serial, Change: &wire.Change{Shares: []*wire.Share{share}}}, f.key); err == nil {
				f.history.RecordOutcome(outcome)
			}
		})
		reply, err := f.client.Bundle(s, 1)
		if err != nil {
			return err
		}
		for i, alter := range []func(){func() {}, func() { reply.Sealed.Signature[0] ^= 1 }, func() { reply.Sealed.Parts = reply.Sealed.Parts[1:] }} {
			alter()
			if outcome, err := f.client.Submit(s, fmt.Sprintf("broken-%d-%d", round, i), reply.Sealed); err == nil {
				f.history.RecordOutcome(outcome)
			}
		}
		base.Await(s, 700*time.Millisecond)
	}
	return nil
}

// restartZone kills all machines of zone a and starts them again after 3 s.
func (f *fleet) restartZone(s base.Scope) error {
	var lost []*machine
	for _, m := range f.machines() {
		if m.Zone == "a" {
			f.kill(m)
			lost = append(lost, m)
		}
	}
	base.Await(s, 3*time.Second)
	for _, m := range lost {
		if err := f.restart(m); err != nil {
			return err
		}
	}
	return nil
}

// restartDuringRollOut kills all machines some milliseconds after a change was submitted, starts
// them again, and waits until the outcome of the change is known.
func (f *fleet) restartDuringRollOut(s base.Scope) error {
	done := make(chan error, 1)
	serial := f.newestSerial()
	go func() {
		_, err := f.applyChange(s, "midway", serial)
		done <- err
	}()
	base.Await(s, time.Duration(3+s.Rand.IntN(12))*time.Millisecond)
	if err := f.restartEverything(s); err != nil {
		return err
	}
	<-done
	if err := f.waitUntil(s, "controllers back", func() bool { return f.allReady(f.controllers, operatorsPort) }); err != nil {
		return err
	}
	return f.waitUntil(s, "the outcome of the interrupted change", func() bool {
		outcome, err := f.client.Status(s, "midway")
		if err != nil || outcome.Verdict == wire.Verdict_UNKNOWN {
			return false
		}
		f.history.RecordOutcome(outcome)
		return true
	})
}
