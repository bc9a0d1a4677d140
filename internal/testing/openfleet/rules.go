package openfleet

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/internal/config"
	"curlewreach/internal/testing/judge"
	"curlewreach/proto/wire"
)

// The names of the rules that Check judges.
const (
	// RuleAtMostOnce requires: no request of a route that forbids retries runs more than once.
	RuleAtMostOnce = "twice"
	// RuleRejectedNotRun requires: a request of such a route that was rejected as not run has not run.
	RuleRejectedNotRun = "refused"
	// RuleResponseIntegrity requires: each response is well formed and belongs to its request, and nothing else is received.
	RuleResponseIntegrity = "mixed"
	// RuleRequestIntegrity requires: upstreams receive only requests that were sent, unchanged, with the true caller.
	RuleRequestIntegrity = "unasked"
	// RuleRouting requires: a request runs only at a service to which some configuration routes it.
	RuleRouting = "route"
	// RuleDrain requires: a leaving instance gets no request once the leaving bound has passed.
	RuleDrain = "drain"
	// RuleGracefulStop requires: a graceful stop of a node fails no request that could be served.
	RuleGracefulStop = "lost"
	// RuleConfigInForce requires: a request is handled by a configuration that may be in force at the time.
	RuleConfigInForce = "config"
	// RuleNoConfigRollback requires: a node that used a configuration doesn't return to an older one.
	RuleNoConfigRollback = "going back"
	// RuleProposalConflict requires: no invalid configuration is accepted, nor two on the same base version.
	RuleProposalConflict = "race"
	// RuleConfigDurability requires: an accepted configuration is not lost and is read back as it was sent.
	RuleConfigDurability = "kept"
	// RuleRetryBudget requires: retries towards a service stay within its retry budget.
	RuleRetryBudget = "budget"
	// RuleFewClientErrors requires: nodes don't reject requests of known routes as client errors, but for a few.
	RuleFewClientErrors = "denied"
)

type checker struct {
	*History
	verdict       *judge.Verdict
	attemptsByID  map[string]*Attempt
	arrivalsByID  map[string][]*Arrival
	routingTables map[*Proposal]*config.RoutingTable
}

func (c *checker) violationf(format string, args ...any) {
	c.verdict.Found = append(c.verdict.Found, fmt.Sprintf(format, args...))
}

func (c *checker) countCase() { c.verdict.Judged++ }

// Check judges a whole history, rule by rule.
func Check(h *History) []judge.Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(h.arrivals, func(a, b *Arrival) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	slices.SortStableFunc(h.attempts, func(a, b *Attempt) int { return cmp.Compare(a.SentAt, b.SentAt) })
	attempts, arrivals, routingTables := map[string]*Attempt{}, map[string][]*Arrival{}, map[*Proposal]*config.RoutingTable{}
	for _, attempt := range h.attempts {
		attempts[attempt.ID] = attempt
	}
	for _, arrival := range h.arrivals {
		arrivals[arrival.ID] = append(arrivals[arrival.ID], arrival)
	}
	for _, proposal := range h.proposals {
		routingTables[proposal] = config.NewRoutingTable(proposal.Configuration)
	}
	rules := []struct {
		name  string
		judge func(*checker)
	}{
		{RuleAtMostOnce, checkAtMostOnce},
		{RuleRejectedNotRun, checkRejectedNotRun},
		{RuleResponseIntegrity, checkResponseIntegrity},
		{RuleRequestIntegrity, checkRequestIntegrity},
		{RuleRouting, checkRouting},
		{RuleDrain, checkDrain},
		{RuleGracefulStop, checkGracefulStop},
		{RuleConfigInForce, checkConfigInForce},
		{RuleNoConfigRollback, checkNoConfigRollback},
		{RuleProposalConflict, checkProposalConflicts},
		{RuleConfigDurability, checkConfigDurability},
		{RuleRetryBudget, checkRetryBudgets},
		{RuleFewClientErrors, checkClientErrors},
	}
	verdicts := make([]judge.Verdict, len(rules))
	for i, rule := range rules {
		verdicts[i].Rule = rule.name
		rule.judge(&checker{h, &verdicts[i], attempts, arrivals, routingTables})
	}
	return verdicts
}

func checkAtMostOnce(c *checker) {
	for id, arrivals := range c.arrivalsByID {
		if attempt := c.attemptsByID[id]; attempt == nil || attempt.Repeat != wire.Repeat_ONCE {
			continue
		}
		c.countCase()
		if ran := count(arrivals, (*Arrival).executed); ran > 1 {
			c.violationf("%s ran %d times, first by %s, last by %s", id, ran, arrivals[0].Instance, arrivals[len(arrivals)-1].Instance)
		}
	}
}

