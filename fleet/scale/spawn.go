package scale

import (
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

type child struct {
	task  Task
	to    io.WriteCloser
	from  *json.Decoder
	mu    sync.Mutex
	end   func()
	stats Stat
}

// Spawn starts a child and gives its input and output.
type Spawn func(task Task) (to io.WriteCloser, from io.Reader, end func(), err error)

// Processes spawns children as processes of this program, which must run Child
// when told word.
func Processes(word string) Spawn {
	return func(task Task) (io.WriteCloser, io.Reader, func(), error) {
		program, err := os.Executable()
		if err != nil {
			return nil, nil, nil, err
		}
		log, err := os.Create(filepath.Join(task.Folder, "log"))
		if err != nil {
			return nil, nil, nil, err
		}
		defer log.Close()
		process := exec.Command(program, word)
		process.Stderr = log
		process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		to, err := process.StdinPipe()
		if err != nil {
			return nil, nil, nil, err
		}
		from, err := process.StdoutPipe()
		if err != nil {
			return nil, nil, nil, err
		}
		if err := process.Start(); err != nil {
			return nil, nil, nil, err
		}
		return to, from, func() {
			_ = process.Process.Kill()
			_ = process.Wait()
		}, nil
	}
}

// Inside runs children within this process, for tests.
func Inside(task Task) (io.WriteCloser, io.Reader, func(), error) {
	in, to := io.Pipe()
	from, out := io.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = out.CloseWithError(Child(in, out, false))
	}()
	return to, from, func() {
		_ = to.Close()
		<-done
	}, nil
}

func (c *child) order(o Order) (Stat, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := time.AfterFunc(answerWithin, c.end)
	defer answered.Stop()
	if err := json.NewEncoder(c.to).Encode(o); err != nil {
		return c.stats, errors.Wrap(err, c.task.Name)
	}
	var stat Stat
	if err := c.from.Decode(&stat); err != nil {
		return c.stats, errors.Wrap(err, c.task.Name)
	}
	c.stats = stat
	return stat, nil
}
