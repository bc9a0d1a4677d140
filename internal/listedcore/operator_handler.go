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

// OperatorHandler returns the handler of the server for operators.
func OperatorHandler(h *ControlPlane) http.Handler {
	mux := http.NewServeMux()
	serve := func(pattern string, ask endpoint.Endpoint, read httptransport.DecodeRequestFunc) {
		mux.Handle(pattern, httptransport.NewServer(ask, read, encode, httptransport.ServerErrorEncoder(refuse)))
	}
	serve("POST /v1/draft", func(ctx context.Context, request any) (any, error) {
		return h.Draft(ctx, request.(*wire.DraftRequest))
	}, h.decode(func() proto.Message { return &wire.DraftRequest{} }))
	serve("POST /v1/sign", func(ctx context.Context, request any) (any, error) {
		return h.Submit(ctx, request.(*wire.SignRequest))
	}, h.decode(func() proto.Message { return &wire.SignRequest{} }))
	serve("GET /v1/submission/{id}", func(ctx context.Context, request any) (any, error) {
		return h.Status(ctx, request.(*http.Request).PathValue("id"))
	}, whole)
	serve("GET /v1/bundle", func(ctx context.Context, request any) (any, error) {
		serial, err := strconv.ParseUint("0"+request.(*http.Request).URL.Query().Get("serial"), 10, 64)
		if err != nil {
			return nil, base.NewFault(base.Malformed, "serial", "%s", err)
		}
		return h.Read(ctx, serial)
	}, whole)
	serve("GET /v1/holdings", func(ctx context.Context, _ any) (any, error) { return h.Holdings(ctx), nil }, whole)
	serve("GET /v1/odds", func(context.Context, any) (any, error) {
		if learning := h.Learning(); learning != nil {
			return learning, nil
		}
		return &wire.Learning{}, nil
	}, whole)
	serve("GET /v1/nodes", func(context.Context, any) (any, error) {
		return &wire.SightRequest{Watcher: h.self, Sightings: slices.Collect(h.member.View().All())}, nil
	}, whole)
	serve("GET /v1/trace/{id}", func(ctx context.Context, request any) (any, error) {
		return h.Trace(ctx, request.(*http.Request).PathValue("id")), nil
	}, whole)
	serve("GET /v1/why", func(ctx context.Context, request any) (any, error) {
		s, cancel := h.scope.WithContext(ctx).WithTimeout(h.force / 2)
		defer cancel()
		return h.member.QueryAll(s, &wire.TellRequest{Subject: request.(*http.Request).URL.Query().Get("subject")}), nil
	}, whole)
	serve("GET /v1/state", func(context.Context, any) (any, error) { return h.State(), nil }, whole)
	serve("POST /v1/adopt", func(ctx context.Context, _ any) (any, error) {
		if !h.store.Adopt(h.scope.WithContext(ctx)) {
			return nil, base.NewFault(base.NoState, "", "this disk could not be adopted now: one whole disk must be reachable")
		}
		return h.State(), nil
	}, whole)
	mux.HandleFunc("GET /v1/journal", func(w http.ResponseWriter, r *http.Request) {
		httpserver.ReplyJSON(w, http.StatusOK, slices.Collect(h.scope.Journal.Events(r.URL.Query().Get("subject"))))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		httpserver.ReplyJSON(w, http.StatusOK, h.scope.Journal.Counts())
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		status := http.StatusOK
		if !h.Ready() {
			status = http.StatusServiceUnavailable
		}
		httpserver.ReplyJSON(w, status, map[string]any{"ready": h.Ready(), "name": h.self})
	})
	return mux
}

// State returns this machine's view of the stored keys.
func (h *ControlPlane) State() *wire.StateReply {
	seen := h.Chosen()
	reply := &wire.StateReply{Keel: h.self, Phase: strings.ToLower(h.store.Store().Phase().String()), Committed: seen.committed, Staged: seen.staged, Learner: h.Learning().GetHolder(), Owed: uint32(h.traces.PendingCopies())}
	for _, key := range h.store.Store().Keys() {
		owner, epoch, _ := h.store.Owner(key)
		_, entry := h.store.Store().Peek(key)
		reply.Keys = append(reply.Keys, &wire.KeyState{Key: key, Owner: owner.Name, Epoch: epoch.GetNumber(), Serial: entry.GetSerial(), Sick: h.store.Store().IsDamaged(key), Copies: uint32(h.store.Copies(key))})
	}
	return reply
}

// Trace collects a trace's spans from all core machines that answer in time.
func (h *ControlPlane) Trace(ctx context.Context, trace string) *wire.TraceReply {
	s, cancel := h.scope.WithContext(ctx).WithTimeout(h.force / 4)
	defer cancel()
	seen := map[string]bool{}
	reply := &wire.TraceReply{}
	for _, lens := range h.lenses {
		found, err := lens.Trace(s, connect.NewRequest(&wire.TraceRequest{Trace: trace}))
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

func (h *ControlPlane) decode(blank func() proto.Message) httptransport.DecodeRequestFunc {
	return func(_ context.Context, r *http.Request) (any, error) {
		body, err := io.ReadAll(io.LimitReader(r.Body, int64(2*h.limits.Bytes)+1))
		if err != nil {
			return nil, base.NewFault(base.Malformed, "", "%s", err)
		}
		if len(body) > 2*h.limits.Bytes {
			return nil, base.NewFault(base.TooLarge, "", "%d bytes at most", 2*h.limits.Bytes)
		}
		message := blank()
		if err := protojson.Unmarshal(body, message); err != nil {
			return nil, base.NewFault(base.Malformed, "", "%s", err)
		}
		return message, nil
	}
}

func whole(_ context.Context, r *http.Request) (any, error) { return r, nil }

func encode(_ context.Context, w http.ResponseWriter, response any) error {
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

func refuse(_ context.Context, err error, w http.ResponseWriter) {
	fault := base.FaultOf(err)
	httpserver.ReplyJSON(w, base.HTTPResponses[fault.Kind].Status, map[string]any{"verdict": "BOUNCED", "mishap": fault})
}