func (a *Arrival) executed() bool { return a.Executed }

func count[T any](rows []T, match func(T) bool) (n int) {
	for _, row := range rows {
		if match(row) {
			n++
		}
	}
	return n
}

func checkRejectedNotRun(c *checker) {
	for id, outcome := range c.outcomes {
		attempt := c.attemptsByID[id]
		if attempt.Repeat != wire.Repeat_ONCE || !rejectedBeforeExecution(outcome) {
			continue
		}
		c.countCase()
		if slices.ContainsFunc(c.arrivalsByID[id], (*Arrival).executed) {
			c.violationf("%s was told %d %s at %s, yet ran at %s", id, outcome.Status, outcome.ErrorKind, outcome.EndedAt, c.arrivalsByID[id][0].ArrivedAt)
		}
	}
}

func checkResponseIntegrity(c *checker) {
	for id, outcome := range c.outcomes {
		if outcome.TransportError == "" {
			c.countCase()
		}
		success := outcome.TransportError == "" && outcome.Status >= 200 && outcome.Status < 300
		switch {
		case outcome.Mismatch != "":
			c.violationf("%s: %s", id, outcome.Mismatch)
		case strings.Contains(outcome.TransportError, "malformed"):
			c.violationf("%s: %s", id, outcome.TransportError)
		case success && !slices.ContainsFunc(c.arrivalsByID[id], func(a *Arrival) bool { return a.Status == outcome.Status }):
			c.violationf("%s was told %d, which no upstream answered", id, outcome.Status)
		}
	}
	for _, stray := range c.strayBytes {
		c.violationf("stray bytes at %s", stray)
	}
}

func checkRequestIntegrity(c *checker) {
	for _, arrival := range c.arrivals {
		c.countCase()
		attempt := c.attemptsByID[arrival.ID]
		switch {
		case attempt == nil:
			c.violationf("%s came to %s, which nobody asked", arrival.ID, arrival.Instance)
		case arrival.Method != attempt.Method || arrival.Target != attempt.Target || arrival.Host != attempt.Host || arrival.Digest != attempt.Digest:
			c.violationf("%s came to %s as %s %s%s (%s)", arrival.ID, arrival.Instance, arrival.Method, arrival.Host, arrival.Target, arrival.Digest)
		case arrival.Caller != attempt.Service:
			c.violationf("%s came to %s as a call of %q", arrival.ID, arrival.Instance, arrival.Caller)
		}
	}
}

func path(target string) string {
	before, _, _ := strings.Cut(target, "?")
	return before
}

func (c *checker) allowsService(proposal *Proposal, attempt *Attempt, service string) bool {
	route, known := c.routingTables[proposal].Find(attempt.Host, path(attempt.Target))
	return known && route.RoutesTo(service)
}

func (c *checker) hasRoute(proposal *Proposal, attempt *Attempt) bool {
	_, known := c.routingTables[proposal].Find(attempt.Host, path(attempt.Target))
	return known
}

func checkRouting(c *checker) {
	for _, arrival := range c.arrivals {
		attempt := c.attemptsByID[arrival.ID]
		if attempt == nil || !arrival.Executed {
			continue
		}
		c.countCase()
		if !slices.ContainsFunc(c.proposals, func(proposal *Proposal) bool { return c.allowsService(proposal, attempt, arrival.Service) }) {
			c.violationf("%s %s%s ran at %s of %s", arrival.ID, attempt.Host, attempt.Target, arrival.Instance, arrival.Service)
		}
	}
}

func checkDrain(c *checker) {
	for _, departure := range c.departures {
		for _, arrival := range c.arrivals {
			if arrival.Instance != departure.Instance || arrival.Misdirected || arrival.ArrivedAt <= departure.AckedAt {
				continue
			}
			c.countCase()
			if late := arrival.ArrivedAt - departure.AckedAt; late > drainBound {
				c.violationf("%s came to %s %s after its leaving was acked", arrival.ID, departure.Instance, late)
			}
		}
		c.countCase()
	}
}

func overlaps(s *judge.Spell, from, until time.Duration) bool {
	return s.From <= until && (s.Till < 0 || s.Till >= from)
}

func (c *checker) disturbed(from, until time.Duration, names ...string) bool {
	return slices.ContainsFunc(c.disturbances, func(s *judge.Spell) bool {
		return !s.Planned && (len(names) == 0 || slices.Contains(names, s.Node)) && overlaps(s, from-contactBound, until)
	})
}

