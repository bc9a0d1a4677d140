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
	node    *Node
	errand  *clientRequest
	attempt *Attempt
	head    *wire.CarryHead
	sealing seal
	held    bytes.Buffer
	size    uint64
	flowing bool
	roomy   int64
	whole   bool
	fault   *base.Fault
}

var errForeign = base.NewFault(base.InvalidResponse, "", "a piece of another attempt's answer")

func (c *responseReader) take(reply *wire.CarryReply) error {
	switch piece := reply.Piece.(type) {
	case *wire.CarryReply_Head:
		if c.head != nil || piece.Head.Attempt != c.attempt.ID {
			return errForeign
		}
		c.head, c.sealing = piece.Head, newSeal(piece.Head)
	case *wire.CarryReply_Chunk:
		return c.takeChunk(piece.Chunk)
	case *wire.CarryReply_Tail:
		return c.takeTail(piece.Tail)
	case *wire.CarryReply_Mishap:
		if piece.Mishap.Attempt != c.attempt.ID {
			return errForeign
		}
		c.fault = &base.Fault{Kind: base.Kind(piece.Mishap.Kind), Reason: piece.Mishap.Reason, MayHaveRun: piece.Mishap.Run, RetryAfter: time.Duration(piece.Mishap.AfterUs) * time.Microsecond}
	}
	return nil
}

// takeChunk holds a piece of the body back, or passes it on with those held if
// they are too many.
func (c *responseReader) takeChunk(chunk []byte) error {
	if c.head == nil || c.whole {
		return errForeign
	}
	_, _ = c.sealing.Write(chunk)
	c.size += uint64(len(chunk))
	if c.flowing || c.held.Len()+len(chunk) > c.node.dials.Load().MaxBufferedBytes || !c.hold(len(chunk)) {
		if err := c.flow(); err != nil {
			return err
		}
	}
	c.held.Write(chunk)
	return nil
}

// takeTail checks the seal. Of an answer that is being streamed, the last piece
// is passed on only now.
func (c *responseReader) takeTail(tail *wire.CarryTail) error {
	if c.head == nil || tail.Attempt != c.attempt.ID || tail.Size != c.size || !bytes.Equal(tail.Digest, c.sealing.sum()) {
		return base.NewFault(base.InvalidResponse, "", "the seal does not fit the answer")
	}
	c.whole = true
	if c.flowing {
		return c.flow()
	}
	return nil
}

func (c *responseReader) hold(size int) bool {
	if !c.node.room.take(int64(size)) {
		return false
	}
	c.roomy += int64(size)
	return true
}

func (c *responseReader) flow() error {
	c.node.room.give(c.roomy)
	c.roomy = 0
	if !c.flowing {
		c.flowing = true
		put(c.head.Headers, c.errand.w.Header())
		c.errand.w.WriteHeader(int(c.head.Status))
	}
	_, err := c.errand.w.Write(c.held.Bytes())
	c.held.Reset()
	return err
}
