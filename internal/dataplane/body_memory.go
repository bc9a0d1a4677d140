package dataplane

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"curlewreach/base"
)

const (
	holdRatio  = 0.25
	holdOnce   = 64 << 20
	holdAgain  = 250 * time.Millisecond
	bodyGuess  = 64 << 10
	bodyUsual  = 8 << 20
	megabyte   = 1 << 20
	bodyAtOnce = 1 << 20
)

// BodyMemory bounds the bytes of request bodies in memory.
type BodyMemory struct {
	most int64
	held atomic.Int64
}

// NewBodyMemory allows a quarter of the memory, 64 MiB where that isn't told.
func NewBodyMemory(memoryMb uint32) *BodyMemory {
	if memoryMb == 0 {
		return &BodyMemory{most: holdOnce}
	}
	return &BodyMemory{most: int64(float64(memoryMb) * holdRatio * megabyte)}
}

// Read takes a whole body of at most so many bytes; done gives its room back.
func (h *BodyMemory) Read(r *http.Request, limit int64) (body []byte, done func(), fault *base.Fault) {
	none := func() {}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, none, nil
	}
	if r.ContentLength > limit {
		return nil, none, base.NewFault(base.TooLarge, "", "a body of %d bytes; at most %d may come", r.ContentLength, limit)
	}
	wanted := max(r.ContentLength, bodyGuess)
	if h.held.Add(wanted) > h.most {
		h.held.Add(-wanted)
		return nil, none, base.NewFault(base.Crowded, "", "the body has no room now").Later(holdAgain)
	}
	done = func() { h.held.Add(-wanted) }
	if r.ContentLength > 0 && r.ContentLength <= bodyAtOnce {
		body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			done()
			return nil, none, base.NewFault(base.Malformed, "", "the body ended early")
		}
		return body, done, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, min(limit, h.most)+1))
	if err != nil {
		done()
		return nil, none, base.NewFault(base.Malformed, "", "the body ended early")
	}
	if int64(len(body)) > limit {
		done()
		return nil, none, base.NewFault(base.TooLarge, "", "at most %d bytes may come", limit)
	}
	if int64(len(body)) > h.most {
		done()
		return nil, none, base.NewFault(base.Crowded, "", "the body has no room now").Later(holdAgain)
	}
	if more := int64(len(body)) - wanted; more > 0 {
		h.held.Add(more)
		wanted += more
	}
	return body, done, nil
}
