package listednode

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/membership"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// ClientHandler returns the handler of clients' requests.
func (n *Node) ClientHandler() http.Handler { return n.handler(false) }

// InstanceHandler returns the handler for local instances: their reports and further calls.
func (n *Node) InstanceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ReportPath, n.handleReport)
	mux.Handle("/", n.handler(true))
	return mux
}

// PeerHandler returns the handler for other nodes.
func (n *Node) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewFlowHandler(peerServer{n}, httpserver.HandlerOptions()))
	mux.Handle(membership.Handler(n.member))
	return mux
}

// OperatorHandler returns the handler of readiness, event counts and the journal.
func (n *Node) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		status := http.StatusOK
		serial, digest, ready := n.Serving()
		if !ready {
			status = http.StatusServiceUnavailable
		}
		httpserver.ReplyJSON(w, status, map[string]any{"ready": ready, "name": n.self, "serial": serial, "digest": digest, "odds": n.sampler.Serial()})
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		httpserver.ReplyJSON(w, http.StatusOK, n.scope.Journal.Counts())
	})
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, r *http.Request) {
		httpserver.ReplyJSON(w, http.StatusOK, slices.Collect(n.scope.Journal.Events(r.URL.Query().Get("subject"))))
	})
	return mux
}

// handleReport validates and stores an instance's report.
func (n *Node) handleReport(w http.ResponseWriter, r *http.Request) {
	var input struct {
		Service  string  `json:"service"`
		Address  string  `json:"address"`
		Zone     string  `json:"zone"`
		Capacity uint32  `json:"capacity"`
		Leaving  bool    `json:"leaving"`
		Weight   float64 `json:"weight"`
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4096))
	if err == nil {
		err = json.Unmarshal(body, &input)
	}
	if err == nil {
		err = validation.Errors{
			"service":  validation.Validate(input.Service, validation.Required, base.IsName),
			"address":  validation.Validate(input.Address, validation.Required, base.IsAddress),
			"zone":     validation.Validate(input.Zone, base.IsName),
			"capacity": validation.Validate(input.Capacity, validation.Max(uint32(maxCapacity))),
			"weight":   validation.Validate(input.Weight, validation.Min(0.0), validation.Max(float64(maxWeight))),
		}.Filter()
	}
	if err != nil {
		writeFault(w, base.NewFault(base.Malformed, "", "%s", strings.Join(base.ErrorLines(err), "; ")))
		return
	}
	report := &wire.Seat{Service: input.Service, Address: input.Address, Zone: input.Zone, Capacity: max(input.Capacity, 1), Leaving: input.Leaving, Weight: max(input.Weight, 0)}
	if fault := n.instances.Report(n.scope.WithContext(r.Context()), report); fault != nil {
		writeFault(w, fault)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
