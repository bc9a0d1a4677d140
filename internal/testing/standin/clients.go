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

// PlannedRequest is a kind of request that clients make.
type PlannedRequest struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	Group   string `json:"group"`
	Method  string `json:"method"`
	// Path may contain {n}, which stands for a random number from 0 to 39.
	Path string `json:"path"`
	// Weight is the share of such requests, relative to the weights of the others.
	Weight float64 `json:"part"`
}

// Clients makes requests through one node, as that node's clients do.
type Clients struct {
	Scope base.Scope
	Name  string
	// NodeAddress is the node's address for clients.
	NodeAddress string
	// Rate is the mean number of requests per second.
	Rate    float64
	Plan    []PlannedRequest
	History *judge.History
	client  *http.Client
	tasks   base.Group
}

// Run makes planned requests until the scope ends, then waits for the answers. The time between two requests is
// uniformly distributed from 0.5 to 1.5 times its mean.
func (c *Clients) Run(s base.Scope) {
	c.client = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial, MaxIdleConnsPerHost: 32}, Timeout: 8 * time.Second}
	interval := time.Duration(float64(time.Second) / c.Rate)
	for count := 0; ; count++ {
		base.Await(s, time.Duration((0.5+s.Rand.Float64())*float64(interval)))
		if s.Err() != nil {
			break
		}
		id := fmt.Sprintf("%s-%d-%s", c.Name, count, s.Rand.Hex(4))
		planned := c.pickRequest(s.Rand.Float64())
		c.tasks.Go(func() { c.History.RecordCall(c.Send(s, planned, id)) })
	}
	c.tasks.Wait()
}

// pickRequest maps a point from 0 to 1 to a planned request by weight.
func (c *Clients) pickRequest(point float64) PlannedRequest {
	total := 0.0
	for _, planned := range c.Plan {
		total += planned.Weight
	}
	point *= total
	for _, planned := range c.Plan {
		if point -= planned.Weight; point < 0 {
			return planned
		}
	}
	return c.Plan[0]
}

// Send makes one request with the given ID and returns what came of it. It checks that the answer is complete and that
// it is the answer to this request.
func (c *Clients) Send(s base.Scope, planned PlannedRequest, id string) judge.Call {
	call := judge.Call{Via: c.Name, ID: id, Service: planned.Service, Route: planned.Route, Group: planned.Group, Started: s.Clock.Mono()}
	path := strings.ReplaceAll(planned.Path, "{n}", fmt.Sprint(s.Rand.IntN(40)))
	request, err := http.NewRequestWithContext(context.WithoutCancel(s), planned.Method, "http://"+c.NodeAddress+path, nil)
	if err != nil {
		call.Broken = err.Error()
		return call
	}
	if c.client == nil {
		c.client = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dial}, Timeout: 8 * time.Second}
	}
	request.Header.Set(IDHeader, id)
	disableReplay(request)
	response, err := c.client.Do(request)
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
	var answer struct{ ID, Service, Kind, Reason string }
	switch {
	case err != nil:
		call.Broken = "torn: " + err.Error()
	case json.Unmarshal(body, &answer) != nil:
		call.Broken = "not whole: no JSON"
	case call.Outcome != "":
		call.Kind, call.Reason = answer.Kind, answer.Reason
	case answer.ID != id || answer.Service != planned.Service:
		call.Broken = "not whole: someone else's answer"
	case !digestMatches(response.Header.Get("Content-Digest"), body):
		call.Broken = "not whole: digest"
	}
	return call
}

// disableReplay gives a request a body that can't be replayed, so that the HTTP client doesn't retry it on its own.
func disableReplay(request *http.Request) {
	request.Body, request.GetBody = io.NopCloser(strings.NewReader("")), nil
}

// digestMatches reports whether a Content-Digest header matches the body.
func digestMatches(header string, body []byte) bool {
	digest := sha256.Sum256(body)
	expected, err := base64.StdEncoding.DecodeString(strings.Trim(strings.TrimPrefix(header, "sha-256="), ":"))
	return err == nil && bytes.Equal(expected, digest[:])
}
