package helm

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"curlewreach/proto/wire"
)

// The following ask keels, or one node, of an open fleet at their doors for mates.

func (c *Clerk) KeelView(ctx context.Context) (*wire.KeelView, error) {
	reply := &wire.KeelView{}
	return reply, c.ask(ctx, http.MethodGet, "/view", nil, reply)
}

func (c *Clerk) NodeView(ctx context.Context) (*wire.NodeView, error) {
	reply := &wire.NodeView{}
	return reply, c.ask(ctx, http.MethodGet, "/view", nil, reply)
}

func (c *Clerk) Chart(ctx context.Context) (*wire.Chart, error) {
	reply := &wire.Chart{}
	return reply, c.ask(ctx, http.MethodGet, "/chart", nil, reply)
}

func (c *Clerk) OpenOdds(ctx context.Context) (*wire.Learning, error) {
	reply := &wire.Learning{}
	return reply, c.ask(ctx, http.MethodGet, "/odds", nil, reply)
}

func (c *Clerk) Journal(ctx context.Context, subject string, last int) (*wire.TellReply, error) {
	reply := &wire.TellReply{}
	return reply, c.ask(ctx, http.MethodGet, fmt.Sprintf("/journal?subject=%s&last=%d", url.QueryEscape(subject), last), nil, reply)
}
