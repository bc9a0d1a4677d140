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

// Version is the release that all programs tell by --version.
const Version = "0.1.0"

// journalBound is the number of events kept in memory, a few MB: minutes of a
// busy process.
const journalBound = 20000

// NewScope returns the surroundings of a real process: the machine's clock,
// network and randomness, its data folder (none if empty), a log in JSON lines
// at the level on standard error, and a journal that is logged at debug level.
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
		Journal: NewJournal(journalBound, logView{log}),
	}, nil
}

type logView struct{ log hclog.Logger }

func (v logView) Record(event Event) {
	v.log.Debug(event.Topic, "subject", event.Subject, "detail", event.Detail)
}

// HandleSignals calls reload at each SIGHUP, and stop at the first SIGTERM or SIGINT,
// after which it returns.
func HandleSignals(stop func(), reload func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for each := range signals {
		if each != syscall.SIGHUP {
			stop()
			return
		}
		reload()
	}
}
