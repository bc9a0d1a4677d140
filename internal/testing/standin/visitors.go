package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"curlewreach/base"
	"curlewreach/internal/testing/judge"
)

// PlannedRequest is a request that visitors make.
type PlannedRequest struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	Group   string `json:"group"`
	Method  string `json:"method"`
	// Path may hold {n}, a random number below 40.
	Path string `json:"path"`
	// Weight is its weight among all.
	Weight float64 `json:"part"`
}

// Clients is a stand-in for callers behind one node.
type Clients struct {
	Scope base.Scope
	Name  string
	// NodeAddress is the node's address for visitors.
	NodeAddress string
	// Rate is the mean number of requests a second.
	Rate    float64
	Plan    []PlannedRequest
	History *judge.History
	web     *http.Client
	crew    base.Group
}

// Run makes requests until the scope ends, then waits for the answers.
func (v *Clients) Run(s base.Scope) {
	v.web = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, MaxIdleConnsPerHost: 32}, Timeout: 8 * time.Second}
	gap := time.Duration(float64(time.Second) / v.Rate)
	for count := 0; ; count++ {
		base.Await(s, time.Duration((0.5+s.Rand.Float64())*float64(gap)))
		if s.Err() != nil {
			break
		}
		id := fmt.Sprintf("%s-%d-%s", v.Name, count, s.Rand.Hex(4))
		habit := v.pick(s.Rand.Float64())
		v.crew.Go(func() { v.History.RecordCall(v.Send(s, habit, id)) })
	}
	v.crew.Wait()
}

func (v *Clients) pick(at float64) PlannedRequest {
	total := 0.0
	for _, habit := range v.Plan {
		total += habit.Weight
	}
	at *= total
	for _, habit := range v.Plan {
		if at -= habit.Weight; at < 0 {
			return habit
		}
	}
	return v.Plan[0]
}

// Send makes one request of the name id and returns what came of it, with the
// answer checked for being whole and this request's.
func (v *Clients) Send(s base.Scope, habit PlannedRequest, id string) judge.Call {
	call := judge.Call{Via: v.Name, ID: id, Service: habit.Service, Route: habit.Route, Group: habit.Group, Started: s.Clock.Mono()}
	path := strings.ReplaceAll(habit.Path, "{n}", fmt.Sprint(s.Rand.IntN(40)))
	request, err := http.NewRequestWithContext(context.WithoutCancel(s), habit.Method, "http://"+v.NodeAddress+path, nil)
	if err != nil {
		call.Broken = err.Error()
		return call
	}
	if v.web == nil {
		v.web = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial}, Timeout: 8 * time.Second}
	}
	request.Header.Set(IDHeader, id)
	once(request)
	response, err := v.web.Do(request)
	if err != nil {
		call.Broken, call.Ended = err.Error(), s.Clock.Mono()
		return call
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	call.Ended = s.Clock.Mono()
	call.Status = response.StatusCode
	call.Trace = response.Header.Get("Curlew-Trace")
	call.RetryAfter = response.Header.Get("Retry-After")
	call.Outcome = response.Header.Get("Curlew-Outcome")
	var said struct{ ID, Service, Kind, Reason string }
	switch {
	case err != nil:
		call.Broken = "torn: " + err.Error()
	case json.Unmarshal(body, &said) != nil:
		call.Broken = "not whole: no JSON"
	case call.Outcome != "":
		call.Kind, call.Reason = said.Kind, said.Reason
	case said.ID != id || said.Service != habit.Service:
		call.Broken = "not whole: someone else's answer"
	case !sound(response.Header.Get("Content-Digest"), body):
		call.Broken = "not whole: digest"
	}
	return call
}

// once gives a request a body that can't be replayed, so that the HTTP client
// doesn't repeat it by itself.
func once(request *http.Request) {
	request.Body, request.GetBody = io.NopCloser(strings.NewReader("")), nil
}

// sound reports whether a Content-Digest header matches the body.
func sound(header string, body []byte) bool {
	digest := sha256.Sum256(body)
	given, err := base64.StdEncoding.DecodeString(strings.Trim(strings.TrimPrefix(header, "sha-256="), ":"))
	return err == nil && bytes.Equal(given, digest[:])
}