func checkGracefulStop(c *checker) {
	for id, outcome := range c.outcomes {
		attempt := c.attemptsByID[id]
		i := slices.IndexFunc(c.disturbances, func(s *judge.Spell) bool {
			return s.Planned && s.Node == attempt.Node && overlaps(s, attempt.SentAt, outcome.EndedAt)
		})
		if i < 0 || c.disturbed(attempt.SentAt, outcome.EndedAt) {
			continue
		}
		c.countCase()
		c.checkDuringStop(c.disturbances[i], attempt, outcome)
	}
}

// checkDuringStop judges a request that met planned work at its node.
func (c *checker) checkDuringStop(stop *judge.Spell, attempt *Attempt, outcome *Outcome) {
	arrivals, halfGrace := c.arrivalsByID[attempt.ID], stop.From+stopGrace/2
	broken := slices.ContainsFunc(arrivals, func(a *Arrival) bool {
		return a.ResponseBroken || a.Executed && a.ArrivedAt < halfGrace && a.EndedAt > halfGrace+stopSlack
	})
	if broken || outcome.EndedAt >= attempt.Deadline-20*time.Millisecond {
		return
	}
	if outcome.TransportError != "" {
		if outcome.RequestRead && (len(arrivals) > 0 || outcome.EndedAt > attempt.SentAt+stopSlack) {
			c.violationf("%s at %s broke off after %s: %s (%d arrivals)", attempt.ID, attempt.Node, outcome.EndedAt-attempt.SentAt, outcome.TransportError, len(arrivals))
		}
		return
	}
	running := slices.ContainsFunc(arrivals, func(a *Arrival) bool { return a.Executed && a.CallerGone })
	if !outcome.Sealed && outcome.Status >= 500 && running {
		c.violationf("%s at %s was told %d %s while an upstream worked on it", attempt.ID, attempt.Node, outcome.Status, outcome.ErrorKind)
	}
}

// possibleConfigurations lists the configurations that may rule a request sent at one time and ended at another.
func (c *checker) possibleConfigurations(from, until time.Duration) []*Proposal {
	newest := uint64(0)
	for _, proposal := range c.proposals {
		if proposal.AckedAt >= 0 && proposal.AckedAt+inForceBound < from {
			newest = max(newest, proposal.Configuration.Serial)
		}
	}
	var possible []*Proposal
	for _, proposal := range c.proposals {
		if proposal.Configuration.Serial >= newest && !proposal.Rejected && proposal.SentAt <= until {
			possible = append(possible, proposal)
		}
	}
	return possible
}

// configBoundHolds tells whether the bounds of the configuration hold for a request: neither its node nor the core was in trouble
// from a contact bound before it until it was answered. Trouble of other nodes is no excuse.
func (c *checker) configBoundHolds(attempt *Attempt, outcome *Outcome) bool {
	return !slices.ContainsFunc(c.disturbances, func(s *judge.Spell) bool {
		relevant := s.Node == attempt.Node || strings.HasPrefix(s.Node, controllerPrefix) || s.Node == allLinks
		return relevant && !s.Planned && overlaps(s, attempt.SentAt-contactBound, outcome.EndedAt)
	})
}

func checkConfigInForce(c *checker) {
	for _, attempt := range c.attempts {
		outcome := c.outcomes[attempt.ID]
		if outcome == nil || !c.configBoundHolds(attempt, outcome) {
			continue
		}
		configurations := c.possibleConfigurations(attempt.SentAt, outcome.EndedAt)
		c.checkExecutions(attempt, configurations)
		if outcome.noRoute() {
			c.countCase()
			if !slices.ContainsFunc(configurations, func(proposal *Proposal) bool { return !c.hasRoute(proposal, attempt) }) {
				c.violationf("%s %s%s, asked at %s of %s, had no route", attempt.ID, attempt.Host, attempt.Target, attempt.SentAt, attempt.Node)
			}
		}
	}
}

// checkExecutions looks whether one of the configurations allows each run of a request.
func (c *checker) checkExecutions(attempt *Attempt, configurations []*Proposal) {
	for _, arrival := range c.arrivalsByID[attempt.ID] {
		if !arrival.Executed {
			continue
		}
		c.countCase()
		if !slices.ContainsFunc(configurations, func(proposal *Proposal) bool { return c.allowsService(proposal, attempt, arrival.Service) }) {
			c.violationf("%s %s%s, asked at %s of %s, ran at %s, which only older or refused configurations allow", attempt.ID, attempt.Host, attempt.Target, attempt.SentAt, attempt.Node, arrival.Instance)
		}
	}
}

