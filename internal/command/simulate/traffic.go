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
	// recoveryTime is the least time that visitors go on calling after a trouble.
	recoveryTime = 10 * time.Second
	// maxBrokenSamples is the most broken answers that the summary shows.
	maxBrokenSamples = 5
)

type summary struct {
	Incomplete         int                `json:"takenForWholeButNot"`
	Calls              int                `json:"calls"`
	Complete           int                `json:"whole"`
	NotRun             int                `json:"notRun"`
	Unknown            int                `json:"unknown"`
	Broken             int                `json:"broken"`
	BrokenSamples      []string           `json:"brokenSamples,omitempty"`
	Executions         int                `json:"ranAtUpstreams"`
	RepeatedExecutions int                `json:"ranMoreThanOnce"`
	RightParent        int                `json:"tiedToTheRightParent"`
	WrongParent        int                `json:"notTiedToTheRightParent"`
	SecondInForceAfter string             `json:"secondBundleInForceAfter"`
	SpansRecorded      uint64             `json:"spansRecorded"`
	BouncesByKind      map[string]int     `json:"bouncesByKind,omitempty"`
	Odds               map[string]float64 `json:"odds"`
	verdicts           []judge.Verdict
}

// runTraffic lets visitors call for the length given, changes the configuration and
// causes the trouble midway, and judges what came of it.
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
	sum.verdicts = judge.Check(f.history, judge.Brief())
	for _, call := range f.history.Calls() {
		sum.addCall(call, faultsStarted)
	}
	sum.BrokenSamples = sum.BrokenSamples[:min(len(sum.BrokenSamples), maxBrokenSamples)]
	return sum, f.addCounters(s, sum)
}

// startClients starts visitors behind each node, who make requests until visiting ends.
func (f *fleet) startClients(s, sending base.Scope, rate float64) *base.Group {
	clients := &base.Group{}
	for _, each := range f.nodes {
		visitors := &standin.Visitors{Scope: s, Name: each.Name, To: each.address(clientsPort), Rate: rate / float64(len(f.nodes)), Habits: f.requests, History: f.history}
		clients.Go(func() { visitors.Run(sending) })
	}
	return clients
}

// rollOutSecond rolls out the second bundle and notes how long that took.
func (f *fleet) rollOutSecond(s base.Scope, sum *summary) error {
	begun := time.Now()
	outcome, err := f.applyChange(s, "second", 1)
	if err != nil {
		return err
	}
	if outcome.Verdict != wire.Verdict_TAKEN {
		return errors.Errorf("the second bundle was not taken: %s", outcome)
	}
	acked := time.Now()
	if err := f.waitUntil(s, "the second bundle in force", func() bool { return f.allNodesOn(2) }); err != nil {
		return err
	}
	sum.SecondInForceAfter = fmt.Sprintf("%dms after its ack, %dms after its draft", time.Since(acked).Milliseconds(), time.Since(begun).Milliseconds())
	return nil
}

// injectFaults causes the trouble asked for. A roll is planned, so it excuses nothing.
func (f *fleet) injectFaults(s base.Scope) error {
	end := func() {}
	if f.args.Trouble != "none" && f.args.Trouble != "roll" {
		end = f.history.Spell("drill", f.args.Trouble, false)
	}
	if err := faultScenarios[f.args.Trouble](f, s); err != nil {
		return err
	}
	end()
	f.history.Returned()
	return nil
}

func (sum *summary) addCall(call judge.Call, faultsStarted time.Duration) {
	sum.Calls++
	if call.Kind != "" {
		sum.BouncesByKind[fmt.Sprintf("%s of %s (%s) in second %d", call.Kind, call.Route, call.Reason, (call.Begun-faultsStarted)/time.Second)]++
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

// addCounters adds what the upstreams counted and what was learned.
func (f *fleet) addCounters(s base.Scope, sum *summary) error {
	for _, each := range f.instances {
		var counts standin.Counts
		if err := f.getJSON("http://"+each.address+"/mime/counts", &counts); err != nil {
			return err
		}
		sum.Executions += counts.Ran
		sum.RepeatedExecutions += counts.Repeated
		sum.RightParent += counts.TiedWell
		sum.WrongParent += counts.TiedElse
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

// collectHistory adds to the history what upstreams, nodes and core machines have.
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
			f.history.Fold(m.Name, event.Topic, event.Subject, event.Detail, mono-wall.Sub(event.At))
		}
	}
	for _, controller := range f.client.Controllers {
		one := *f.client
		one.Controllers = []string{controller}
		reply, err := one.Show(s, 0)
		f.history.ReadBack(controller, reply.GetSerial(), reply.GetSealed(), err)
	}
	return nil
}

func (f *fleet) collectRuns(each *instance) error {
	body, err := os.ReadFile(f.runsFile(each))
	if err != nil {
		return err
	}
	for line := range bytes.Lines(body) {
		var run judge.Run
		if json.Unmarshal(line, &run) == nil {
			f.history.Ran(run)
		}
	}
	return nil
}

func (f *fleet) pollNodes(s base.Scope) {
	base.Tick(s, 100*time.Millisecond, func(base.Scope) {
		base.Parallel(f.nodes, func(m *machine) { f.ready(m, opsPort) })
	})
}

func (f *fleet) allNodesOn(serial uint64) bool {
	for _, each := range f.nodes {
		if at, ready := f.ready(each, opsPort); !ready || at < serial {
			return false
		}
	}
	return true
}

func (s *summary) check(smoke bool) error {
	if broken := judge.Broken(s.verdicts); len(broken) > 0 {
		return errors.Errorf("%d breaches, first: %s", len(broken), broken[0])
	}
	if vacuous := judge.Vacuous(s.verdicts, judge.RanTwice, judge.Whole, judge.Allowed, judge.InForce, judge.SlideBack, judge.OneAck, judge.ReadBack, judge.Returns); len(vacuous) > 0 {
		return errors.Errorf("nothing to judge for %v", vacuous)
	}
	minPercent := 99
	if smoke {
		minPercent = 50
	}
	switch {
	case s.Calls == 0:
		return errors.New("no call was made")
	case s.Incomplete > 0:
		return errors.Errorf("%d answers were not whole", s.Incomplete)
	case s.Complete*100 < s.Calls*minPercent:
		return errors.Errorf("only %d of %d calls got their answer", s.Complete, s.Calls)
	case len(s.Odds) == 0:
		return errors.New("nothing was learned")
	}
	return nil
}
