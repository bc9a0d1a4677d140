package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

const (
	// depositBytes is the size of a body, a quarter of BodyBytes.
	depositBytes = 16 << 20
	// restAfter is how much of a body the slow upstream reads before it rests for readRest.
	restAfter = 1 << 20
	readRest  = 1500 * time.Millisecond
	// depositWork is the work of an upstream after it has read the body.
	depositWork = 100 * time.Millisecond
)

// slowServer is an upstream that works on a body while it reads it, and rests once meanwhile if it is slow.
type slowServer struct {
	*upstream
	slow  bool
	begun chan string // ids of requests whose head has come
}

func (u *slowServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if instance := r.Header.Get("Target-Instance"); instance != "" && instance != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.record.say("upstream %s: begins to work on %s", u.id, id)
	u.begun <- id
	read, err := io.CopyN(io.Discard, r.Body, restAfter)
	if err == nil && u.slow {
		time.Sleep(readRest)
	}
	rest, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		u.record.say("upstream %s: the connection with %s broke after %d bytes: %v", u.id, id, read+rest, err)
		return
	}
	if !u.slow {
		time.Sleep(readRest)
	}
	time.Sleep(depositWork)
	u.record.say("upstream %s: has read %d bytes of %s and answers", u.id, read+rest, id)
	w.Header().Set("Server-Seal", "3e1b.07.5a2."+id)
	w.Header().Set("Content-Length", "4")
	_, _ = io.WriteString(w, "kept")
}

// slowReader has a node get SIGTERM while an upstream reads the bodies that the node has taken, with one rest. Without the
// trouble the upstream reads on and takes the same time for its work.
func slowReader(rec *record, trouble bool) (held bool, err error) {
	f, err := newFleet(rec, "circdesk", "ledger")
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	begun := make(chan string, 64)
	var target *slowServer
	for i, service := range []string{"circdesk", "ledger"} {
		u, err := newUpstream(rec, f.sidecars[i], fmt.Sprintf("i-7f3a91c%d", i), service, 6, depositWork)
		if err != nil {
			return false, err
		}
		server := &slowServer{u, trouble, begun}
		u.serve(server)
		defer u.end()
		target = server
	}
	if err := f.configure([]string{"circdesk", "ledger"}, []route{{"r-deposit", "jepu9.example", "/deposit/", "mutating", "ledger", 8000, 1200, 1, 2}}); err != nil {
		return false, err
	}
	for _, m := range f.sidecars {
		if err := m.waitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + 2*time.Second)
	node := f.sidecars[0]
	const deposits = 3
	results := make([]result, deposits)
	var clients sync.WaitGroup
	for i := range deposits {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := dial(node)
			if err != nil {
				results[i].err = err
				return
			}
			defer c.Close()
			results[i] = c.deposit("jepu9.example", "/deposit/1", newID("depo"), 8*time.Second)
			r := results[i]
			rec.say("client: %s sent whole to %s: %v; answered %d %q after %d ms", r.id, node.name, r.sent, r.status, r.body, time.Since(r.sentAt).Milliseconds())
		}()
	}
	for range deposits {
		select {
		case <-begun:
		case <-time.After(6 * time.Second):
			return false, fmt.Errorf("%w: no upstream has begun", errCannotRun)
		}
	}
	rec.say("case: SIGTERM to %s", node.name)
	node.terminate()
	clients.Wait()
	lost := 0
	for _, r := range results {
		if r.sent && r.status != http.StatusOK {
			lost++
			rec.say("broken: %s was read whole and passed on to %s, which worked on it; the client got %d %q, %v", r.id, target.id, r.status, r.body, r.err)
		}
	}
	rec.say("requests that were taken, passed on and lost around the SIGTERM of %s: %d of %d", node.name, lost, deposits)
	return lost == 0, nil
}

// deposit sends a POST with a body of depositBytes and its length.
func (c *conn) deposit(host, path, id string, timeLeft time.Duration) result {
	return c.exchange(id, timeLeft, func() error {
		if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left: %d\r\nContent-Length: %d\r\n\r\n", path, host, id, timeLeft.Milliseconds(), depositBytes); err != nil {
			return err
		}
		_, err := io.Copy(c.Conn, bytes.NewReader(make([]byte, depositBytes)))
		return err
	})
}

// smallWindows limits what the sockets of a listener take in unread: "Links have delay, a bandwidth [...] and small
// windows: a peer that does not read holds the writer up" (DEPLOY.md).
type smallWindows struct{ net.Listener }

func (l smallWindows) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(64 << 10)
	}
	return c, err
}
