package openfleet

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/controlplane"
	"curlewreach/internal/dataplane"
	"curlewreach/proto/wire"
)

// sortedKeys returns the keys of a map in order, so that runs are reproducible.
func sortedKeys[V any](rows map[string]V) []string { return slices.Sorted(maps.Keys(rows)) }

// nodeControlHandler serves a node's control endpoint for upstreams: heartbeats and departures.
func nodeControlHandler(node *dataplane.Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /berths/{id}", func(w http.ResponseWriter, r *http.Request) {
		instance := &wire.Instance{}
		if err := json.NewDecoder(r.Body).Decode(instance); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if fault := node.Heartbeat(instance); fault != nil {
			w.WriteHeader(http.StatusUnprocessableEntity)
		}
	})
	mux.HandleFunc("DELETE /berths/{id}", func(w http.ResponseWriter, r *http.Request) {
		if fault := node.Leave(r.PathValue("id")); fault != nil {
			w.WriteHeader(http.StatusUnprocessableEntity)
		}
	})
	return mux
}

// operatorHandler serves a control plane replica's operator endpoint, with protobuf bodies.
func operatorHandler(server *controlplane.Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /configuration", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		proposal := &wire.ConfigurationProposal{}
		if err != nil || proto.Unmarshal(body, proposal) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		outcome, err := server.Propose(r.Context(), proposal)
		writeReply(w, outcome, err)
	})
	mux.HandleFunc("GET /configuration", func(w http.ResponseWriter, r *http.Request) {
		configuration, err := server.Configuration(r.Context())
		writeReply(w, configuration, err)
	})
	return mux
}

// writeReply writes a protobuf message, or the HTTP status that belongs to the error's kind.
func writeReply(w http.ResponseWriter, message proto.Message, err error) {
	if err != nil {
		w.WriteHeader(base.HTTPResponses[base.FaultOf(err).Kind].Status)
		return
	}
	body, _ := proto.Marshal(message)
	_, _ = w.Write(body)
}

// Operator is a client of the control plane that proposes and reads configurations.
type Operator struct {
	fleet      *Fleet
	scope      base.Scope
	httpClient *http.Client
}

// NewOperator returns a client of the control plane for one operator, with a call timeout of 1 s.
func (f *Fleet) NewOperator(name string) *Operator {
	s := f.newScope("operator "+name, "10.9.9.8", f.Scope.Disk, f.Scope.Clock, f.Scope.Journal)
	return &Operator{fleet: f, scope: s, httpClient: &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, DisableKeepAlives: true}, Timeout: time.Second}}
}

// call makes one HTTP call and decodes the response into a message. A status other than 200 is an error.
func (o *Operator) call(method, address string, body []byte, into proto.Message) error {
	request, err := http.NewRequestWithContext(o.scope, method, "http://"+address+"/configuration", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := o.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return proto.Unmarshal(responseBody, into)
}

// Propose sends a proposal to one replica after the other until one returns an outcome, and records it as a proposal of
// configuration. An outcome with a Kind is a rejection; nil means that no outcome came within timeout, so that the
// proposal may or may not be accepted.
func (o *Operator) Propose(request *wire.ConfigurationProposal, configuration *wire.Configuration, timeout time.Duration) *wire.ConfigurationOutcome {
	h := o.fleet.History
	proposal := &Proposal{Configuration: configuration, SentAt: h.Now(), AckedAt: -1}
	appendRecord(h, &h.proposals, proposal)
	body, _ := proto.Marshal(request)
	first := o.scope.Rand.IntN(len(o.fleet.Controllers))
	for i := 0; h.Now()-proposal.SentAt < timeout; i++ {
		outcome := &wire.ConfigurationOutcome{}
		controller := o.fleet.Controllers[(first+i)%len(o.fleet.Controllers)]
		if err := o.call(http.MethodPost, controller.Address(operatorPort), body, outcome); err != nil {
			base.Await(o.scope, time.Duration(min(50*(i+1), 500))*time.Millisecond)
			continue
		}
		h.Update(func() {
			if outcome.Kind == "" {
				proposal.AckedAt = h.Now()
			} else {
				proposal.Rejected = true
			}
		})
		return outcome
	}
	return nil
}

// ReadConfiguration returns the configuration that one control plane replica serves. It fails on a transport error, a
// status other than 200 or a malformed body.
func (o *Operator) ReadConfiguration(controller *Machine) (*wire.Configuration, error) {
	configuration := &wire.Configuration{}
	err := o.call(http.MethodGet, controller.Address(operatorPort), nil, configuration)
	return configuration, err
}

// PushConfiguration proposes a configuration and makes it the fleet's current one if it is accepted. It returns nil if
// no outcome came within timeout.
func (f *Fleet) PushConfiguration(next *wire.Configuration, timeout time.Duration) *wire.ConfigurationOutcome {
	outcome := f.NewOperator("one").Propose(&wire.ConfigurationProposal{Configuration: next}, next, timeout)
	if outcome != nil && outcome.Kind == "" {
		f.recordAccepted(next)
	}
	return outcome
}

// recordAccepted makes an accepted configuration the fleet's current one, unless a newer one is.
func (f *Fleet) recordAccepted(next *wire.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Serial > f.configuration.GetSerial() {
		f.configuration = next
	}
}

// ReadConfiguration reads the configuration from one replica after the other until one answers, at most four times
// each, and records the result.
func (f *Fleet) ReadConfiguration() {
	o := f.NewOperator("reader")
	for i := range 4 * len(f.Controllers) {
		controller := f.Controllers[i%len(f.Controllers)]
		configuration, err := o.ReadConfiguration(controller)
		if err != nil && i < 4*len(f.Controllers)-1 {
			f.Sleep(100 * time.Millisecond)
			continue
		}
		appendRecord(f.History, &f.History.configReads, ConfigRead{f.History.Now(), controller.Name, configuration, err})
		return
	}
}
