package listedcore

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

// Client is the operators' client. It asks the core machines in turn until one
// answers.
type Client struct {
	HTTPClient *http.Client
	// Controllers are the addresses of the core machines' servers for operators; for
	// the methods about open fleets, those for other nodes.
	Controllers []string
	// OnSigned, if set, is told of each bundle that Apply hands in.
	OnSigned func(submission string, sealed *wire.Sealed)
}

// ErrNoController means that no core machine answered. What was handed in may have
// been taken: ask Status.
var ErrNoController = errors.New("no keel could be reached")

// message is a pointer to a generated message type T.
type message[T any] interface {
	*T
	proto.Message
}

// fetch asks the core machines in turn and returns the first one's reply.
func fetch[T any, M message[T]](ctx context.Context, c *Client, method, path string, request proto.Message) (M, error) {
	reply := M(new(T))
	return reply, c.ask(ctx, method, path, request, reply)
}

// ask goes from core machine to core machine until one answers.
func (c *Client) ask(ctx context.Context, method, path string, request, reply proto.Message) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = protojson.Marshal(request); err != nil {
			return err
		}
	}
	for _, controller := range c.Controllers {
		ask, err := http.NewRequestWithContext(ctx, method, "http://"+controller+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		if response, said, err := c.do(ask); err == nil {
			return read(response, said, reply)
		}
	}
	return ErrNoController
}

// do makes a request and returns the answer with its whole body.
func (c *Client) do(ask *http.Request) (*http.Response, []byte, error) {
	response, err := c.HTTPClient.Do(ask)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	said, err := io.ReadAll(response.Body)
	return response, said, err
}

// read decodes an answer. A refusal is returned as the error that it tells,
// but for outcomes, which tell it themselves.
func read(response *http.Response, said []byte, reply proto.Message) error {
	if _, verdict := reply.(*wire.Outcome); response.StatusCode >= http.StatusMultipleChoices && !verdict {
		var rejected struct {
			Fault *base.Fault `json:"mishap"`
		}
		if json.Unmarshal(said, &rejected) == nil && rejected.Fault != nil {
			return rejected.Fault
		}
		return errors.Errorf("%s: %s", response.Status, bytes.TrimSpace(said))
	}
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(said, reply)
}

// Draft asks for a new bundle to sign. Nothing is changed yet.
func (c *Client) Draft(ctx context.Context, request *wire.DraftRequest) (*wire.DraftReply, error) {
	return fetch[wire.DraftReply](ctx, c, http.MethodPost, "/v1/draft", request)
}

// Submit hands in a signed bundle. The same submission is decided once, so it may
// be handed in again.
func (c *Client) Submit(ctx context.Context, submission string, sealed *wire.Sealed) (*wire.Outcome, error) {
	return fetch[wire.Outcome](ctx, c, http.MethodPost, "/v1/sign", &wire.SignRequest{Submission: submission, Sealed: sealed})
}

// Status returns what became of a submission.
func (c *Client) Status(ctx context.Context, submission string) (*wire.Outcome, error) {
	return fetch[wire.Outcome](ctx, c, http.MethodGet, "/v1/submission/"+url.PathEscape(submission), nil)
}

// Bundle returns the bundle of a serial number, or the newest for 0.
func (c *Client) Bundle(ctx context.Context, serial uint64) (*wire.BundleReply, error) {
	return fetch[wire.BundleReply](ctx, c, http.MethodGet, fmt.Sprintf("/v1/bundle?serial=%d", serial), nil)
}

// Holdings returns which node holds which bundle.
func (c *Client) Holdings(ctx context.Context) (*wire.HoldingsReply, error) {
	return fetch[wire.HoldingsReply](ctx, c, http.MethodGet, "/v1/holdings", nil)
}

// Odds returns what was learned, with the odds in force.
func (c *Client) Odds(ctx context.Context) (*wire.Learning, error) {
	return fetch[wire.Learning](ctx, c, http.MethodGet, "/v1/odds", nil)
}

// Nodes returns all machines as a core machine sees them.
func (c *Client) Nodes(ctx context.Context) (*wire.SightRequest, error) {
	return fetch[wire.SightRequest](ctx, c, http.MethodGet, "/v1/nodes", nil)
}

// Trace returns the spans of a trace from all core machines.
func (c *Client) Trace(ctx context.Context, trace string) (*wire.TraceReply, error) {
	return fetch[wire.TraceReply](ctx, c, http.MethodGet, "/v1/trace/"+url.PathEscape(trace), nil)
}

// QueryJournals returns what all machines have in their journals about a subject.
func (c *Client) QueryJournals(ctx context.Context, subject string) (*wire.ToldReply, error) {
	return fetch[wire.ToldReply](ctx, c, http.MethodGet, "/v1/why?subject="+url.QueryEscape(subject), nil)
}

// State returns the state of the first core machine that answers.
func (c *Client) State(ctx context.Context) (*wire.StateReply, error) {
	return fetch[wire.StateReply](ctx, c, http.MethodGet, "/v1/state", nil)
}

// Adopt lets a core machine whose disk is lost recover from the one whole disk
// that is left.
func (c *Client) Adopt(ctx context.Context) (*wire.StateReply, error) {
	return fetch[wire.StateReply](ctx, c, http.MethodPost, "/v1/adopt", nil)
}

// EachController iterates over the core machines, with a client that asks just that one.
func (c *Client) EachController() func(yield func(string, *Client) bool) {
	return func(yield func(string, *Client) bool) {
		for _, controller := range c.Controllers {
			if !yield(controller, &Client{HTTPClient: c.HTTPClient, Controllers: []string{controller}}) {
				return
			}
		}
	}
}

// Apply drafts, signs and hands in at once. It doesn't sign a bundle other than
// the one that the draft shows.
func (c *Client) Apply(ctx context.Context, submission string, request *wire.DraftRequest, key ed25519.PrivateKey) (*wire.Outcome, error) {
	draft, err := c.Draft(ctx, request)
	if err != nil {
		return nil, err
	}
	shown, fault := bundle.Decode(draft.Sealed)
	if fault != nil {
		return nil, fault
	}
	if !proto.Equal(shown, draft.Bundle) {
		return nil, errors.New("the manifest does not fit the bundle shown")
	}
	bundle.Sign(draft.Sealed, key)
	if c.OnSigned != nil {
		c.OnSigned(submission, draft.Sealed)
	}
	return c.Submit(ctx, submission, draft.Sealed)
}
