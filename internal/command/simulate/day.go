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
	// settling is the least time that visitors go on calling after a trouble.
	settling = 10 * time.Second
	// mostSamples is the most broken answers that the summary shows.
	mostSamples = 5
)

type summary struct {
	NotWhole int                `json:"takenForWholeButNot"`
	Calls    int                `json:"calls"`
	Whole    int                `json:"whole"`
	NotRun   int                `json:"notRun"`
	Unknown  int                `json:"unknown"`
	Broken   int                `json:"broken"`
	Samples  []string           `json:"brokenSamples,omitempty"`
	Ran      int                `json:"ranAtUpstreams"`
	Repeated int                `json:"ranMoreThanOnce"`
	TiedWell int                `json:"tiedToTheRightParent"`
	TiedElse int                `json:"notTiedToTheRightParent"`
	InForce  string             `json:"secondBundleInForceAfter"`
	Kept     uint64             `json:"spansRecorded"`
	Kinds    map[string]int     `json:"bouncesByKind,omitempty"`
	Odds     map[string]float64 `json:"odds"`
	verdicts []judge.Verdict
}

// day lets visitors call for the length given, changes the configuration and
// causes the trouble midway, and judges what came of it.
func (f *fleet) day(s base.Scope, length time.Duration, rate float64) (*summary, error) {
	begunDay := s.Clock.Mono()
	visiting, leave := s.WithCancel()
	defer leave()
	watching, rest := s.WithCancel()
	defer rest()
	go f.watch(watching)
	crew := f.visit(s, visiting, rate)
	base.Await(visiting, length/2)
	sum := &summary{Kinds: map[string]int{}, Odds: map[string]float64{}}
	if err := f.second(s, sum); err != nil {
		return nil, err
	}
	begunTrouble := s.Clock.Mono()
	if err := f.trouble(s); err != nil {
		return nil, err
	}
	left := length - (s.Clock.Mono() - begunDay)
	if f.args.Trouble != "none" {
		left = max(left, settling)
	}
	base.Await(s, left)
	leave()
	crew.Wait()
	rest()
	if err := f.collect(s); err != nil {
		return nil, err
	}
	sum.verdicts = judge.Check(f.history, judge.DefaultBounds())
	for _, call := range f.history.Calls() {
		sum.add(call, begunTrouble)
	}
	sum.Samples = sum.Samples[:min(len(sum.Samples), mostSamples)]
	return sum, f.ask(s, sum)
}

// visit starts visitors behind each node, who make requests until visiting ends.
func (f *fleet) visit(s, visiting base.Scope, rate float64) *base.Group {
	crew := &base.Group{}
	for _, each := range f.nodes {
		visitors := &standin.Clients{Scope: s, Name: each.Name, NodeAddress: each.at(clientsPort), Rate: rate / float64(len(f.nodes)), Plan: f.plan, History: f.history}
		crew.Go(func() { visitors.Run(visiting) })
	}
	return crew
}

// second rolls out the second bundle and notes how long that took.
func (f *fleet) second(s base.Scope, sum *summary) error {
	begun := time.Now()
	outcome, err := f.change(s, "second", 1)
	if err != nil {
		return err
	}
	if outcome.Verdict != wire.Verdict_TAKEN {
		return errors.Errorf("the second bundle was not taken: %s", outcome)
	}
	acked := time.Now()
	if err := f.until(s, "the second bundle in force", func() bool { return f.allOn(2) }); err != nil {
		return err
	}
	sum.InForce = fmt.Sprintf("%dms after its ack, %dms after its draft", time.Since(acked).Milliseconds(), time.Since(begun).Milliseconds())
	return nil
}

// trouble causes the trouble asked for. A roll is planned, so it excuses nothing.
func (f *fleet) trouble(s base.Scope) error {
	end := func() {}
	if f.args.Trouble != "none" && f.args.Trouble != "roll" {
		end = f.history.RecordDisturbance("drill", f.args.Trouble, false)
	}
	if err := troubles[f.args.Trouble](f, s); err != nil {
		return err
	}
	end()
	f.history.RecordReturn()
	return nil
}