// noRoute tells whether a node answered by itself that no route fits.
func (o *Outcome) noRoute() bool { return o.Status == http.StatusNotFound && !o.Sealed }

func (c *checker) serialRange(match func(*Proposal) bool) (low, high uint64) {
	for _, proposal := range c.proposals {
		if match(proposal) {
			if low == 0 || proposal.Configuration.Serial < low {
				low = proposal.Configuration.Serial
			}
			high = max(high, proposal.Configuration.Serial)
		}
	}
	return low, high
}

type observation struct {
	sentAt, seenAt              time.Duration
	lowestSerial, highestSerial uint64
	id                          string
}

func checkNoConfigRollback(c *checker) {
	byIncarnation := c.observations()
	for _, incarnation := range sortedKeys(byIncarnation) {
		c.checkObservations(incarnation, byIncarnation[incarnation])
	}
}

// observations lists, by life of a node, what upstreams and visitors saw of the configurations in force there.
func (c *checker) observations() map[string][]observation {
	byIncarnation := map[string][]observation{}
	for _, attempt := range c.attempts {
		incarnation := fmt.Sprint(attempt.Node, " ", attempt.Incarnation)
		for _, arrival := range c.arrivalsByID[attempt.ID] {
			if arrival.Executed {
				low, high := c.serialRange(func(proposal *Proposal) bool { return c.allowsService(proposal, attempt, arrival.Service) })
				byIncarnation[incarnation] = append(byIncarnation[incarnation], observation{attempt.SentAt, arrival.ArrivedAt, low, high, attempt.ID})
			}
		}
		if outcome := c.outcomes[attempt.ID]; outcome != nil && outcome.noRoute() {
			if low, high := c.serialRange(func(proposal *Proposal) bool { return !c.hasRoute(proposal, attempt) }); low > 0 {
				byIncarnation[incarnation] = append(byIncarnation[incarnation], observation{attempt.SentAt, outcome.EndedAt, low, high, attempt.ID})
			}
		}
	}
	return byIncarnation
}

// checkObservations looks whether each effect in a life fits the newest configuration seen there before its request was sent.
func (c *checker) checkObservations(incarnation string, observations []observation) {
	slices.SortFunc(observations, func(a, b observation) int { return cmp.Compare(a.seenAt, b.seenAt) })
	newest := make([]uint64, len(observations)+1)
	for i, observed := range observations {
		newest[i+1] = max(newest[i], observed.lowestSerial)
	}
	for _, observed := range observations {
		n, _ := slices.BinarySearchFunc(observations, observed.sentAt-rollbackSlack, func(e observation, at time.Duration) int { return cmp.Compare(e.seenAt, at) })
		c.countCase()
		if observed.highestSerial < newest[n] {
			c.violationf("%s in %s was handled by %d at most, after %d had been seen", observed.id, incarnation, observed.highestSerial, newest[n])
		}
	}
}

func checkProposalConflicts(c *checker) {
	bases := map[uint64]uint64{}
	for _, proposal := range c.proposals {
		c.countCase()
		if proposal.Invalid && proposal.AckedAt >= 0 {
			c.violationf("%d is bad, yet was acked", proposal.Configuration.Serial)
		}
		if proposal.AckedAt < 0 {
			continue
		}
		if other, held := bases[proposal.Configuration.Base]; held && other != proposal.Configuration.Serial {
			c.violationf("%d and %d were both acked on top of %d", other, proposal.Configuration.Serial, proposal.Configuration.Base)
		}
		bases[proposal.Configuration.Base] = proposal.Configuration.Serial
	}
}

func checkConfigDurability(c *checker) {
	for _, read := range c.configReads {
		newest := uint64(0)
		for _, proposal := range c.proposals {
			if proposal.AckedAt >= 0 && proposal.AckedAt < read.At {
				newest = max(newest, proposal.Configuration.Serial)
			}
		}
		c.countCase()
		if read.Err != nil {
			c.violationf("%s: %s", read.Controller, read.Err)
			continue
		}
		if read.Configuration.Serial < newest {
			c.violationf("%s reads %d, acked was %d", read.Controller, read.Configuration.Serial, newest)
		}
		if newest > 0 && !slices.ContainsFunc(c.proposals, func(proposal *Proposal) bool { return proto.Equal(proposal.Configuration, read.Configuration) }) {
			c.violationf("%s reads a configuration %d that nobody sent", read.Controller, read.Configuration.Serial)
		}
	}
}

type serviceArrival struct {
	at    time.Duration
	retry bool
}

func countBetween(all []time.Duration, from, until time.Duration) int {
	low, _ := slices.BinarySearch(all, from)
	high, _ := slices.BinarySearch(all, until)
	return high - low
}

