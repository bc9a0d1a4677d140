package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"curlewreach/base"
)

type trouble func(f *fleet, s base.Scope) error

var troubles = map[string]trouble{
	"none":        func(*fleet, base.Scope) error { return nil },
	"everything":  (*fleet).everything,
	"core":        (*fleet).coreDown,
	"roll":        (*fleet).roll,
	"one":         (*fleet).one,
	"frozen-core": (*fleet).frozenCore,
}

func troubleNames() string {
	var names []string
	for name := range troubles {
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

func (f *fleet) all() []*machine { return append(append([]*machine{}, f.keels...), f.vanes...) }

func (f *fleet) kill(m *machine) {
	_ = m.process.Process.Kill()
	_ = m.process.Wait()
}

func (f *fleet) again(m *machine) error {
	program := "vane"
	if m.Core {
		program = "keel"
	}
	var err error
	m.process, err = f.spawn(m.Name, program, "--params", filepath.Join(f.args.Folder, m.Name+".json"))
	return err
}

func (f *fleet) everything(s base.Scope) error {
	for _, m := range f.all() {
		f.kill(m)
	}
	if err := os.RemoveAll(f.folder(f.keels[2].Name)); err != nil {
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
	for _, m := range f.keels {
		f.kill(m)
	}
	base.Await(s, 4*time.Second)
	for _, m := range f.keels {
		if err := f.again(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) frozenCore(s base.Scope) error {
	for _, m := range f.keels[:2] {
		if err := m.process.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	base.Await(s, 4*time.Second)
	for _, m := range f.keels[:2] {
		if err := m.process.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) one(base.Scope) error {
	f.kill(f.vanes[0])
	return f.again(f.vanes[0])
}

func (f *fleet) roll(s base.Scope) error {
	for _, m := range f.all() {
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
