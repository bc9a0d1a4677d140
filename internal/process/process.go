// Package process runs a program as a long-lived process of a fleet: it loads the settings, starts the program, reloads
// the settings, and stops it in order. A process ends for a signal only. Whatever keeps it from starting is logged and
// waited for, and each end says in the log why it came.
package process

import (
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
)

// Settings is implemented by the settings of every process.
type Settings interface {
	proto.Message
	GetName() string
	GetLog() string
}

// Process is a running program with settings of type S. Reload applies new settings. Stop ends the program in order and
// Kill at once; both return once it has ended. Reload may be called meanwhile.
type Process[S Settings] interface {
	Stop()
	Kill()
	Reload(settings S) error
}

// Program describes how a process is loaded and started.
type Program[S Settings, P Process[S]] struct {
	// Name is the program's name in the log.
	Name string
	// Load reads and checks the settings. It is called again until it succeeds, and at each reload.
	Load func() (S, error)
	// Changed reports whether the settings have changed since the last Load. It is asked every watchInterval; if it is
	// nil, settings are reloaded by a signal only.
	Changed func() bool
	// Start starts the program and returns once it serves. It gives up, with any error, when the scope ends.
	Start func(base.Scope, S) (P, error)
}

// Override sets each setting to its flag, unless the flag is empty.
func Override(settings map[*string]string) {
	for setting, flag := range settings {
		if flag != "" {
			*setting = flag
		}
	}
}

// OverrideList sets a list setting to the flags, unless there are none.
func OverrideList(list *[]string, flags []string) {
	if len(flags) > 0 {
		*list = flags
	}
}

const (
	// watchInterval is the interval at which a process looks for changed settings.
	watchInterval = 2 * time.Second
	// stopDeadlineRatio, times the grace period in the settings, is when a stop that has not ended is given up: shortly
	// before the process would be killed without a word.
	stopDeadlineRatio = 0.95
	// abandonedStartPause is the pause before a start that was given up begins anew.
	abandonedStartPause = 50 * time.Millisecond
	// abandonedStartTimeout is how long a stop waits for a start that it has interrupted.
	abandonedStartTimeout = time.Second
	// logFlushTimeout is how long the end of a process waits until its last log lines are written.
	logFlushTimeout = 200 * time.Millisecond
)

// Exit statuses of a process.
const (
	// ExitStopped is the status after a stop in order.
	ExitStopped = 0
	// ExitStopGivenUp is the status after a stop that did not end within the grace period.
	ExitStopGivenUp = 1
)
