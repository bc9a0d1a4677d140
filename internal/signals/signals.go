// Package signals receives the signals that stop and reload a process. It subscribes when the package is initialized,
// so that a signal that arrives while the program is still being loaded is delivered later instead of ending it.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// queueLength is how many signals wait until they are received. Further ones of the same kind would change nothing.
const queueLength = 16

var received = subscribe()

// subscribe asks for the signals of the process. SIGPIPE is ignored: a write to a log whose reader is gone then fails
// instead of ending the process.
func subscribe() chan os.Signal {
	signals := make(chan os.Signal, queueLength)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	return signals
}

// Received returns the channel of all signals since the start of the program: SIGHUP, SIGTERM and SIGINT.
func Received() <-chan os.Signal { return received }

// Release gives all signals their default effect, for a command that doesn't run as a process of a fleet. A signal that
// has arrived already takes effect now.
func Release() {
	signal.Reset(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGPIPE)
	select {
	case arrived := <-received:
		if number, ok := arrived.(syscall.Signal); ok {
			_ = syscall.Kill(os.Getpid(), number)
		}
	default:
	}
}
