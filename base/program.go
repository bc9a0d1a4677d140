package base

import (
	"context"
	"io"
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

// NewScope returns the scope of a command that starts parts of a fleet itself: the
// operating system's clock, network and random source, storage in the folder (none if
// it is empty), a log of JSON lines at the given level on standard error, and a journal
// whose events are logged at debug level.
func NewScope(program, node, folder, level string) (Scope, error) {
	return newScope(program, os.Stderr).ForNode(node, level).WithFolder(folder)
}

// NewProcessScope returns the scope of a process that has not loaded its settings yet,
// without storage, and the writer of its log.
func NewProcessScope(program string) (Scope, *LogWriter) {
	writer := NewLogWriter(os.Stderr)
	s := newScope(program, writer)
	s.DroppedLogLines = writer.Dropped
	return s, writer
}

// newScope returns a scope without storage that logs to a writer.
func newScope(program string, out io.Writer) Scope {
	log := hclog.New(&hclog.LoggerOptions{Name: program, Level: hclog.Info, Output: out, JSONFormat: true})
	return Scope{
		Context: context.Background(), Clock: RealClock(), Net: RealNet(), Disk: storage.None(), Rand: random.New(), Log: log,
		Journal: NewJournal(journalCapacity, logSink{log}),
	}
}

// ForNode returns a copy of the scope for a node, whose name stands in each line of the
// log from the given level on.
func (s Scope) ForNode(node, level string) Scope {
	s.Log.SetLevel(hclog.LevelFromString(level))
	s.Node, s.Log = node, s.Log.With("node", node)
	s.Journal = NewJournal(journalCapacity, logSink{s.Log})
	return s
}

// WithFolder returns a copy of the scope with storage in the folder, which is created if
// it is missing; without storage if no folder is given.
func (s Scope) WithFolder(folder string) (Scope, error) {
	if folder == "" {
		return s, nil
	}
	disk, err := storage.Open(folder)
	if err != nil {
		return s, err
	}
	s.Disk = disk
	return s, nil
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
