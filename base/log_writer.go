package base

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// logQueueBytes is how many bytes of log lines wait for a slow reader before further ones are dropped.
const logQueueBytes = 256 << 10

// LogWriter writes log lines in the background, so that a reader that is slow, stands still or is gone never holds up the
// process. Lines that find no room, or that can't be written, are dropped and counted.
type LogWriter struct {
	out     io.Writer
	mutex   sync.Mutex
	waiting [][]byte
	bytes   int
	writing bool
	wake    chan struct{}
	idle    Broadcast
	dropped atomic.Uint64
	// reported is how many of the dropped lines the log itself has told of. Only the background task uses it.
	reported uint64
}

// NewLogWriter returns a writer to out and starts its background task, which runs as long as the process.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues a line, or drops it if there is no room. It never fails and never waits.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mutex.Lock()
	if w.bytes+len(line) > logQueueBytes {
		w.mutex.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, append([]byte(nil), line...))
	w.bytes += len(line)
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped.
func (w *LogWriter) Dropped() uint64 { return w.dropped.Load() }

// Flush waits until all lines are written, or until maxWait has passed.
func (w *LogWriter) Flush(maxWait time.Duration) {
	deadline := time.After(maxWait)
	for {
		changed := w.idle.Next()
		if w.isIdle() {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		}
	}
}

func (w *LogWriter) isIdle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.waiting) == 0 && !w.writing
}

func (w *LogWriter) run() {
	for range w.wake {
		for lines := w.take(); len(lines) > 0; lines = w.take() {
			for _, line := range lines {
				w.writeLine(line)
			}
		}
		w.idle.Notify()
	}
}

// take returns the waiting lines. They make room when they are taken, so at most twice logQueueBytes are held.
func (w *LogWriter) take() [][]byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	lines := w.waiting
	w.waiting, w.bytes = nil, 0
	w.writing = len(lines) > 0
	return lines
}

// writeLine writes a line, and before it how many were dropped since the last one that could be written.
func (w *LogWriter) writeLine(line []byte) {
	if dropped := w.dropped.Load(); dropped > w.reported {
		notice := fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", dropped-w.reported)
		if _, err := io.WriteString(w.out, notice); err == nil {
			w.reported = dropped
		}
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
