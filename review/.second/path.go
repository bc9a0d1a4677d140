package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	loanInterval = 16 * time.Millisecond
	loansFor     = 10 * time.Second
	loanWork     = 60 * time.Millisecond
	// One of the ledger's two upstreams loses the answer of one in lossEvery of the requests that it runs, for lossFor,
	// beginning at lossAt: the largest dose of the site (share 0.5, x 0.05, 4 s, reset).
	lossEvery = 20
	lossAt    = 3 * time.Second
	lossFor   = 4 * time.Second
)

// prefixKinds are the routes of the case: the kind of each prefix.
var prefixKinds = map[string]string{"/loan/": "mutating", "/loan/ref/": "idempotent"}

// kindOf returns the kind of the route of a path as the pages have it: the longest prefix that begins the path wins.
func kindOf(path string) (kind string) {
	longest := ""
	for prefix := range prefixKinds {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest = prefix
		}
	}
	return prefixKinds[longest]
}

// loanConfiguration has two routes to the ledger: loans, which may run once, and readings of the reference shelf.
func loanConfiguration() map[string]any {
	configuration := ledgerConfiguration()
	configuration["Routing"] = map[string]any{
		"Fields": []string{"Name", "Host", "Prefix", "Kind", "CutoffMs", "SetpointMs", "Priority", "Tries", "Target"},
		"Records": [][]any{
			{"r-loan", routeHost, "/loan/", prefixKinds["/loan/"], 4000, 600, 1, 2, "ledger"},
			{"r-ref", routeHost, "/loan/ref/", prefixKinds["/loan/ref/"], 1200, 200, 2, 2, "ledger"},
			{"r-desk", routeHost, "/desk/", "idempotent", 3000, 500, 2, 2, "circdesk"},
		},
	}
	return configuration
}

// playPath sends loans whose path holds an encoded slash. With the trouble, an upstream runs a few of them and loses the
// answers.
func playPath(f *fleet, trouble bool) (broken bool, err error) {
	work := func(*http.Request) time.Duration { return loanWork }
	var began time.Time // set before the first loan is sent
	inTrouble := func() bool { return time.Since(began) > lossAt && time.Since(began) < lossAt+lossFor }
	lossy := f.nodes[len(f.nodes)-1]
	for _, m := range f.nodes {
		loses := func(number int) bool { return trouble && m == lossy && number%lossEvery == 0 && inTrouble() }
		if err := m.startLossyUpstream(ledgerSlots, 2*ledgerSlots, work, loses); err != nil {
			return false, err
		}
	}
	if err := f.start(loanConfiguration()); err != nil {
		return false, errNotRun{err.Error()}
	}
	var c clients
	began = time.Now()
	for i := 0; time.Since(began) < loansFor; i++ {
		r := f.newRequest("loan", http.MethodPost, 4*time.Second)
		r.path = "/loan/ref%2F" + r.id
		c.begin(f.nodes[i%2], r)
		time.Sleep(loanInterval)
	}
	c.pending.Wait()
	return f.judgeTwice(c.sent), nil
}

// judgeTwice applies the rule TWICE: a request of a mutating route runs on one upstream, once.
func (f *fleet) judgeTwice(sent []*request) (broken bool) {
	counts := map[int]int{}
	for _, r := range sent {
		ran := 0
		for _, m := range f.nodes {
			for _, each := range m.upstream.runsOf(r.id) {
				if !each.began.IsZero() {
					ran++
				}
			}
		}
		counts[ran]++
		if kindOf(r.path) == "mutating" && ran > 1 {
			f.rec.log("judge: %s %s: TWICE: its route is mutating, and it ran %d times; the client got %d", r.id, r.path, ran, r.status)
			broken = true
		}
	}
	f.rec.log("judge: %d requests; how many ran how often: %v", len(sent), counts)
	return broken
}
