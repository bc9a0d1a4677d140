package listednode

import (
	"bytes"
	"time"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// responseReader receives the pieces of one attempt's response and checks them. It buffers the body until
// the digest is checked; it streams to the client a body that is too large to be buffered or that there is
// no memory for.
type responseReader struct {
	node      *Node
	incoming  *clientRequest
	attempt   *Attempt
	head      *wire.CarryHead
	digest    responseDigest
	buffered  bytes.Buffer
	size      uint64      // of the body so far, in bytes
	streaming bool        // the head and part of the body were written to the client
	reserved  int64       // memory reserved for the buffer, in bytes
	complete  bool        // the digest was checked
	fault     *base.Fault // reported by the node that ran the attempt
}

// errUnexpectedPiece reports a piece of another attempt, or one out of order.
var errUnexpectedPiece = base.NewFault(base.InvalidResponse, "", "a piece of another attempt's answer")

// accept processes one piece.
func (r *responseReader) accept(reply *wire.CarryReply) error {
	switch piece := reply.Piece.(type) {
	case *wire.CarryReply_Head:
		if r.head != nil || piece.Head.Attempt != r.attempt.ID {
			return errUnexpectedPiece
		}
		r.head, r.digest = piece.Head, newResponseDigest(piece.Head)
	case *wire.CarryReply_Chunk:
		return r.acceptChunk(piece.Chunk)
	case *wire.CarryReply_Tail:
		return r.acceptTail(piece.Tail)
	case *wire.CarryReply_Mishap:
		if piece.Mishap.Attempt != r.attempt.ID {
			return errUnexpectedPiece
		}
		r.fault = &base.Fault{Kind: base.Kind(piece.Mishap.Kind), Reason: piece.Mishap.Reason, MayHaveRun: piece.Mishap.Run, RetryAfter: time.Duration(piece.Mishap.AfterUs) * time.Microsecond}
	}
	return nil
}

// acceptChunk buffers a piece of the body. If it can't be buffered, the buffer is streamed first; the piece
// itself stays buffered until the next one or the tail.
func (r *responseReader) acceptChunk(chunk []byte) error {
	if r.head == nil || r.complete {
		return errUnexpectedPiece
	}
	_, _ = r.digest.Write(chunk)
	r.size += uint64(len(chunk))
	if r.streaming || r.buffered.Len()+len(chunk) > r.node.tunables.Load().MaxBufferedBytes || !r.reserve(len(chunk)) {
		if err := r.flush(); err != nil {
			return err
		}
	}
	r.buffered.Write(chunk)
	return nil
}

// acceptTail checks the digest. The last piece of a streamed response is written only now, so that the
// client never gets a complete response that fails the check.
func (r *responseReader) acceptTail(tail *wire.CarryTail) error {
	if r.head == nil || tail.Attempt != r.attempt.ID || tail.Size != r.size || !bytes.Equal(tail.Digest, r.digest.sum()) {
		return base.NewFault(base.InvalidResponse, "", "the seal does not fit the answer")
	}
	r.complete = true
	if r.streaming {
		return r.flush()
	}
	return nil
}

// reserve reserves memory for size bytes and reports whether that was possible.
func (r *responseReader) reserve(size int) bool {
	if !r.node.memory.reserve(int64(size)) {
		return false
	}
	r.reserved += int64(size)
	return true
}

// flush writes the buffer to the client, the first time after the head, and releases its memory.
func (r *responseReader) flush() error {
	r.node.memory.release(r.reserved)
	r.reserved = 0
	if !r.streaming {
		r.streaming = true
		setHeaders(r.head.Headers, r.incoming.w.Header())
		r.incoming.w.WriteHeader(int(r.head.Status))
	}
	_, err := r.incoming.w.Write(r.buffered.Bytes())
	r.buffered.Reset()
	return err
}
