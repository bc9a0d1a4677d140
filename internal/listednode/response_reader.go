package listednode

import (
	"bytes"
	"time"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// responseReader takes in the pieces of one attempt's answer, checks them, and holds
// them back until the seal is checked or there are too many.
type responseReader struct {
	node      *Node
	incoming  *clientRequest
	attempt   *Attempt
	head      *wire.CarryHead
	digest    responseDigest
	buffered  bytes.Buffer
	size      uint64
	streaming bool
	reserved  int64
	complete  bool
	fault     *base.Fault
}

var errUnexpectedPiece = base.NewFault(base.Garbled, "", "a piece of another attempt's answer")

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
		r.fault = &base.Fault{Kind: base.Kind(piece.Mishap.Kind), Reason: piece.Mishap.Reason, Run: piece.Mishap.Run, After: time.Duration(piece.Mishap.AfterUs) * time.Microsecond}
	}
	return nil
}

// acceptChunk holds a piece of the body back, or passes it on with those held if
// they are too many.
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

// acceptTail checks the seal. Of an answer that is being streamed, the last piece
// is passed on only now.
func (r *responseReader) acceptTail(tail *wire.CarryTail) error {
	if r.head == nil || tail.Attempt != r.attempt.ID || tail.Size != r.size || !bytes.Equal(tail.Digest, r.digest.sum()) {
		return base.NewFault(base.Garbled, "", "the seal does not fit the answer")
	}
	r.complete = true
	if r.streaming {
		return r.flush()
	}
	return nil
}

func (r *responseReader) reserve(size int) bool {
	if !r.node.memory.reserve(int64(size)) {
		return false
	}
	r.reserved += int64(size)
	return true
}

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