func (sum *summary) add(call judge.Call, begunTrouble time.Duration) {
	sum.Calls++
	if call.Kind != "" {
		sum.Kinds[fmt.Sprintf("%s of %s (%s) in second %d", call.Kind, call.Route, call.Reason, (call.Started-begunTrouble)/time.Second)]++
	}
	switch {
	case call.Broken != "":
		sum.Broken++
		if strings.HasPrefix(call.Broken, "not whole") {
			sum.NotWhole++
		}
		sum.Samples = append(sum.Samples, call.Route+" "+call.Broken)
	case call.Outcome == "not-run":
		sum.NotRun++
	case call.Outcome != "":
		sum.Unknown++
	default:
		sum.Whole++
	}
}

// ask adds what the upstreams counted and what was learned.
func (f *fleet) ask(s base.Scope, sum *summary) error {
	for _, each := range f.instances {
		var counts standin.Counts
		if err := f.get("http://"+each.address+"/mime/counts", &counts); err != nil {
			return err
		}
		sum.Ran += counts.Ran
		sum.Repeated += counts.Repeated
		sum.TiedWell += counts.CorrectTrace
		sum.TiedElse += counts.OtherTrace
	}
	learning, err := f.client.Odds(s)
	if err != nil {
		return err
	}
	for _, belief := range learning.Beliefs {
		sum.Odds[belief.Identifier] = belief.Odds
		sum.Kept += belief.Samples
	}
	return nil
}

// get decodes the JSON at an address.
func (f *fleet) get(address string, into any) error {
	response, err := f.web.Get(address)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// collect adds to the history what upstreams, nodes and core machines have.
func (f *fleet) collect(s base.Scope) error {
	for _, each := range f.instances {
		if err := f.collectRuns(each); err != nil {
			return err
		}
	}
	wall, mono := time.Now(), f.history.Now()
	for _, m := range f.nodes {
		var events []base.Event
		if err := f.get("http://"+m.at(opsPort)+"/journal", &events); err != nil {
			return err
		}
		for _, event := range events {
			f.history.RecordEvent(m.Name, event.Topic, event.Subject, event.Detail, mono-wall.Sub(event.At))
		}
	}
	for _, controller := range f.client.Controllers {
		one := *f.client
		one.Controllers = []string{controller}
		reply, err := one.Bundle(s, 0)
		f.history.RecordReadback(controller, reply.GetSerial(), reply.GetSealed(), err)
	}
	return nil
}

func (f *fleet) collectRuns(each *instance) error {
	body, err := os.ReadFile(f.runsOf(each))
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

func (f *fleet) watch(s base.Scope) {
	base.Tick(s, 100*time.Millisecond, func(base.Scope) {
		base.Parallel(f.nodes, func(m *machine) { f.ready(m, opsPort) })
	})
}

func (f *fleet) allOn(serial uint64) bool {
	for _, each := range f.nodes {
		if at, ready := f.ready(each, opsPort); !ready || at < serial {
			return false
		}
	}
	return true
}

func (s *summary) verdict(smoke bool) error {
	if broken := judge.Violations(s.verdicts); len(broken) > 0 {
		return errors.Errorf("%d breaches, first: %s", len(broken), broken[0])
	}
	if vacuous := judge.Vacuous(s.verdicts, judge.RunOnce, judge.WholeAnswers, judge.AllowedServices, judge.InForce, judge.NoRegression, judge.SingleAck, judge.Durability, judge.Recovery); len(vacuous) > 0 {
		return errors.Errorf("nothing to judge for %v", vacuous)
	}
	owed := 99
	if smoke {
		owed = 50
	}
	switch {
	case s.Calls == 0:
		return errors.New("no call was made")
	case s.NotWhole > 0:
		return errors.Errorf("%d answers were not whole", s.NotWhole)
	case s.Whole*100 < s.Calls*owed:
		return errors.Errorf("only %d of %d calls got their answer", s.Whole, s.Calls)
	case len(s.Odds) == 0:
		return errors.New("nothing was learned")
	}
	return nil
}
