package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	bodyBytes    = 60 << 20 // of one body; the configuration allows 64 MiB
	chunkBytes   = 64 << 10
	uploads      = 4 // at a time, at one machine; together less than the memory of its process
	bodyRounds   = 3
	bodyMachines = 2
)

// writeChunks writes a body of bodyBytes in chunks.
func writeChunks(w io.Writer) error {
	chunk := make([]byte, chunkBytes)
	for range bodyBytes / chunkBytes {
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// writeWhole writes a body of bodyBytes whose length stands in the header.
func writeWhole(w io.Writer) error {
	chunk := make([]byte, chunkBytes)
	for range bodyBytes / chunkBytes {
		if _, err := w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// playBodies sends large bodies at the same time at two machines, in chunks or, without the trouble, with a length. The
// platform kills a process that goes over its memory.
func playBodies(f *fleet, trouble bool) (broken bool, err error) {
	for _, m := range f.nodes {
		if err := m.startUpstream(6, 12, func(*http.Request) time.Duration { return shortWork }); err != nil {
			return false, err
		}
	}
	if err := f.start(ledgerConfiguration()); err != nil {
		return false, errNotRun{err.Error()}
	}
	var mu sync.Mutex
	ends, peaks := map[string]int{}, map[string]float64{}
	for _, m := range f.machines() {
		f.tasks.Add(1)
		go func() {
			defer f.tasks.Done()
			m.limitMemory(func(resident float64, killed bool) {
				mu.Lock()
				defer mu.Unlock()
				peaks[m.name] = max(peaks[m.name], resident)
				if killed {
					ends[m.name]++
				}
			})
		}()
	}
	small := make(chan struct{})
	var orders clients
	var smallClients sync.WaitGroup
	for _, m := range f.nodes[:bodyMachines] { // ordinary orders through the same nodes
		smallClients.Add(1)
		go func() {
			defer smallClients.Done()
			for {
				select {
				case <-small:
					return
				case <-time.After(30 * time.Millisecond):
					orders.begin(m, f.newRequest("order", http.MethodPost, 8*time.Second))
				}
			}
		}()
	}
	for range bodyRounds {
		if err := f.waitReady(); err != nil {
			f.rec.log("%v", err)
		}
		var clients sync.WaitGroup
		for _, m := range f.nodes[:bodyMachines] {
			for range uploads {
				clients.Add(1)
				go func() {
					defer clients.Done()
					r := f.newRequest("order", http.MethodPost, 8*time.Second)
					r.headers, r.body = "Transfer-Encoding: chunked\r\n", writeChunks
					if !trouble {
						r.headers, r.body = fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), writeWhole
					}
					m.send(r)
				}()
			}
		}
		clients.Wait()
		time.Sleep(3 * time.Second)
	}
	close(small)
	smallClients.Wait()
	orders.pending.Wait()
	cut := 0
	for _, r := range orders.sent {
		if r.status != 0 || r.refused || r.timedOut {
			continue
		}
		for _, m := range f.nodes {
			cut += len(m.upstream.runsOf(r.id))
		}
	}
	mu.Lock()
	defer mu.Unlock()
	machines := 0
	f.rec.log("judge: %d small orders, %d of them reached an upstream and ended without an answer", len(orders.sent), cut)
	for _, m := range f.machines() {
		f.rec.log("judge: %s: at most %.0f MB of %d MB, ended for its memory %d times", m.name, peaks[m.name], m.memoryMB, ends[m.name])
		if ends[m.name] >= 3 {
			machines++
		}
	}
	return machines >= 2, nil
}

// limitMemory kills the process when it holds more than its memory, and starts it again, as the platform does.
func (m *machine) limitMemory(seen func(resident float64, killed bool)) {
	for {
		select {
		case <-m.fleet.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		resident := m.residentMB()
		over := resident > float64(m.memoryMB)
		seen(resident, over)
		if !over {
			continue
		}
		m.fleet.rec.log("platform: %s holds %.0f MB of %d MB", m.name, resident, m.memoryMB)
		ended := m.hasEnded()
		m.signal(syscall.SIGKILL)
		<-ended
		time.Sleep(300 * time.Millisecond)
		if err := m.launch(); err != nil {
			m.fleet.rec.log("platform: %v", err)
		}
	}
}
