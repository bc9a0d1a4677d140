package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

func init() { cases["chunked-bodies"] = chunkedBodies }

// Twelve clients use one node, as many as a machine of saskatoon-hall has (34 clients, three machines).
const (
	uploadBytes   = 56 << 20 // 58720256, within BodyBytes (67108864)
	uploadClients = 6
	uploadPiece   = 64 << 10
	uploadPause   = 3 * time.Millisecond // all together then send about 125 MB/s, what a link of 1,000 Mbit/s carries
	loanClients   = 6
)

// upload sends a POST with a large body: in chunks if chunked is set, else with its length.
func (c *conn) upload(host, path, id string, timeLeft time.Duration, chunked bool) result {
	piece := bytes.Repeat([]byte("0123456789abcdef"), uploadPiece/16)
	return c.exchange(id, timeLeft, func() error {
		framing := fmt.Sprintf("Content-Length: %d", uploadBytes)
		if chunked {
			framing = "Transfer-Encoding: chunked"
		}
		if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left: %d\r\n%s\r\n\r\n", path, host, id, timeLeft.Milliseconds(), framing); err != nil {
			return err
		}
		for sent := 0; sent < uploadBytes; sent += uploadPiece {
			if chunked {
				if _, err := fmt.Fprintf(c, "%x\r\n", uploadPiece); err != nil {
					return err
				}
			}
			if _, err := c.Write(piece); err != nil {
				return err
			}
			if chunked {
				if _, err := c.Write([]byte("\r\n")); err != nil {
					return err
				}
			}
			time.Sleep(uploadPause)
		}
		if chunked {
			_, err := c.Write([]byte("0\r\n\r\n"))
			return err
		}
		return nil
	})
}

// chunkedBodies sends loans on kept connections and, beside them, six uploads within BodyBytes: in chunks, or without
// the trouble with their length.
func chunkedBodies(rec *record, trouble bool) (held bool, err error) {
	f, err := newFleet(rec, "circdesk", "circdesk")
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	var upstreams []*upstream
	for i, m := range f.sidecars {
		u, err := startUpstream(rec, m, fmt.Sprintf("i-7f3a91c%d", i), "circdesk", 6, 210*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer u.end()
		upstreams = append(upstreams, u)
	}
	if err := f.configure([]string{"circdesk"}, []route{
		{"r-loan", "jepu9.example", "/loan/", "mutating", "circdesk", 4000, 600, 1, 2},
		{"r-deposit", "jepu9.example", "/deposit/", "mutating", "circdesk", 8000, 1200, 2, 2},
	}); err != nil {
		return false, err
	}
	for _, m := range f.sidecars {
		if err := m.waitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + 2*time.Second) // all machines are in touch, all upstreams known

	node := f.sidecars[0]
	stop := make(chan struct{})
	var mu sync.Mutex
	var unanswered []result
	counts := map[int]int{}
	var clients sync.WaitGroup
	for range loanClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c *conn
			requests := 0
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil {
					fresh, err := dial(node)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					c, requests = fresh, 0
				}
				r := c.do("POST", "jepu9.example", "/loan/1", newID("loan"), 4*time.Second)
				requests++
				mu.Lock()
				counts[r.status]++
				if r.sent && r.status == 0 && time.Since(r.sentAt) < 3900*time.Millisecond && requests > 1 {
					unanswered = append(unanswered, r)
				}
				mu.Unlock()
				if r.status == 0 {
					rec.say("client: %s sent to %s, the connection ended without an answer after %d ms: %v", r.id, node.name, time.Since(r.sentAt).Milliseconds(), r.err)
				}
				if r.err != nil {
					_ = c.Close()
					c = nil
				}
			}
		}()
	}
	time.Sleep(4 * time.Second)
	var uploads sync.WaitGroup
	for range uploadClients {
		uploads.Add(1)
		go func() {
			defer uploads.Done()
			c, err := dial(node)
			if err != nil {
				return
			}
			defer c.Close()
			id := newID("depo")
			rec.say("client: %s begins a body of %d bytes, in chunks: %v", id, uploadBytes, trouble)
			r := c.upload("jepu9.example", "/deposit/1", id, 8*time.Second, trouble)
			rec.say("client: %s ends: status %d, %v", r.id, r.status, r.err)
		}()
	}
	uploads.Wait()
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()

	passedOn := 0
	for _, r := range unanswered {
		for _, u := range upstreams {
			if len(u.ran(r.id)) > 0 {
				passedOn++
				rec.say("broken: %s ran at %s and its kept connection ended without an answer", r.id, u.id)
				break
			}
		}
	}
	for _, m := range f.sidecars {
		m.mu.Lock()
		rec.say("%s: largest resident size %.0f MB of %d, %d times over it, ended by itself %d times", m.name, m.peakMB, m.memoryMB, m.overruns, m.ownEnds)
		m.mu.Unlock()
	}
	rec.say("loans by status (0: no answer): %v; on kept connections, passed on and not answered: %d (more than three break LOST)", counts, passedOn)
	return passedOn <= 3, nil
}
