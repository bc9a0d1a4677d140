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

// ClientHandler returns the handler of visitors' requests.
func (n *Node) ClientHandler() http.Handler { return n.handler(false) }

// InstanceHandler returns the handler for instances beside this node: their reports
// and further calls.
func (n *Node) InstanceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ReportPath, n.report)
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

// OperatorHandler returns the handler for readiness and counts.
func (n *Node) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		status := http.StatusOK
		serial, digest, ready := n.Serving()
		if !ready {
			status = http.StatusServiceUnavailable
		}
		httpserver.ReplyJSON(w, status, map[string]any{"ready": ready, "name": n.self, "serial": serial, "digest": digest, "odds": n.keeper.Serial()})
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		httpserver.ReplyJSON(w, http.StatusOK, n.scope.Journal.Counts())
	})
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, r *http.Request) {
		httpserver.ReplyJSON(w, http.StatusOK, slices.Collect(n.scope.Journal.Events(r.URL.Query().Get("subject"))))
	})
	return mux
}

func (n *Node) report(w http.ResponseWriter, r *http.Request) {
	var said struct {
		Service  string  `json:"service"`
		Address  string  `json:"address"`
		Zone     string  `json:"zone"`
		Capacity uint32  `json:"capacity"`
		Leaving  bool    `json:"leaving"`
		Weight   float64 `json:"weight"`
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4096))
	if err == nil {
		err = json.Unmarshal(body, &said)
	}
	if err == nil {
		err = validation.Errors{
			"service":  validation.Validate(said.Service, validation.Required, base.IsName),
			"address":  validation.Validate(said.Address, validation.Required, base.IsAddress),
			"zone":     validation.Validate(said.Zone, base.IsName),
			"capacity": validation.Validate(said.Capacity, validation.Max(uint32(mostCapacity))),
			"weight":   validation.Validate(said.Weight, validation.Min(0.0), validation.Max(float64(mostWeight))),
		}.Filter()
	}
	if err != nil {
		rejectTo(w, base.NewFault(base.Malformed, "", "%s", strings.Join(base.ErrorLines(err), "; ")))
		return
	}
	seat := &wire.Seat{Service: said.Service, Address: said.Address, Zone: said.Zone, Capacity: max(said.Capacity, 1), Leaving: said.Leaving, Weight: max(said.Weight, 0)}
	if fault := n.seats.Report(n.scope.WithContext(r.Context()), seat); fault != nil {
		rejectTo(w, fault)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
