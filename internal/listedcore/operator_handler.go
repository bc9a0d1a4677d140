package listedcore

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire"
)

// OperatorHandler returns the handler of the HTTP API for operators.
func OperatorHandler(c *ControlPlane) http.Handler {
	mux := http.NewServeMux()
	serve := func(pattern string, handle endpoint.Endpoint, decode httptransport.DecodeRequestFunc) {
		mux.Handle(pattern, httptransport.NewServer(handle, decode, encodeReply, httptransport.ServerErrorEncoder(encodeError)))
	}
	serve("POST /v1/draft", func(ctx context.Context, request any) (any, error) {
		return c.Draft(ctx, request.(*wire.DraftRequest))
	}, c.bodyDecoder(func() proto.Message { return &wire.DraftRequest{} }))
	serve("POST /v1/sign", func(ctx context.Context, request any) (any, error) {
		return c.Submit(ctx, request.(*wire.SignRequest))
	}, c.bodyDecoder(func() proto.Message { return &wire.SignRequest{} }))
	serve("GET /v1/submission/{id}", func(ctx context.Context, request any) (any, error) {
		return c.Status(ctx, request.(*http.Request).PathValue("id"))
	}, rawRequest)
	serve("GET /v1/bundle", func(ctx context.Context, request any) (any, error) {
		serial, err := strconv.ParseUint("0"+request.(*http.Request).URL.Query().Get("serial"), 10, 64)
		if err != nil {
			return nil, base.NewFault(base.Malformed, "serial", "%s", err)
		}
		return c.Read(ctx, serial)
	}, rawRequest)
	serve("GET /v1/holdings", func(ctx context.Context, _ any) (any, error) { return c.Holdings(ctx), nil }, rawRequest)
	serve("GET /v1/odds", func(context.Context, any) (any, error) {
		if learning := c.Learning(); learning != nil {
			return learning, nil
		}
		return &wire.Learning{}, nil
	}, rawRequest)
	serve("GET /v1/nodes", func(context.Context, any) (any, error) {
		return &wire.SightRequest{Watcher: c.self, Sightings: slices.Collect(c.member.View().All())}, nil
	}, rawRequest)
	serve("GET /v1/trace/{id}", func(ctx context.Context, request any) (any, error) {
		return c.Trace(ctx, request.(*http.Request).PathValue("id")), nil
	}, rawRequest)
	serve("GET /v1/why", func(ctx context.Context, request any) (any, error) {
		s, cancel := c.scope.WithContext(ctx).WithTimeout(c.inForceBound / 2)
		defer cancel()
		return c.member.QueryAll(s, &wire.TellRequest{Subject: request.(*http.Request).URL.Query().Get("subject")}), nil
	}, rawRequest)
	serve("GET /v1/state", func(context.Context, any) (any, error) { return c.State(), nil }, rawRequest)
	serve("POST /v1/adopt", func(ctx context.Context, _ any) (any, error) {
		if !c.replica.Adopt(c.scope.WithContext(ctx)) {
			return nil, base.NewFault(base.NoState, "", "this disk could not be adopted now: one whole disk must be reachable")
		}
		return c.State(), nil
	}, rawRequest)
	mux.HandleFunc("GET /v1/journal", func(w http.ResponseWriter, r *http.Request) {
		httpserver.ReplyJSON(w, http.StatusOK, slices.Collect(c.scope.Journal.Events(r.URL.Query().Get("subject"))))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		httpserver.ReplyJSON(w, http.StatusOK, c.scope.Journal.Counts())
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		status := http.StatusOK
		if !c.Ready() {
			status = http.StatusServiceUnavailable
		}
		httpserver.ReplyJSON(w, status, map[string]any{"ready": c.Ready(), "name": c.self})
	})
	return mux
}

// State returns the state of this machine's disk, of the roll-out, of the learner and
// of each stored key, as this machine knows them.
func (c *ControlPlane) State() *wire.StateReply {
	view := c.Chosen()
	reply := &wire.StateReply{Keel: c.self, Phase: strings.ToLower(c.replica.Store().Phase().String()), Committed: view.committed, Staged: view.staged, Learner: c.Learning().GetHolder(), Owed: uint32(c.traces.PendingCopies())}
	for _, key := range c.replica.Store().Keys() {
		owner, epoch, _ := c.replica.Owner(key)
		_, entry := c.replica.Store().Peek(key)
		reply.Keys = append(reply.Keys, &wire.KeyState{Key: key, Owner: owner.Name, Epoch: epoch.GetNumber(), Serial: entry.GetSerial(), Sick: c.replica.Store().IsDamaged(key), Copies: uint32(c.replica.Copies(key))})
	}
	return reply
}

// Trace returns the spans of a trace from all core machines that reply in time,
// without duplicates.
func (c *ControlPlane) Trace(ctx context.Context, trace string) *wire.TraceReply {
	s, cancel := c.scope.WithContext(ctx).WithTimeout(c.inForceBound / 4)
	defer cancel()
	seen := map[string]bool{}
	reply := &wire.TraceReply{}
	for _, client := range c.traceClients {
		found, err := client.Trace(s, connect.NewRequest(&wire.TraceRequest{Trace: trace}))
		if err != nil {
			continue
		}
		for _, span := range found.Msg.Spans {
			if !seen[span.Id] {
				seen[span.Id] = true
				reply.Spans = append(reply.Spans, span)
			}
		}
	}
	return reply
}

// bodyDecoder returns a decoder of JSON request bodies. The size limit is twice that
// of a bundle, which leaves room for the JSON encoding.
func (c *ControlPlane) bodyDecoder(newMessage func() proto.Message) httptransport.DecodeRequestFunc {
	return func(_ context.Context, r *http.Request) (any, error) {
		body, err := io.ReadAll(io.LimitReader(r.Body, int64(2*c.limits.Bytes)+1))
		if err != nil {
			return nil, base.NewFault(base.Malformed, "", "%s", err)
		}
		if len(body) > 2*c.limits.Bytes {
			return nil, base.NewFault(base.TooLarge, "", "%d bytes at most", 2*c.limits.Bytes)
		}
		message := newMessage()
		if err := protojson.Unmarshal(body, message); err != nil {
			return nil, base.NewFault(base.Malformed, "", "%s", err)
		}
		return message, nil
	}
}

// rawRequest passes the HTTP request itself to the endpoint.
func rawRequest(_ context.Context, r *http.Request) (any, error) { return r, nil }

// encodeReply writes a reply as JSON. The status of an outcome depends on its verdict.
func encodeReply(_ context.Context, w http.ResponseWriter, response any) error {
	body, err := protojson.MarshalOptions{EmitUnpopulated: false}.Marshal(response.(proto.Message))
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	if outcome, ok := response.(*wire.Outcome); ok {
		w.WriteHeader(outcomeStatus(outcome))
	}
	_, err = w.Write(append(body, '\n'))
	return err
}

// outcomeStatus returns the HTTP status of an outcome: 202 if there is no decision yet.
func outcomeStatus(outcome *wire.Outcome) int {
	switch outcome.Verdict {
	case wire.Verdict_TAKEN:
		return http.StatusOK
	case wire.Verdict_BOUNCED:
		if answer, ok := base.HTTPResponses[base.Kind(outcome.GetMishap().GetKind())]; ok {
			return answer.Status
		}
	}
	return http.StatusAccepted
}

// encodeError writes an error as a JSON object with the fault.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	fault := base.FaultOf(err)
	httpserver.ReplyJSON(w, base.HTTPResponses[fault.Kind].Status, map[string]any{"verdict": "BOUNCED", "mishap": fault})
}
