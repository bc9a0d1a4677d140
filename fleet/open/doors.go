package open

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
		berth := &wire.Berth{}
		if err := json.NewDecoder(r.Body).Decode(berth); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if mishap := n.Beat(berth); mishap != nil {
			w.WriteHeader(http.StatusUnprocessableEntity)
		}
	})
	mux.HandleFunc("DELETE /berths/{id}", func(w http.ResponseWriter, r *http.Request) {
		if mishap := n.Leave(r.PathValue("id")); mishap != nil {
			w.WriteHeader(http.StatusUnprocessableEntity)
		}
	})
	return mux
}

func desk(m *controlplane.Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chart", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		proposal := &wire.ChartProposal{}
		if err != nil || proto.Unmarshal(body, proposal) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		outcome, err := m.Propose(r.Context(), proposal)
		answer(w, outcome, err)
	})
	mux.HandleFunc("GET /chart", func(w http.ResponseWriter, r *http.Request) {
		chart, err := m.Chart(r.Context())
		answer(w, chart, err)
	})
	return mux
}

func answer(w http.ResponseWriter, message proto.Message, err error) {
	if err != nil {
		w.WriteHeader(base.Answers[base.MishapOf(err).Kind].Status)
		return
	}
	body, _ := proto.Marshal(message)
	_, _ = w.Write(body)
}

// Operator sends a proposal from keel to keel until one gives a clear answer.
type Operator struct {
	fleet *Fleet
	scope base.Scope
	web   *http.Client
}

// Operator returns a client of the control plane for one operator, with a call timeout of 1 s.
func (f *Fleet) Operator(name string) *Operator {
	s := f.scope("operator "+name, "10.9.9.8", f.Scope.Disk, f.Scope.Clock, f.Scope.Journal)
	return &Operator{fleet: f, scope: s, web: &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, DisableKeepAlives: true}, Timeout: time.Second}}
}

func (o *Operator) call(method, address string, body []byte, into proto.Message) error {
	request, err := http.NewRequestWithContext(o.scope, method, "http://"+address+"/chart", bytes.NewReader(body))
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
func (o *Operator) Propose(p *wire.ChartProposal, whole *wire.Chart, longest time.Duration) *wire.ChartOutcome {
	h := o.fleet.History
	sent := &Sent{Chart: whole, At: h.Now(), Acked: -1}
	note(h, &h.sent, sent)
	body, _ := proto.Marshal(p)
	at := o.scope.Rand.Below(len(o.fleet.Keels))
	for i := 0; h.Now()-sent.At < longest; i++ {
		outcome := &wire.ChartOutcome{}
		keel := o.fleet.Keels[(at+i)%len(o.fleet.Keels)]
		if err := o.call(http.MethodPost, keel.At(operatorsPort), body, outcome); err != nil {
			base.Await(o.scope, time.Duration(min(50*(i+1), 500))*time.Millisecond)
			continue
		}
		h.Mark(func() {
			if outcome.Kind == "" {
				sent.Acked = h.Now()
			} else {
				sent.Refused = true
			}
		})
		return outcome
	}
	return nil
}

// Read returns the configuration that one control plane replica serves. It fails on a transport error, a
// status other than 200 or a malformed body.
func (o *Operator) Read(keel *Machine) (*wire.Chart, error) {
	chart := &wire.Chart{}
	err := o.call(http.MethodGet, keel.At(operatorsPort), nil, chart)
	return chart, err
}

// Push puts a whole chart on top of the one that was current.
func (f *Fleet) Push(next *wire.Chart, longest time.Duration) *wire.ChartOutcome {
	outcome := f.Operator("one").Propose(&wire.ChartProposal{Chart: next}, next, longest)
	if outcome != nil && outcome.Kind == "" {
		f.settle(next)
	}
	return outcome
}

func (f *Fleet) settle(next *wire.Chart) {
	f.living.Lock()
	defer f.living.Unlock()
	if next.Serial > f.chart.GetSerial() {
		f.chart = next
	}
}

// ReadBack asks keels for the chart until one answers.
func (f *Fleet) ReadBack() {
	o := f.Operator("reader")
	for i := range 4 * len(f.Keels) {
		keel := f.Keels[i%len(f.Keels)]
		chart, err := o.Read(keel)
		if err != nil && i < 4*len(f.Keels)-1 {
			f.Pass(100 * time.Millisecond)
			continue
		}
		note(f.History, &f.History.reads, Readback{f.History.Now(), keel.Name, chart, err})
		return
	}
}
