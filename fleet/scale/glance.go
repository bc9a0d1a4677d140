package scale

import (
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const again = "again-"

// Glance is a HailReply of which only the outline is read; the bytes on the wire are the same.
type Glance struct {
	Keel   string
	Serial uint64
	Chart  uint64
	Odds   uint64
	Roster uint64
	Sights int
	Gone   []string
	Back   []string
}

type thin struct{}

func (thin) Name() string { return "proto" }

func (thin) Marshal(message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errors.Errorf("%T is no message", message)
	}
	return proto.Marshal(m)
}

func (thin) Unmarshal(body []byte, message any) error {
	if m, ok := message.(proto.Message); ok {
		return proto.Unmarshal(body, m)
	}
	g, ok := message.(*Glance)
	if !ok {
		return errors.Errorf("%T is no glance", message)
	}
	return fields(body, func(at protowire.Number, number uint64, raw []byte) {
		switch at {
		case 1:
			g.Keel = string(raw)
		case 3:
			g.Serial = number
		case 4:
			g.Chart = first(raw)
		case 5:
			g.Odds = first(raw)
		case 6:
			g.Roster = number
		case 8:
			g.sight(raw)
		}
	})
}

func (g *Glance) sight(body []byte) {
	g.Sights++
	var node, life []byte
	absent := false
	_ = fields(body, func(at protowire.Number, number uint64, raw []byte) {
		switch at {
		case 1:
			_ = fields(raw, func(at protowire.Number, _ uint64, raw []byte) {
				switch at {
				case 1:
					node = raw
				case 2:
					life = raw
				}
			})
		case 3:
			absent = number > 0
		}
	})
	switch {
	case absent:
		g.Gone = append(g.Gone, string(node))
	case strings.HasPrefix(string(life), again):
		g.Back = append(g.Back, string(node))
	}
}

func first(body []byte) (found uint64) {
	_ = fields(body, func(at protowire.Number, number uint64, _ []byte) {
		if at == 1 {
			found = number
		}
	})
	return found
}

func fields(body []byte, each func(at protowire.Number, number uint64, raw []byte)) error {
	for len(body) > 0 {
		at, kind, n := protowire.ConsumeTag(body)
		if n < 0 {
			return protowire.ParseError(n)
		}
		body = body[n:]
		var number uint64
		var raw []byte
		switch kind {
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(body)
		case protowire.BytesType:
			raw, n = protowire.ConsumeBytes(body)
		default:
			n = protowire.ConsumeFieldValue(at, kind, body)
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		body = body[n:]
		each(at, number, raw)
	}
	return nil
}
