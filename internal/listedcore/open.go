package listedcore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"curlewreach/proto/wire"
)

// ControllerView returns the state of an open fleet's core process.
func (c *Client) ControllerView(ctx context.Context) (*wire.ControllerView, error) {
	return fetch[wire.ControllerView](ctx, c, http.MethodGet, "/view", nil)
}

// NodeView returns the state of an open fleet's node.
func (c *Client) NodeView(ctx context.Context) (*wire.NodeView, error) {
	return fetch[wire.NodeView](ctx, c, http.MethodGet, "/view", nil)
}

// Configuration returns the configuration in force in an open fleet.
func (c *Client) Configuration(ctx context.Context) (*wire.Configuration, error) {
	return fetch[wire.Configuration](ctx, c, http.MethodGet, "/configuration", nil)
}

// OpenFleetOdds returns what was learned in an open fleet.
func (c *Client) OpenFleetOdds(ctx context.Context) (*wire.Learning, error) {
	return fetch[wire.Learning](ctx, c, http.MethodGet, "/odds", nil)
}

// Journal returns the newest events about a subject, or all if that is empty,
// from a process of an open fleet.
func (c *Client) Journal(ctx context.Context, subject string, last int) (*wire.TellReply, error) {
	return fetch[wire.TellReply](ctx, c, http.MethodGet, fmt.Sprintf("/journal?subject=%s&last=%d", url.QueryEscape(subject), last), nil)
}
