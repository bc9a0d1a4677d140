package openfleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type talk struct {
	conn   net.Conn
	in     *bufio.Reader
	gone   context.Context
	leave  context.CancelFunc
	peeked chan error
	mu     sync.Mutex
	owed   []byte
}

func newTalk(s context.Context, conn net.Conn) *talk {
	t := &talk{conn: conn, in: bufio.NewReader(conn), peeked: make(chan error, 1)}
	t.gone, t.leave = context.WithCancel(s)
	return t
}

func (t *talk) watch() {
	go func() {
		_, err := t.in.Peek(1)
		if err != nil {
			t.leave()
		}
		t.peeked <- err
	}()
}

func (t *talk) say(text []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(text) > 0 {
		n, err := t.conn.Write(text[:min(len(text), 32<<10)])
		if err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// sayLater says something after a while, if the connection is still there.
func (t *talk) sayLater(after time.Duration, bytes []byte) {
	time.AfterFunc(after, func() {
		if t.gone.Err() == nil {
			_ = t.say(bytes)
		}
	})
}

func (t *talk) reset() {
	if conn, ok := t.conn.(interface{ Reset() }); ok {
		conn.Reset()
		return
	}
	_ = t.conn.Close()
}

func (u *Upstream) talk(s context.Context, conn net.Conn) {
	t := newTalk(s, conn)
	defer t.leave()
	defer conn.Close()
	t.watch()
	for {
		rest := time.NewTimer(u.rest())
		select {
		case err := <-t.peeked:
			rest.Stop()
			if err != nil {
				return
			}
		case <-rest.C:
			return
		case <-s.Done():
			rest.Stop()
			t.reset()
			return
		}
		if owed := t.owed; owed != nil {
			t.owed = nil
			_ = t.say(owed)
		}
		request, err := http.ReadRequest(t.in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		t.watch()
		if !u.serve(t, request, body) {
			return
		}
	}
}

func text(status int, header []string, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, line := range header {
		head += line + "\r\n"
	}
	return append([]byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))), body...)
}

const chunkSize = 9000

func chunked(header []string, body []byte) []byte {
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Join(header, "\r\n"))
	for len(body) > 0 {
		n := min(len(body), chunkSize)
		_, _ = fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	_, _ = out.WriteString("0\r\n\r\n")
	return out.Bytes()
}
