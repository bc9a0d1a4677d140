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

type trouble func(f *fleet, s base.Scope) error

var troubles = map[string]trouble{
	"none":        func(*fleet, base.Scope) error { return nil },
	"everything":  (*fleet).everything,
	"core":        (*fleet).coreDown,
	"roll":        (*fleet).roll,
	"one":         (*fleet).one,
	"frozen-core": (*fleet).frozenCore,
	"frozen-node": (*fleet).frozenNode,
	"upstreams":   (*fleet).upstreams,
	"faulty":      (*fleet).faulty,
	"leaving":     (*fleet).leaving,
	"passed":      (*fleet).passed,
	"race":        (*fleet).race,
	"zone":        (*fleet).zone,
	"mid-roll":    (*fleet).midRoll,
}

func troubleNames() string {
	var names []string
	for name := range troubles {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func (f *fleet) all() []*machine { return append(append([]*machine{}, f.controllers...), f.nodes...) }

func (f *fleet) kill(m *machine) {
	_ = m.process.Process.Kill()
	_ = m.process.Wait()
}

func (f *fleet) again(m *machine) error {
	command := nodeCommand
	if m.Core {
		command = coreCommand
	}
	var err error
	m.process, err = f.spawn(m.Name, f.version(m.Name), command, "--params", filepath.Join(f.args.Folder, m.Name+".json"))
	return err
}

func (f *fleet) everything(s base.Scope) error {
	for _, m := range f.all() {
		f.kill(m)
	}
	if err := os.RemoveAll(f.folder(f.controllers[2].Name)); err != nil {
		return err
	}
	base.Await(s, time.Second)
	for _, m := range f.all() {
		if err := f.again(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) coreDown(s base.Scope) error {
	for _, m := range f.controllers {
		f.kill(m)
	}
	base.Await(s, 4*time.Second)
	for _, m := range f.controllers {
		if err := f.again(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) frozenCore(s base.Scope) error {
	for _, m := range f.controllers[:2] {
		if err := m.process.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	base.Await(s, 4*time.Second)
	for _, m := range f.controllers[:2] {
		if err := m.process.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) one(base.Scope) error {
	f.kill(f.nodes[0])
	return f.again(f.nodes[0])
}

func (f *fleet) roll(s base.Scope) error {
	for _, m := range f.all() {
		end := f.history.RecordDisturbance(m.Name, "stop", true)
		if err := m.process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		done := make(chan error, 1)
		go func() { done <- m.process.Wait() }()
		select {
		case <-done:
		case <-time.After(f.grace()):
			f.kill(m)
			return errors.Errorf("%s did not stop within its grace", m.Name)
		}
		end()
		f.old[m.Name] = false
		if err := f.again(m); err != nil {
			return err
		}
		port := opsPort
		if m.Core {
			port = operatorsPort
		}
		if err := f.until(s, m.Name+" ready", func() bool {
			_, ready := f.ready(m, port)
			return ready
		}); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) grace() time.Duration { return 6 * time.Second }

func (f *fleet) frozenNode(s base.Scope) error {
	for _, m := range f.nodes[:2] {
		if err := m.process.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		base.Await(s, 300*time.Millisecond)
		if _, err := f.change(s, "while frozen "+m.Name, f.newest()); err != nil {
			return err
		}
		base.Await(s, 2500*time.Millisecond)
		if err := m.process.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		base.Await(s, time.Second)
	}
	return nil
}

func (f *fleet) newest() (serial uint64) {
	for _, ack := range f.history.Acks() {
		if ack.Verdict == wire.Verdict_TAKEN {
			serial = max(serial, ack.Serial)
		}
	}
	return serial
}

func (f *fleet) killSeat(each *instance) {
	_ = each.process.Process.Kill()
	_ = each.process.Wait()
}

func (f *fleet) upstreams(s base.Scope) error {
	for _, each := range f.instances {
		f.killSeat(each)
		base.Await(s, 200*time.Millisecond)
		if err := f.seat(each); err != nil {
			return err
		}
		base.Await(s, 600*time.Millisecond)
	}
	return nil
}

func (f *fleet) tell(each *instance, path string) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+each.address+path, nil)
	if err != nil {
		return err
	}
	response, err := f.web.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (f *fleet) faulty(s base.Scope) error {
	for i, fault := range []standin.Fault{standin.CloseUnanswered, standin.Hang, standin.Corrupt, standin.Truncate, standin.InvalidHTTP} {
		each := f.instances[i%len(f.instances)]
		if err := f.tell(each, "/mime/fault/"+string(fault)); err != nil {
			return err
		}
		base.Await(s, 1500*time.Millisecond)
		f.killSeat(each)
		if err := f.seat(each); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) leaving(s base.Scope) error {
	for _, each := range f.instances[:3] {
		if err := f.tell(each, "/mime/leave"); err != nil {
			return err
		}
		base.Await(s, 2500*time.Millisecond)
		f.killSeat(each)
		if err := f.seat(each); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) passed(s base.Scope) error {
	first, last := f.instances[0], f.instances[len(f.instances)-1]
	for _, each := range []*instance{first, f.instances[1]} {
		f.killSeat(each)
		each.Service = last.Service
		if err := f.seat(each); err != nil {
			return err
		}
		base.Await(s, 2*time.Second)
	}
	return nil
}

func (f *fleet) race(s base.Scope) error {
	for round := range 5 {
		serial := f.newest()
		base.Parallel([]int{0, 1}, func(i int) {
			clerk := *f.client
			clerk.Controllers = clerk.Controllers[i : i+1]
			weight := float64(1 + round + 3*i)
			share := proto.Clone(f.bundle.Common.Shares[0]).(*wire.Share)
			share.Watched = weight
			id := fmt.Sprintf("race-%d-%d", round, i)
			if outcome, err := clerk.Apply(s, id, &wire.DraftRequest{Base: serial, Change: &wire.Change{Shares: []*wire.Share{share}}}, f.key); err == nil {
				f.history.RecordOutcome(outcome)
			}
		})
		shown, err := f.client.Bundle(s, 1)
		if err != nil {
			return err
		}
		for i, spoil := range []func(){func() {}, func() { shown.Sealed.Signature[0] ^= 1 }, func() { shown.Sealed.Parts = shown.Sealed.Parts[1:] }} {
			spoil()
			if outcome, err := f.client.Submit(s, fmt.Sprintf("broken-%d-%d", round, i), shown.Sealed); err == nil {
				f.history.RecordOutcome(outcome)
			}
		}
		base.Await(s, 700*time.Millisecond)
	}
	return nil
}

func (f *fleet) zone(s base.Scope) error {
	var lost []*machine
	for _, m := range f.all() {
		if m.Zone == "a" {
			f.kill(m)
			lost = append(lost, m)
		}
	}
	base.Await(s, 3*time.Second)
	for _, m := range lost {
		if err := f.again(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) midRoll(s base.Scope) error {
	done := make(chan error, 1)
	serial := f.newest()
	go func() {
		_, err := f.change(s, "midway", serial)
		done <- err
	}()
	base.Await(s, time.Duration(3+s.Rand.IntN(12))*time.Millisecond)
	if err := f.everything(s); err != nil {
		return err
	}
	<-done
	if err := f.until(s, "controllers back", func() bool { return f.allReady(f.controllers, operatorsPort) }); err != nil {
		return err
	}
	return f.until(s, "the outcome of the one midway", func() bool {
		outcome, err := f.client.Status(s, "midway")
		if err != nil || outcome.Verdict == wire.Verdict_UNKNOWN {
			return false
		}
		f.history.RecordOutcome(outcome)
		return true
	})
}
