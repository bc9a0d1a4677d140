package simulate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

const (
	// recoveryTime is the minimum time that clients go on sending after faults were injected.
	recoveryTime = 10 * time.Second
	// maxBrokenSamples is the maximum number of broken responses that the summary lists.
	maxBrokenSamples = 5
)

// summary is the result of a run. It is printed as JSON.
type summary struct {
	// Incomplete counts responses that a client took for complete although they weren't.
	Incomplete int `json:"takenForWholeButNot"`
	// Calls counts all requests of clients.
	Calls int `json:"calls"`
	// Complete counts requests that got a complete response.
	Complete int `json:"whole"`
	// NotRun counts requests that failed with the outcome not-run.
	NotRun int `json:"notRun"`
	// Unknown counts requests that failed with any other outcome.
	Unknown int `json:"unknown"`
	// Broken counts requests without a valid response; BrokenSamples lists some of them.
	Broken        int      `json:"broken"`
	BrokenSamples []string `json:"brokenSamples,omitempty"`
	// Executions counts the requests that upstreams ran, RepeatedExecutions those of them that
	// had run there before.
	Executions         int `json:"ranAtUpstreams"`
	RepeatedExecutions int `json:"ranMoreThanOnce"`
	// RightParent counts the further calls of upstreams that were traced to the request that
	// caused them, WrongParent those that weren't.
	RightParent int `json:"tiedToTheRightParent"`
	WrongParent int `json:"notTiedToTheRightParent"`
	// SecondInForceAfter tells how long the roll-out of the second bundle took.
	SecondInForceAfter string `json:"secondBundleInForceAfter"`
	// SpansRecorded counts the spans that the odds were learned from.
	SpansRecorded uint64 `json:"spansRecorded"`
	// BouncesByKind counts rejected requests by kind, route, reason and second since the faults.
	BouncesByKind map[string]int `json:"bouncesByKind,omitempty"`
	// Odds are the learned sampling odds by identifier.
	Odds     map[string]float64 `json:"odds"`
	verdicts []judge.Verdict
}

// runTraffic lets clients send requests for the length given. Midway it rolls out a second
// bundle and then injects the faults asked for. It judges the history of the run.
func (f *fleet) runTraffic(s base.Scope, length time.Duration, rate float64) (*summary, error) {
	started := s.Clock.Mono()
	sending, stopSending := s.WithCancel()
	defer stopSending()
	polling, stopPolling := s.WithCancel()
	defer stopPolling()
	go f.pollNodes(polling)
	clients := f.startClients(s, sending, rate)
	base.Await(sending, length/2)
	sum := &summary{BouncesByKind: map[string]int{}, Odds: map[string]float64{}}
	if err := f.rollOutSecond(s, sum); err != nil {
		return nil, err
	}
	faultsStarted := s.Clock.Mono()
	if err := f.injectFaults(s); err != nil {
		return nil, err
	}
	remaining := length - (s.Clock.Mono() - started)
	if f.args.Trouble != "none" {
		remaining = max(remaining, recoveryTime)
	}
	base.Await(s, remaining)
	stopSending()
	clients.Wait()
	stopPolling()
	if err := f.collectHistory(s); err != nil {
		return nil, err
	}
	sum.verdicts = judge.Check(f.history, judge.DefaultBounds())
	for _, call := range f.history.Calls() {
		sum.addCall(call, faultsStarted)
	}
	sum.BrokenSamples = sum.BrokenSamples[:min(len(sum.BrokenSamples), maxBrokenSamples)]
	return sum, f.addCounters(s, sum)
}

// startClients starts clients at each node, which send requests until the scope sending ends.
func (f *fleet) startClients(s, sending base.Scope, rate float64) *base.Group {
	clients := &base.Group{}
	for _, each := range f.nodes {
		nodeClients := &standin.Clients{Scope: s, Name: each.Name, NodeAddress: each.address(clientsPort), Rate: rate / float64(len(f.nodes)), Plan: f.requests, History: f.history}
		clients.Go(func() { nodeClients.Run(sending) })
	}
	return clients
}

// rollOutSecond rolls out the second bundle and records how long that took.
func (f *fleet) rollOutSecond(s base.Scope, sum *summary) error {
	started := time.Now()
	outcome, err := f.applyChange(s, "second", 1)
	if err != nil {
		return err
	}
	if outcome.Verdict != wire.Verdict_TAKEN {
		return errors.Errorf("the second bundle was not accepted: %s", outcome)
	}
	acked := time.Now()
	if err := f.waitUntil(s, "the second bundle in force", func() bool { return f.allNodesOn(2) }); err != nil {
		return err
	}
	sum.SecondInForceAfter = fmt.Sprintf("%dms after its ack, %dms after its draft", time.Since(acked).Milliseconds(), time.Since(started).Milliseconds())
	return nil
}

// injectFaults runs the fault scenario asked for. The history marks its duration as a disturbance,
// which excuses failures; a rolling restart is planned work and excuses none.
func (f *fleet) injectFaults(s base.Scope) error {
	end := func() {}
	if f.args.Trouble != "none" && f.args.Trouble != "roll" {
		end = f.history.RecordDisturbance("drill", f.args.Trouble, false)
	}
	if err := faultScenarios[f.args.Trouble](f, s); err != nil {
		return err
	}
	end()
	f.history.RecordReturn()
	return nil
}

