package process

import (
	"context"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
)

// Run runs a program until a signal stops it, and returns the status to exit with. A SIGHUP reloads the settings; before
// the program has started it begins the start anew with the settings of that moment.
func Run[S Settings, P Process[S]](program Program[S, P], signals <-chan os.Signal) int {
	scope, log := base.NewProcessScope(program.Name)
	defer log.Flush(logFlushTimeout)
	scope.Log.Info("starting", "version", base.Version, "pid", os.Getpid(), "go", runtime.Version())
	r := &runner[S, P]{program: program, scope: scope, started: make(chan startResult[S, P], 1), reloads: make(chan struct{}, 1), stopped: make(chan struct{})}
	r.beginStart()
	defer func() { r.cancelStart() }()
	return r.run(signals)
}

// runner runs one process. Its methods are called by one task, unless they say otherwise.
type runner[S Settings, P Process[S]] struct {
	program     Program[S, P]
	scope       base.Scope
	started     chan startResult[S, P]
	cancelStart context.CancelFunc
	// running is what the start returned, nil before.
	running *startResult[S, P]
	reloads chan struct{}
	// mutex is held during a reload. stopped is closed when a stop begins, after which nothing is reloaded.
	mutex   sync.Mutex
	stopped chan struct{}
}

// startResult is a program that has started, or the error for which its start was given up.
type startResult[S Settings, P Process[S]] struct {
	process  P
	settings S
	scope    base.Scope
	err      error
}

// run serves signals and changes of the settings until the process is stopped.
func (r *runner[S, P]) run(signals <-chan os.Signal) int {
	watch := time.NewTicker(watchInterval)
	defer watch.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return r.stop(received.String())
			}
			r.reload("signal")
		case result := <-r.started:
			r.startEnded(result)
		case <-watch.C:
			if r.program.Changed != nil && r.program.Changed() {
				r.reload("changed settings")
			}
		}
	}
}

// beginStart starts the program in the background. The result arrives on r.started.
func (r *runner[S, P]) beginStart() {
	scope, cancel := r.scope.WithCancel()
	r.cancelStart = cancel
	go func() { r.started <- start(scope, r.program) }()
}

// start waits for valid settings and the data folder and starts the program. It gives up when the scope ends.
func start[S Settings, P Process[S]](s base.Scope, program Program[S, P]) (result startResult[S, P]) {
	if result.settings, result.err = base.Persist(s, "load the settings", program.Load); result.err != nil {
		return result
	}
	result.scope = s.ForNode(result.settings.GetName(), result.settings.GetLog())
	if folder, has := any(result.settings).(interface{ GetFolder() string }); has {
		if result.scope, result.err = base.Persist(result.scope, "open the data folder", func() (base.Scope, error) { return result.scope.WithFolder(folder.GetFolder()) }); result.err != nil {
			return result
		}
	}
	result.process, result.err = program.Start(result.scope, result.settings)
	return result
}

// startEnded takes a program that has started. A start that was given up begins anew, as does one that succeeded just as
// it was interrupted.
func (r *runner[S, P]) startEnded(result startResult[S, P]) {
	if result.err == nil && result.scope.Err() != nil {
		result.process.Kill()
		result.err = result.scope.Err()
	}
	if result.err != nil {
		r.scope.Log.Warn("the start begins anew", "reason", base.ErrorLines(result.err))
		r.cancelStart()
		base.Await(r.scope, abandonedStartPause)
		r.beginStart()
		return
	}
	r.running = &result
	go r.serveReloads(result)
	go watchMemory(result.scope, result.settings)
}

// reload has the settings loaded again: by the program if it runs, or else by a new start.
func (r *runner[S, P]) reload(reason string) {
	if r.running == nil {
		if r.program.Changed == nil || r.program.Changed() {
			r.scope.Log.Info("the start is interrupted to load the settings again", "reason", reason)
			r.cancelStart()
		}
		return
	}
	select {
	case r.reloads <- struct{}{}:
	default: // a reload that has not begun yet will load what is there now
	}
}

// serveReloads reloads the settings of a program whenever it is asked to, apart from the task that serves signals: a
// reload that stands still doesn't hold up a stop.
func (r *runner[S, P]) serveReloads(running startResult[S, P]) {
	for range r.reloads {
		r.reloadOnce(running)
	}
}

// reloadOnce loads and applies the settings, unless the process is stopping. If they can't be loaded or are rejected, the
// old ones stay in use.
func (r *runner[S, P]) reloadOnce(running startResult[S, P]) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.stopped:
		return
	default:
	}
	settings, err := r.program.Load()
	if err == nil {
		err = running.process.Reload(settings)
	}
	if err != nil {
		running.scope.Log.Error("reload rejected; the old settings stay", "faults", base.ErrorLines(err))
		return
	}
	running.scope.Log.Info("reloaded")
}

// stop ends the process and returns its exit status.
func (r *runner[S, P]) stop(reason string) int {
	close(r.stopped)
	if r.running == nil {
		return r.stopStart(reason)
	}
	r.running.scope.Log.Info("ending", "reason", reason)
	ended := make(chan struct{})
	go func() {
		r.running.process.Stop()
		close(ended)
	}()
	select {
	case <-ended:
		r.running.scope.Log.Info("ended", "reason", reason)
		return ExitStopped
	case <-stopDeadline(r.running.settings):
		r.running.scope.Log.Error("ended before the stop was over: the grace period is", "reason", reason)
		return ExitStopGivenUp
	}
}

// stopStart ends a process that has not started yet.
func (r *runner[S, P]) stopStart(reason string) int {
	r.cancelStart()
	select {
	case result := <-r.started:
		if result.err == nil {
			result.process.Kill()
		}
	case <-time.After(abandonedStartTimeout):
	}
	r.scope.Log.Info("ended", "reason", reason, "phase", "starting")
	return ExitStopped
}

// stopDeadline returns a channel that delivers when a stop is given up; nil if the settings know no grace period.
func stopDeadline(settings any) <-chan time.Time {
	graced, has := settings.(interface{ GetGrace() *durationpb.Duration })
	if !has || graced.GetGrace().AsDuration() <= 0 {
		return nil
	}
	return time.After(base.ScaleDuration(graced.GetGrace().AsDuration(), stopDeadlineRatio))
}
