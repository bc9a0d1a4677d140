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

// Client is the operators' client. It calls the core machines one after the other
// until one replies.
type Client struct {
	HTTPClient *http.Client
	// Controllers are the addresses of the core machines' servers for operators, or
	// for the methods for open fleets, of their servers for other nodes.
	Controllers []string
	// OnSigned, if set, is called by Apply with each bundle before submitting it.
	OnSigned func(submission string, sealed *wire.Sealed)
}

// ErrNoController means that no core machine replied. A submission may have been
// accepted nevertheless: call Status.
var ErrNoController = errors.New("no controller could be reached")

// message is a pointer to a generated message of type T.
type message[T any] interface {
	*T
	proto.Message
}

// fetch calls the core machines one after the other and returns the first reply.
func fetch[T any, M message[T]](ctx context.Context, c *Client, method, path string, request proto.Message) (M, error) {
	reply := M(new(T))
	return reply, c.call(ctx, method, path, request, reply)
}

// call calls the core machines one after the other until one replies.
func (c *Client) call(ctx context.Context, method, path string, request, reply proto.Message) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = protojson.Marshal(request); err != nil {
			return err
		}
	}
	for _, controller := range c.Controllers {
		httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+controller+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		if response, responseBody, err := c.do(httpRequest); err == nil {
			return decodeReply(response, responseBody, reply)
		}
	}
	return ErrNoController
}

// do sends a request and returns the response with its whole body.
func (c *Client) do(request *http.Request) (*http.Response, []byte, error) {
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// decodeReply decodes a response. An error status is returned as the fault in the
// body, except for outcomes, which contain the fault themselves.
func decodeReply(response *http.Response, body []byte, reply proto.Message) error {
	if _, isOutcome := reply.(*wire.Outcome); response.StatusCode >= http.StatusMultipleChoices && !isOutcome {
		var rejected struct {
			Fault *base.Fault `json:"mishap"`
		}
		if json.Unmarshal(body, &rejected) == nil && rejected.Fault != nil {
			return rejected.Fault
		}
		return errors.Errorf("%s: %s", response.Status, bytes.TrimSpace(body))
	}
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(body, reply)
}

// Draft returns a new bundle to sign. Nothing is changed.
func (c *Client) Draft(ctx context.Context, request *wire.DraftRequest) (*wire.DraftReply, error) {
	return fetch[wire.DraftReply](ctx, c, http.MethodPost, "/v1/draft", request)
}

// Submit submits a signed bundle under a submission ID. A submission is decided only
// once, so it may be repeated.
func (c *Client) Submit(ctx context.Context, submission string, sealed *wire.Sealed) (*wire.Outcome, error) {
	return fetch[wire.Outcome](ctx, c, http.MethodPost, "/v1/sign", &wire.SignRequest{Submission: submission, Sealed: sealed})
}

// Status returns the outcome of a submission.
func (c *Client) Status(ctx context.Context, submission string) (*wire.Outcome, error) {
	return fetch[wire.Outcome](ctx, c, http.MethodGet, "/v1/submission/"+url.PathEscape(submission), nil)
}

// Bundle returns the bundle with a serial, or the one in force for 0.
func (c *Client) Bundle(ctx context.Context, serial uint64) (*wire.BundleReply, error) {
	return fetch[wire.BundleReply](ctx, c, http.MethodGet, fmt.Sprintf("/v1/bundle?serial=%d", serial), nil)
}

// Holdings returns the serial of the bundle that each machine has.
func (c *Client) Holdings(ctx context.Context) (*wire.HoldingsReply, error) {
	return fetch[wire.HoldingsReply](ctx, c, http.MethodGet, "/v1/holdings", nil)
}

// Odds returns the learner's state, with the odds in force.
func (c *Client) Odds(ctx context.Context) (*wire.Learning, error) {
	return fetch[wire.Learning](ctx, c, http.MethodGet, "/v1/odds", nil)
}

// Nodes returns the status of all machines as known to a core machine.
func (c *Client) Nodes(ctx context.Context) (*wire.SightRequest, error) {
	return fetch[wire.SightRequest](ctx, c, http.MethodGet, "/v1/nodes", nil)
}

// Trace returns the spans of a trace from all core machines.
func (c *Client) Trace(ctx context.Context, trace string) (*wire.TraceReply, error) {
	return fetch[wire.TraceReply](ctx, c, http.MethodGet, "/v1/trace/"+url.PathEscape(trace), nil)
}

// QueryJournals returns the events about a subject from the journals of all machines.
func (c *Client) QueryJournals(ctx context.Context, subject string) (*wire.ToldReply, error) {
	return fetch[wire.ToldReply](ctx, c, http.MethodGet, "/v1/why?subject="+url.QueryEscape(subject), nil)
}

// State returns the state of the first core machine that replies.
func (c *Client) State(ctx context.Context) (*wire.StateReply, error) {
	return fetch[wire.StateReply](ctx, c, http.MethodGet, "/v1/state", nil)
}

// Adopt makes a core machine whose disk was lost recover from the one intact disk that
// is left. See quorum.Replica.Adopt.
func (c *Client) Adopt(ctx context.Context) (*wire.StateReply, error) {
	return fetch[wire.StateReply](ctx, c, http.MethodPost, "/v1/adopt", nil)
}

// EachController iterates over the addresses of the core machines, each with a client
// of that machine only.
func (c *Client) EachController() func(yield func(string, *Client) bool) {
	return func(yield func(string, *Client) bool) {
		for _, controller := range c.Controllers {
			if !yield(controller, &Client{HTTPClient: c.HTTPClient, Controllers: []string{controller}}) {
				return
			}
		}
	}
}

// Apply drafts, signs and submits a bundle. It returns an error instead of signing if
// the bundle to sign differs from the one that the draft shows.
func (c *Client) Apply(ctx context.Context, submission string, request *wire.DraftRequest, key ed25519.PrivateKey) (*wire.Outcome, error) {
	draft, err := c.Draft(ctx, request)
	if err != nil {
		return nil, err
	}
	decoded, fault := bundle.Decode(draft.Sealed)
	if fault != nil {
		return nil, fault
	}
	if !proto.Equal(decoded, draft.Bundle) {
		return nil, errors.New("the bundle to sign differs from the one that the draft shows")
	}
	bundle.Sign(draft.Sealed, key)
	if c.OnSigned != nil {
		c.OnSigned(submission, draft.Sealed)
	}
	return c.Submit(ctx, submission, draft.Sealed)
}
