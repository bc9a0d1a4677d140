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

type faultScenario func(f *fleet, s base.Scope) error

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

func faultScenarioNames() string {
	var names []string
	for name := range faultScenarios {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine{}, f.controllers...), f.nodes...)
}

func (f *fleet) kill(m *machine) {
	_ = m.command.Process.Kill()
	_ = m.command.Wait()
}

func (f *fleet) restart(m *machine) error {
	command := nodeCommand
	if m.Core {
		command = coreCommand
	}
	var err error
	m.command, err = f.startProcess(m.Name, f.program(m.Name), command, "--params", filepath.Join(f.args.Folder, m.Name+".json"))
	return err
}

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

func (f *fleet) restartOneNode(base.Scope) error {
	f.kill(f.nodes[0])
	return f.restart(f.nodes[0])
}

func (f *fleet) rollingRestart(s base.Scope) error {
	for _, m := range f.machines() {
		end := f.history.Spell(m.Name, "stop", true)
		if err := m.command.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		done := make(chan error, 1)
		go func() { done <- m.command.Wait() }()
		select {
		case <-done:
		case <-time.After(f.stopGrace()):
			f.kill(m)
			return errors.Errorf("%s did not stop within its grace", m.Name)
		}
		end()
		f.startsOld[m.Name] = false
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

func (f *fleet) stopGrace() time.Duration { return 6 * time.Second }

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

func (f *fleet) newestSerial() (serial uint64) {
	for _, ack := range f.history.Acks() {
		if ack.Verdict == wire.Verdict_TAKEN {
			serial = max(serial, ack.Serial)
		}
	}
	return serial
}

func (f *fleet) killInstance(each *instance) {
	_ = each.command.Process.Kill()
	_ = each.command.Wait()
}

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

func (f *fleet) breakInstances(s base.Scope) error {
	for i, fault := range []standin.Fault{standin.LoseAfter, standin.Stuck, standin.Garble, standin.Truncate, standin.Nonsense} {
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

func (f *fleet) raceChanges(s base.Scope) error {
	for round := range 5 {
		serial := f.newestSerial()
		base.Parallel([]int{0, 1}, func(i int) {
			clerk := *f.client
			clerk.Controllers = clerk.Controllers[i : i+1]
			weight := float64(1 + round + 3*i)
			share := proto.Clone(f.bundle.Common.Shares[0]).(*wire.Share)
			share.Watched = weight
			id := fmt.Sprintf("race-%d-%d", round, i)
			if outcome, err := clerk.Apply(s, id, &wire.DraftRequest{Base: serial, Change: &wire.Change{Shares: []*wire.Share{share}}}, f.key); err == nil {
				f.history.Acked(outcome)
			}
		})
		shown, err := f.client.Show(s, 1)
		if err != nil {
			return err
		}
		for i, spoil := range []func(){func() {}, func() { shown.Sealed.Signature[0] ^= 1 }, func() { shown.Sealed.Parts = shown.Sealed.Parts[1:] }} {
			spoil()
			if outcome, err := f.client.Sign(s, fmt.Sprintf("broken-%d-%d", round, i), shown.Sealed); err == nil {
				f.history.Acked(outcome)
			}
		}
		base.Await(s, 700*time.Millisecond)
	}
	return nil
}

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
	return f.waitUntil(s, "the outcome of the one midway", func() bool {
		outcome, err := f.client.Status(s, "midway")
		if err != nil || outcome.Verdict == wire.Verdict_UNKNOWN {
			return false
		}
		f.history.Acked(outcome)
		return true
	})
}
