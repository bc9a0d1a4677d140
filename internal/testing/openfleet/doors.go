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

func sorted[V any](rows map[string]V) []string { return slices.Sorted(maps.Keys(rows)) }

func control(n *dataplane.Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /berths/{id}", func(w http.ResponseWriter, r *http.Request) {
		instance := &wire.Instance{}
		if err := json.NewDecoder(r.Body).Decode(instance); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if fault := n.Heartbeat(instance); fault != nil {
			w.WriteHeader(http.StatusUnprocessableEntity)
		}
	})
	mux.HandleFunc("DELETE /berths/{id}", func(w http.ResponseWriter, r *http.Request) {
		if fault := n.Leave(r.PathValue("id")); fault != nil {
			w.WriteHeader(http.StatusUnprocessableEntity)
		}
	})
	return mux
}

func desk(m *controlplane.Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /configuration", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		proposal := &wire.ConfigurationProposal{}
		if err != nil || proto.Unmarshal(body, proposal) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		outcome, err := m.Propose(r.Context(), proposal)
		answer(w, outcome, err)
	})
	mux.HandleFunc("GET /configuration", func(w http.ResponseWriter, r *http.Request) {
		configuration, err := m.Configuration(r.Context())
		answer(w, configuration, err)
	})
	return mux
}

func answer(w http.ResponseWriter, message proto.Message, err error) {
	if err != nil {
		w.WriteHeader(base.Answers[base.FaultOf(err).Kind].Status)
		return
	}
	body, _ := proto.Marshal(message)
	_, _ = w.Write(body)
}

// Operator sends a proposal from control machine to control machine until one gives a clear answer.
type Operator struct {
	fleet *Fleet
	scope base.Scope
	web   *http.Client
}

// NewOperator returns a client of the control plane for one operator, with a call timeout of 1 s.
func (f *Fleet) NewOperator(name string) *Operator {
	s := f.scope("operator "+name, "10.9.9.8", f.Scope.Disk, f.Scope.Clock, f.Scope.Journal)
	return &Operator{fleet: f, scope: s, web: &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, DisableKeepAlives: true}, Timeout: time.Second}}
}

func (o *Operator) call(method, address string, body []byte, into proto.Message) error {
	request, err := http.NewRequestWithContext(o.scope, method, "http://"+address+"/configuration", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := o.web.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return proto.Unmarshal(text, into)
}

// Propose sends a proposal to one replica after the other until one returns an outcome, and records it as
// the configuration whole. An outcome with a Kind is a refusal; nil means that none came within longest, so
// that the proposal may or may not be accepted.
func (o *Operator) Propose(p *wire.ConfigurationProposal, whole *wire.Configuration, longest time.Duration) *wire.ConfigurationOutcome {
	h := o.fleet.History
	sent := &Proposal{Configuration: whole, SentAt: h.Now(), AckedAt: -1}
	note(h, &h.sent, sent)
	body, _ := proto.Marshal(p)
	at := o.scope.Rand.IntN(len(o.fleet.Controllers))
	for i := 0; h.Now()-sent.SentAt < longest; i++ {
		outcome := &wire.ConfigurationOutcome{}
		controller := o.fleet.Controllers[(at+i)%len(o.fleet.Controllers)]
		if err := o.call(http.MethodPost, controller.Address(operatorsPort), body, outcome); err != nil {
			base.Await(o.scope, time.Duration(min(50*(i+1), 500))*time.Millisecond)
			continue
		}
		h.Update(func() {
			if outcome.Kind == "" {
				sent.AckedAt = h.Now()
			} else {
				sent.Rejected = true
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
	err := o.call(http.MethodGet, controller.Address(operatorsPort), nil, configuration)
	return configuration, err
}

// PushConfiguration puts a whole configuration on top of the one that was current.
func (f *Fleet) PushConfiguration(next *wire.Configuration, longest time.Duration) *wire.ConfigurationOutcome {
	outcome := f.NewOperator("one").Propose(&wire.ConfigurationProposal{Configuration: next}, next, longest)
	if outcome != nil && outcome.Kind == "" {
		f.settle(next)
	}
	return outcome
}

func (f *Fleet) settle(next *wire.Configuration) {
	f.living.Lock()
	defer f.living.Unlock()
	if next.Serial > f.configuration.GetSerial() {
		f.configuration = next
	}
}

// ReadConfiguration asks control machines for the configuration until one answers.
func (f *Fleet) ReadConfiguration() {
	o := f.NewOperator("reader")
	for i := range 4 * len(f.Controllers) {
		controller := f.Controllers[i%len(f.Controllers)]
		configuration, err := o.ReadConfiguration(controller)
		if err != nil && i < 4*len(f.Controllers)-1 {
			f.Sleep(100 * time.Millisecond)
			continue
		}
		note(f.History, &f.History.reads, ConfigRead{f.History.Now(), controller.Name, configuration, err})
		return
	}
}
