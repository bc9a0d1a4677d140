package base

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"curlewreach/internal/random"
	"curlewreach/internal/storage"
)

// Version is the release that all programs print for --version.
const Version = "0.1.0"

// journalCapacity is the number of events kept in memory. They take a few MB and
// cover some minutes of a busy process.
const journalCapacity = 20000

// NewScope returns the scope of a production process: the operating system's
// clock, network and random source, storage in the folder (none if it is empty),
// a log of JSON lines at the given level on standard error, and a journal whose
// events are logged at debug level.
func NewScope(program, node, folder, level string) (Scope, error) {
	disk := storage.None()
	if folder != "" {
		var err error
		if disk, err = storage.Open(folder); err != nil {
			return Scope{}, err
		}
	}
	log := hclog.New(&hclog.LoggerOptions{Name: program, Level: hclog.LevelFromString(level), Output: os.Stderr, JSONFormat: true}).With("node", node)
	return Scope{
		Context: context.Background(), Node: node, Clock: RealClock(), Net: RealNet(), Disk: disk, Rand: random.New(), Log: log,
		Journal: NewJournal(journalCapacity, logSink{log}),
	}, nil
}

// logSink logs journal events at debug level.
type logSink struct{ log hclog.Logger }

func (s logSink) Record(event Event) {
	s.log.Debug(event.Topic, "subject", event.Subject, "detail", event.Detail)
}

// HandleSignals calls reload on each SIGHUP. On the first SIGTERM or SIGINT it
// calls stop and returns.
func HandleSignals(stop func(), reload func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for received := range signals {
		if received != syscall.SIGHUP {
			stop()
			return
		}
		reload()
	}
}
