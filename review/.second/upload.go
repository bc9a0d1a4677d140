package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	uploadBytes  = 8 << 20 // the configuration allows 64 MiB
	uploadPieces = 44
	// uploadTakes is how long a client sends the body of a long order: 15 Mbit/s.
	uploadTakes = 4400 * time.Millisecond
	uploads     = 4
	// stopAfter is when the SIGTERM comes, after the uploads have begun.
	stopAfter = time.Second
	// uploadWork is how long the upstream works on a long order. It would be done before the grace period is over.
	uploadWork = 2200 * time.Millisecond
)

// writeSlowly writes a body in even pieces over uploadTakes.
func writeSlowly(w io.Writer) error {
	body := make([]byte, uploadBytes)
	for i := range uploadPieces {
		time.Sleep(uploadTakes / uploadPieces)
		if _, err := w.Write(body[i*len(body)/uploadPieces : (i+1)*len(body)/uploadPieces]); err != nil {
			return err
		}
	}
	return nil
}

// playUpload stops a node with SIGTERM while its clients send the bodies of long orders. Their last bytes come between
// the moment from which the node takes no new requests and the end of its grace period.
func playUpload(f *fleet, trouble bool) (broken bool, err error) {
	workOf := func(r *http.Request) time.Duration {
		if strings.Contains(r.URL.Path, "/long-") {
			return uploadWork
		}
		return shortWork
	}
	for _, m := range f.nodes {
		if err := m.startUpstream(ledgerSlots, 2*ledgerSlots, workOf); err != nil {
			return false, err
		}
	}
	if err := f.start(ledgerConfiguration()); err != nil {
		return false, errNotRun{err.Error()}
	}
	stopping := f.nodes[0]
	var c clients
	for range 10 { // ordinary work
		for _, m := range f.nodes {
			c.begin(m, f.newRequest("order", http.MethodPost, reportTimeout))
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	for range uploads {
		r := f.newRequest("order", http.MethodPost, reportTimeout)
		r.id = strings.Replace(r.id, "order-", "long-", 1)
		r.path = "/order/" + r.id
		r.headers, r.body = fmt.Sprintf("Content-Length: %d\r\n", uploadBytes), writeSlowly
		c.begin(stopping, r)
	}
	time.Sleep(stopAfter)
	stoppedAt := time.Now()
	if trouble {
		f.restart(stopping)
	}
	c.pending.Wait()
	time.Sleep(uploadWork) // until the upstreams know how their work ended
	return f.judgeStop(c.sent, stopping, stoppedAt), nil
}
