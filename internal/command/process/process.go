// Package process runs a command's process until it is told to stop: it reads the settings, starts, and reads them anew at a
// signal.
package process

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
)

// Settings are what every process's settings hold.
type Settings interface {
	proto.Message
	GetName() string
	GetFolder() string
	GetLog() string
}

// Process is a process with settings of type S.
type Process[S Settings] interface {
	Stop()
	Reload(settings S) error
}

// Override sets each setting to the flag beside it, unless that is empty.
func Override(settings map[*string]string) {
	for at, flag := range settings {
		if flag != "" {
			*at = flag
		}
	}
}

// OverrideList sets a list of settings to the flags, unless there are none.
func OverrideList(at *[]string, flags []string) {
	if len(flags) > 0 {
		*at = flags
	}
}

// Run runs a process. It ends the program if the settings have faults (exit code 2) or the process can't start (1).
func Run[S Settings, P Process[S]](program string, load func() (S, error), start func(base.Scope, S) (P, error)) {
	settings, err := load()
	if err != nil {
		base.ExitWithParamErrors(program, err)
	}
	s, err := base.NewScope(program, settings.GetName(), settings.GetFolder(), settings.GetLog())
	if err != nil {
		base.ExitWithParamErrors(program, err)
	}
	process, err := start(s, settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(1)
	}
	base.HandleSignals(process.Stop, func() { reload(s, process, load) })
}

// reload reads the settings anew; if they have faults, the old ones stay.
func reload[S Settings, P Process[S]](s base.Scope, process P, load func() (S, error)) {
	settings, err := load()
	if err == nil {
		err = process.Reload(settings)
	}
	if err != nil {
		s.Log.Error("reload rejected; the old settings stay", "faults", base.ErrorLines(err))
		return
	}
	s.Log.Info("reloaded")
}