func checkRetryBudgets(c *checker) {
	arrivals, sendTimes := c.arrivalsByService(), c.sendTimesByService()
	worstExcess, largestShare := -1e9, 0.0
	for _, service := range sortedKeys(arrivals) {
		excess, share := c.checkRetryRatio(service, arrivals[service], sendTimes[service])
		worstExcess, largestShare = max(worstExcess, excess), max(largestShare, share)
	}
	c.verdict.Remark = fmt.Sprintf("(most above the ratio: %.1f, largest share %.2f)", worstExcess, largestShare)
}

// arrivalsByService lists the arrivals at each service, and which of them are repeats.
func (c *checker) arrivalsByService() map[string][]serviceArrival {
	arrivals := map[string][]serviceArrival{}
	seen := map[string]bool{}
	for _, arrival := range c.arrivals {
		attempt := c.attemptsByID[arrival.ID]
		if attempt == nil {
			continue
		}
		arrivals[arrival.Service] = append(arrivals[arrival.Service], serviceArrival{arrival.ArrivedAt, seen[arrival.ID] || attempt.DuringRetry})
		seen[arrival.ID] = true
	}
	return arrivals
}

// sendTimesByService lists when requests were sent for each service.
func (c *checker) sendTimesByService() map[string][]time.Duration {
	sendTimes := map[string][]time.Duration{}
	for _, attempt := range c.attempts {
		for service := range c.eligibleServices(attempt) {
			sendTimes[service] = append(sendTimes[service], attempt.SentAt)
		}
	}
	return sendTimes
}

// eligibleServices gives the services to which any configuration lets a request go.
func (c *checker) eligibleServices(attempt *Attempt) map[string]bool {
	eligible := map[string]bool{}
	for _, proposal := range c.proposals {
		route, known := c.routingTables[proposal].Find(attempt.Host, path(attempt.Target))
		if !known {
			continue
		}
		for _, service := range proposal.Configuration.Services {
			if route.RoutesTo(service.Name) {
				eligible[service.Name] = true
			}
		}
	}
	return eligible
}

// checkRetryRatio judges the repeats within each window that ends with an arrival. It gives the most above the ratio, and the
// largest share of repeats where there were enough requests to tell.
func (c *checker) checkRetryRatio(service string, arrivals []serviceArrival, sendTimes []time.Duration) (worstExcess, largestShare float64) {
	worstExcess = -1e9
	start, retries := 0, 0
	for _, last := range arrivals {
		if last.retry {
			retries++
			c.countCase()
		}
		for last.at-arrivals[start].at > retryWindow {
			if arrivals[start].retry {
				retries--
			}
			start++
		}
		requests := requestsNear(sendTimes, last.at)
		excess := float64(retries) - retryRatio*float64(requests)
		worstExcess = max(worstExcess, excess)
		if requests > 50 {
			largestShare = max(largestShare, float64(retries)/float64(requests))
		}
		if excess > retrySlack {
			c.violationf("%s: %d repeats of %d requests at %s", service, retries, requests, last.at)
			break
		}
	}
	return worstExcess, largestShare
}

// requestsNear counts the requests in the window that ends at a moment, in the one before it, or in the one half a window
// before it, whichever holds the most.
func requestsNear(sendTimes []time.Duration, at time.Duration) int {
	from := at - retryWindow
	return max(
		countBetween(sendTimes, from, at+1),
		countBetween(sendTimes, from-retryWindow, from),
		countBetween(sendTimes, from-retryWindow/2, at-retryWindow/2),
	)
}

func checkClientErrors(c *checker) {
	rejections := 0
	var first string
	for _, attempt := range c.attempts {
		outcome := c.outcomes[attempt.ID]
		if outcome == nil || attempt.RejectionAllowed || c.disturbed(attempt.SentAt, outcome.EndedAt) {
			continue
		}
		c.countCase()
		fromNode := outcome.TransportError == "" && !outcome.Sealed && outcome.Status >= 300 && outcome.Status < 500 && !rejectedBeforeExecution(outcome)
		configurations := c.possibleConfigurations(attempt.SentAt, outcome.EndedAt)
		if fromNode && len(configurations) > 0 && !slices.ContainsFunc(configurations, func(proposal *Proposal) bool { return !c.hasRoute(proposal, attempt) }) {
			rejections++
			first = fmt.Sprintf("%s told %d %s", attempt.ID, outcome.Status, outcome.ErrorKind)
		}
	}
	if rejections > 5+c.verdict.Judged/500 {
		c.violationf("%d requests denied, like %s", rejections, first)
	}
}