// addCall counts a request as its client saw it.
func (sum *summary) addCall(call judge.Call, faultsStarted time.Duration) {
	sum.Calls++
	if call.Kind != "" {
		sum.BouncesByKind[fmt.Sprintf("%s of %s (%s) in second %d", call.Kind, call.Route, call.Reason, (call.Started-faultsStarted)/time.Second)]++
	}
	switch {
	case call.Broken != "":
		sum.Broken++
		if strings.HasPrefix(call.Broken, "not whole") {
			sum.Incomplete++
		}
		sum.BrokenSamples = append(sum.BrokenSamples, call.Route+" "+call.Broken)
	case call.Outcome == "not-run":
		sum.NotRun++
	case call.Outcome != "":
		sum.Unknown++
	default:
		sum.Complete++
	}
}

// addCounters adds the counters of the upstreams, the learned odds and their span counts.
func (f *fleet) addCounters(s base.Scope, sum *summary) error {
	for _, each := range f.instances {
		var counts standin.Counts
		if err := f.getJSON("http://"+each.address+"/mime/counts", &counts); err != nil {
			return err
		}
		sum.Executions += counts.Ran
		sum.RepeatedExecutions += counts.Repeated
		sum.RightParent += counts.CorrectTrace
		sum.WrongParent += counts.OtherTrace
	}
	learning, err := f.client.Odds(s)
	if err != nil {
		return err
	}
	for _, belief := range learning.Beliefs {
		sum.Odds[belief.Identifier] = belief.Odds
		sum.SpansRecorded += belief.Samples
	}
	return nil
}

// getJSON decodes the JSON at an address.
func (f *fleet) getJSON(address string, into any) error {
	response, err := f.httpClient.Get(address)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// collectHistory adds what upstreams, nodes and core machines recorded to the history. Times in
// the nodes' journals are wall-clock times and are converted to the monotonic clock of the
// history.
func (f *fleet) collectHistory(s base.Scope) error {
	for _, each := range f.instances {
		if err := f.collectRuns(each); err != nil {
			return err
		}
	}
	wall, mono := time.Now(), f.history.Now()
	for _, m := range f.nodes {
		var events []base.Event
		if err := f.getJSON("http://"+m.address(opsPort)+"/journal", &events); err != nil {
			return err
		}
		for _, event := range events {
			f.history.RecordEvent(m.Name, event.Topic, event.Subject, event.Detail, mono-wall.Sub(event.At))
		}
	}
	for _, controller := range f.client.Controllers {
		client := *f.client
		client.Controllers = []string{controller}
		reply, err := client.Bundle(s, 0)
		f.history.RecordReadback(controller, reply.GetSerial(), reply.GetSealed(), err)
	}
	return nil
}

// collectRuns adds the requests that an instance recorded in its file. Lines that can't be
// decoded are skipped, as the instance may have been killed while writing.
func (f *fleet) collectRuns(each *instance) error {
	body, err := os.ReadFile(f.runsFile(each))
	if err != nil {
		return err
	}
	for line := range bytes.Lines(body) {
		var run judge.Run
		if json.Unmarshal(line, &run) == nil {
			f.history.RecordRun(run)
		}
	}
	return nil
}

// pollNodes records every 100 ms which bundle each node serves, until the scope ends.
func (f *fleet) pollNodes(s base.Scope) {
	base.Tick(s, 100*time.Millisecond, func(base.Scope) {
		base.Parallel(f.nodes, func(m *machine) { f.ready(m, opsPort) })
	})
}

// allNodesOn reports whether every node is ready with the serial or a newer one.
func (f *fleet) allNodesOn(serial uint64) bool {
	for _, each := range f.nodes {
		if at, ready := f.ready(each, opsPort); !ready || at < serial {
			return false
		}
	}
	return true
}

// check returns an error if the run broke a rule, gave a rule nothing to judge, or left too many
// requests without a response: 99% must succeed, or 50% in a smoke run.
func (s *summary) check(smoke bool) error {
	if broken := judge.Violations(s.verdicts); len(broken) > 0 {
		return errors.Errorf("%d violations of the rules, the first: %s", len(broken), broken[0])
	}
	if vacuous := judge.Vacuous(s.verdicts, judge.RunOnce, judge.WholeAnswers, judge.AllowedServices, judge.InForce, judge.NoRegression, judge.SingleAck, judge.Durability, judge.Recovery); len(vacuous) > 0 {
		return errors.Errorf("the run has no observations to check these rules: %v", vacuous)
	}
	minPercent := 99
	if smoke {
		minPercent = 50
	}
	switch {
	case s.Calls == 0:
		return errors.New("no request was made")
	case s.Incomplete > 0:
		return errors.Errorf("%d responses taken for complete were not", s.Incomplete)
	case s.Complete*100 < s.Calls*minPercent:
		return errors.Errorf("only %d of %d requests got a complete response", s.Complete, s.Calls)
	case len(s.Odds) == 0:
		return errors.New("no sampling odds were learned")
	}
	return nil
}
