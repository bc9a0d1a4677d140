package helm

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/proto/wire"
)

type Clerk struct {
	Web    *http.Client
	Keels  []string
	Signed func(submission string, sealed *wire.Sealed)
}

var ErrNoKeel = errors.New("no keel could be reached")

func (c *Clerk) ask(ctx context.Context, method, path string, request, reply proto.Message) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = protojson.Marshal(request); err != nil {
			return err
		}
	}
	for _, keel := range c.Keels {
		ask, err := http.NewRequestWithContext(ctx, method, "http://"+keel+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := c.Web.Do(ask)
		if err != nil {
			continue
		}
		said, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			continue
		}
		if _, verdict := reply.(*wire.Outcome); response.StatusCode >= 300 && !verdict {
			var bounced struct{ Mishap *base.Mishap }
			if json.Unmarshal(said, &bounced) == nil && bounced.Mishap != nil {
				return bounced.Mishap
			}
			return errors.Errorf("%s: %s", response.Status, bytes.TrimSpace(said))
		}
		return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(said, reply)
	}
	return ErrNoKeel
}

func (c *Clerk) Draft(ctx context.Context, request *wire.DraftRequest) (*wire.DraftReply, error) {
	reply := &wire.DraftReply{}
	return reply, c.ask(ctx, http.MethodPost, "/v1/draft", request, reply)
}

func (c *Clerk) Sign(ctx context.Context, submission string, sealed *wire.Sealed) (*wire.Outcome, error) {
	reply := &wire.Outcome{}
	return reply, c.ask(ctx, http.MethodPost, "/v1/sign", &wire.SignRequest{Submission: submission, Sealed: sealed}, reply)
}

func (c *Clerk) Status(ctx context.Context, submission string) (*wire.Outcome, error) {
	reply := &wire.Outcome{}
	return reply, c.ask(ctx, http.MethodGet, "/v1/submission/"+url.PathEscape(submission), nil, reply)
}

func (c *Clerk) Show(ctx context.Context, serial uint64) (*wire.BundleReply, error) {
	reply := &wire.BundleReply{}
	return reply, c.ask(ctx, http.MethodGet, fmt.Sprintf("/v1/bundle?serial=%d", serial), nil, reply)
}

func (c *Clerk) Holdings(ctx context.Context) (*wire.HoldingsReply, error) {
	reply := &wire.HoldingsReply{}
	return reply, c.ask(ctx, http.MethodGet, "/v1/holdings", nil, reply)
}

func (c *Clerk) Odds(ctx context.Context) (*wire.Learning, error) {
	reply := &wire.Learning{}
	return reply, c.ask(ctx, http.MethodGet, "/v1/odds", nil, reply)
}

func (c *Clerk) Nodes(ctx context.Context) (*wire.SightRequest, error) {
	reply := &wire.SightRequest{}
	return reply, c.ask(ctx, http.MethodGet, "/v1/nodes", nil, reply)
}

func (c *Clerk) Trace(ctx context.Context, trace string) (*wire.TraceReply, error) {
	reply := &wire.TraceReply{}
	return reply, c.ask(ctx, http.MethodGet, "/v1/trace/"+url.PathEscape(trace), nil, reply)
}

func (c *Clerk) Why(ctx context.Context, subject string) (*wire.ToldReply, error) {
	reply := &wire.ToldReply{}
	return reply, c.ask(ctx, http.MethodGet, "/v1/why?subject="+url.QueryEscape(subject), nil, reply)
}

func (c *Clerk) State(ctx context.Context) (*wire.StateReply, error) {
	reply := &wire.StateReply{}
	return reply, c.ask(ctx, http.MethodGet, "/v1/state", nil, reply)
}

func (c *Clerk) Adopt(ctx context.Context) (*wire.StateReply, error) {
	reply := &wire.StateReply{}
	return reply, c.ask(ctx, http.MethodPost, "/v1/adopt", nil, reply)
}

func (c *Clerk) Each() func(yield func(string, *Clerk) bool) {
	return func(yield func(string, *Clerk) bool) {
		for _, keel := range c.Keels {
			if !yield(keel, &Clerk{Web: c.Web, Keels: []string{keel}}) {
				return
			}
		}
	}
}

func (c *Clerk) Apply(ctx context.Context, submission string, request *wire.DraftRequest, key ed25519.PrivateKey) (*wire.Outcome, error) {
	draft, err := c.Draft(ctx, request)
	if err != nil {
		return nil, err
	}
	shown, mishap := bundle.Open(draft.Sealed)
	if mishap != nil {
		return nil, mishap
	}
	if !proto.Equal(shown, draft.Bundle) {
		return nil, errors.New("the manifest does not fit the bundle shown")
	}
	bundle.Sign(draft.Sealed, key)
	if c.Signed != nil {
		c.Signed(submission, draft.Sealed)
	}
	return c.Sign(ctx, submission, draft.Sealed)
}
