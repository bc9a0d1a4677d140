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

// Names of the rules that Check applies to a History.
const (
	// RuleAtMostOnce requires that a request of a route that forbids retries is executed at most once.
	RuleAtMostOnce = "twice"
	// RuleRejectedNotRun requires that a request of such a route isn't executed if its client was told that it was not run.
	RuleRejectedNotRun = "refused"
	// RuleResponseIntegrity requires that clients receive only well-formed responses, each to its own request.
	RuleResponseIntegrity = "mixed"
	// RuleRequestIntegrity requires that upstreams receive only requests that clients sent, unchanged and with the true caller.
	RuleRequestIntegrity = "unasked"
	// RuleRouting requires that a request is executed only by a service to which some configuration routes it.
	RuleRouting = "route"
	// RuleDrain requires that an instance receives no request later than drainBound after its departure was acknowledged.
	RuleDrain = "drain"
	// RuleGracefulStop requires that a graceful stop of a node fails no request that could have been served.
	RuleGracefulStop = "lost"
	// RuleConfigInForce requires that a request is handled by a configuration that may be in force at that time.
	RuleConfigInForce = "config"
	// RuleNoConfigRollback requires that a running node doesn't return from a configuration to an older one.
	RuleNoConfigRollback = "going back"
	// RuleProposalConflict requires that no invalid configuration is accepted, nor two with the same base version.
	RuleProposalConflict = "race"
	// RuleConfigDurability requires that an accepted configuration isn't lost and is read back as it was sent.
	RuleConfigDurability = "kept"
	// RuleRetryBudget requires that the retries sent to a service stay within its retry budget.
	RuleRetryBudget = "budget"
	// RuleFewClientErrors requires that nodes reject almost no request that has a route with a redirect or client error.
	RuleFewClientErrors = "denied"
)

// checker evaluates one rule on a locked History and adds the result to verdict. attemptsByID and arrivalsByID index
// the History by attempt ID.
type checker struct {
	*History
	verdict       *judge.Verdict
	attemptsByID  map[string]*Attempt
	arrivalsByID  map[string][]*Arrival
	routingTables map[*Proposal]*config.RoutingTable
}

// violationf adds a violation of the rule to the verdict.
func (c *checker) violationf(format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, fmt.Sprintf(format, args...))
}

// countCase counts one case to which the rule applied, so that a rule that was never exercised can be told apart.
func (c *checker) countCase() { c.verdict.Checked++ }

// Check evaluates all rules on a complete History and returns one verdict for each rule. It sorts the History's
// attempts and arrivals by time.
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
			c.violationf("%s was executed %d times, first by %s, last by %s", id, ran, arrivals[0].Instance, arrivals[len(arrivals)-1].Instance)
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
			c.violationf("%s was rejected as not run with %d %s at %s, but was executed at %s", id, outcome.Status, outcome.ErrorKind, outcome.EndedAt, c.arrivalsByID[id][0].ArrivedAt)
		}
	}
}

// checkResponseIntegrity also checks that a successful response has a status that an upstream sent for the attempt.
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
			c.violationf("%s received status %d, which no upstream sent", id, outcome.Status)
		}
	}
	for _, received := range c.strayBytes {
		c.violationf("unexpected bytes received by %s", received)
	}
}

func checkRequestIntegrity(c *checker) {
	for _, arrival := range c.arrivals {
		c.countCase()
		attempt := c.attemptsByID[arrival.ID]
		switch {
		case attempt == nil:
			c.violationf("%s arrived at %s, but no client sent it", arrival.ID, arrival.Instance)
		case arrival.Method != attempt.Method || arrival.Target != attempt.Target || arrival.Host != attempt.Host || arrival.Digest != attempt.Digest:
			c.violationf("%s arrived at %s changed, as %s %s%s (body digest %s)", arrival.ID, arrival.Instance, arrival.Method, arrival.Host, arrival.Target, arrival.Digest)
		case arrival.Caller != attempt.Service:
			c.violationf("%s arrived at %s with the wrong caller %q", arrival.ID, arrival.Instance, arrival.Caller)
		}
	}
}

// path returns a request target without its query.
func path(target string) string {
	before, _, _ := strings.Cut(target, "?")
	return before
}

// allowsService reports whether a proposed configuration routes the attempt to the service.
func (c *checker) allowsService(proposal *Proposal, attempt *Attempt, service string) bool {
	route, known := c.routingTables[proposal].Find(attempt.Host, path(attempt.Target))
	return known && route.RoutesTo(service)
}

// hasRoute reports whether a proposed configuration has a route for the attempt.
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
			c.violationf("%s %s%s was executed by %s of %s, to which no configuration routes it", arrival.ID, attempt.Host, attempt.Target, arrival.Instance, arrival.Service)
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
				c.violationf("%s arrived at %s %s after its departure was acknowledged", arrival.ID, departure.Instance, late)
			}
		}
		c.countCase()
	}
}

// overlaps reports whether the disturbance lies at least partly between from and until. A negative Until means that it
// hasn't ended.
func overlaps(s *judge.Disturbance, from, until time.Duration) bool {
	return s.From <= until && (s.Until < 0 || s.Until >= from)
}

// disturbed reports whether an unplanned disturbance, of one of the named machines if any are given, lay between
// contactBound before from and until.
func (c *checker) disturbed(from, until time.Duration, names ...string) bool {
	return slices.ContainsFunc(c.disturbances, func(d *judge.Disturbance) bool {
		return !d.Planned && (len(names) == 0 || slices.Contains(names, d.Node)) && overlaps(d, from-contactBound, until)
	})
}

// checkGracefulStop checks each attempt that overlaps a planned disturbance of its node. Attempts that overlap an
// unplanned disturbance of any machine are skipped.
func checkGracefulStop(c *checker) {
	for id, outcome := range c.outcomes {
		attempt := c.attemptsByID[id]
		i := slices.IndexFunc(c.disturbances, func(d *judge.Disturbance) bool {
			return d.Planned && d.Node == attempt.Node && overlaps(d, attempt.SentAt, outcome.EndedAt)
		})
		if i < 0 || c.disturbed(attempt.SentAt, outcome.EndedAt) {
			continue
		}
		c.countCase()
		c.checkDuringStop(c.disturbances[i], attempt, outcome)
	}
}

// checkDuringStop checks an attempt whose node was stopped gracefully meanwhile. Not counted as lost are attempts whose
// response the upstream broke, that an upstream was still executing more than stopSlack past half of the stop's grace
// period, or that ended within 20 ms of the client's deadline or after it. Of transport errors only those count whose
// request the node had read, and that came after the attempt had reached an upstream or more than stopSlack after it
// was sent.
func (c *checker) checkDuringStop(stop *judge.Disturbance, attempt *Attempt, outcome *Outcome) {
	arrivals, halfGrace := c.arrivalsByID[attempt.ID], stop.From+stopGrace/2
	broken := slices.ContainsFunc(arrivals, func(a *Arrival) bool {
		return a.ResponseBroken || a.Executed && a.ArrivedAt < halfGrace && a.EndedAt > halfGrace+stopSlack
	})
	if broken || outcome.EndedAt >= attempt.Deadline-20*time.Millisecond {
		return
	}
	if outcome.TransportError != "" {
		if outcome.RequestRead && (len(arrivals) > 0 || outcome.EndedAt > attempt.SentAt+stopSlack) {
			c.violationf("%s at %s failed after %s: %s (%d arrivals at upstreams)", attempt.ID, attempt.Node, outcome.EndedAt-attempt.SentAt, outcome.TransportError, len(arrivals))
		}
		return
	}
	running := slices.ContainsFunc(arrivals, func(a *Arrival) bool { return a.Executed && a.CallerGone })
	if !outcome.Sealed && outcome.Status >= 500 && running {
		c.violationf("%s at %s received %d %s from the node while an upstream was executing it", attempt.ID, attempt.Node, outcome.Status, outcome.ErrorKind)
	}
}

// possibleConfigurations returns the proposals that may be in force for a request sent at from and ended at until:
// those that were sent by then and not rejected, and are at least as new as the newest that was acknowledged more than
// inForceBound before from.
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

// configBoundHolds reports whether the configuration bound applies to a request: neither its node nor the control plane
// had an unplanned disturbance between contactBound before the request was sent and its end. Disturbances of other
// nodes don't exempt it.
func (c *checker) configBoundHolds(attempt *Attempt, outcome *Outcome) bool {
	return !slices.ContainsFunc(c.disturbances, func(d *judge.Disturbance) bool {
		relevant := d.Node == attempt.Node || strings.HasPrefix(d.Node, controllerPrefix) || d.Node == allLinks
		return relevant && !d.Planned && overlaps(d, attempt.SentAt-contactBound, outcome.EndedAt)
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
				c.violationf("%s %s%s, sent at %s to %s, was rejected for lack of a route that all possible configurations have", attempt.ID, attempt.Host, attempt.Target, attempt.SentAt, attempt.Node)
			}
		}
	}
}

// checkExecutions checks that each execution of an attempt is allowed by at least one of the configurations.
func (c *checker) checkExecutions(attempt *Attempt, configurations []*Proposal) {
	for _, arrival := range c.arrivalsByID[attempt.ID] {
		if !arrival.Executed {
			continue
		}
		c.countCase()
		if !slices.ContainsFunc(configurations, func(proposal *Proposal) bool { return c.allowsService(proposal, attempt, arrival.Service) }) {
			c.violationf("%s %s%s, sent at %s to %s, was executed by %s, which only older or rejected configurations allow", attempt.ID, attempt.Host, attempt.Target, attempt.SentAt, attempt.Node, arrival.Instance)
		}
	}
}

// noRoute reports whether the response is a node's own status 404, for lack of a matching route.
func (o *Outcome) noRoute() bool { return o.Status == http.StatusNotFound && !o.Sealed }

// serialRange returns the lowest and the highest serial of the matching proposals, or zeros if none matches.
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

// observation is an effect of the configuration that a node used for an attempt: the configuration's serial lies
// between lowestSerial and highestSerial. sentAt is when the attempt was sent, seenAt when its effect was seen.
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

// observations returns what upstreams and clients saw of the configurations in use, by node and its start count.
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

// checkObservations checks for one run of a node that each attempt was handled by a configuration that is at least as
// new as those seen rollbackSlack or longer before the attempt was sent.
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
			c.violationf("%s at %s was handled by configuration %d or older, after configuration %d had been seen", observed.id, incarnation, observed.highestSerial, newest[n])
		}
	}
}

func checkProposalConflicts(c *checker) {
	bases := map[uint64]uint64{}
	for _, proposal := range c.proposals {
		c.countCase()
		if proposal.Invalid && proposal.AckedAt >= 0 {
			c.violationf("configuration %d is invalid, but was acknowledged", proposal.Configuration.Serial)
		}
		if proposal.AckedAt < 0 {
			continue
		}
		if other, found := bases[proposal.Configuration.Base]; found && other != proposal.Configuration.Serial {
			c.violationf("configurations %d and %d were both acknowledged with base %d", other, proposal.Configuration.Serial, proposal.Configuration.Base)
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
			c.violationf("%s returns configuration %d, but %d had been acknowledged", read.Controller, read.Configuration.Serial, newest)
		}
		if newest > 0 && !slices.ContainsFunc(c.proposals, func(proposal *Proposal) bool { return proto.Equal(proposal.Configuration, read.Configuration) }) {
			c.violationf("%s returns a configuration %d that was never proposed", read.Controller, read.Configuration.Serial)
		}
	}
}

// serviceArrival is an arrival at a service. retry marks a further arrival of the same attempt, or one sent while its
// caller executed a retry.
type serviceArrival struct {
	at    time.Duration
	retry bool
}

// countBetween returns how many of the sorted times lie in [from, until).
func countBetween(all []time.Duration, from, until time.Duration) int {
	low, _ := slices.BinarySearch(all, from)
	high, _ := slices.BinarySearch(all, until)
	return high - low
}

func checkRetryBudgets(c *checker) {
	arrivals, sendTimes := c.arrivalsByService(), c.sendTimesByService()
	worstExcess, largestShare := -1e9, 0.0
	for _, service := range sortedKeys(arrivals) {
		excess, share := c.checkRetryShare(service, arrivals[service], sendTimes[service])
		worstExcess, largestShare = max(worstExcess, excess), max(largestShare, share)
	}
	c.verdict.Note = fmt.Sprintf("(largest excess over the ratio: %.1f retries, largest share %.2f)", worstExcess, largestShare)
}

// arrivalsByService returns the arrivals at each service, in order of time, with retries marked.
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

// sendTimesByService returns when attempts were sent that may go to each service.
func (c *checker) sendTimesByService() map[string][]time.Duration {
	sendTimes := map[string][]time.Duration{}
	for _, attempt := range c.attempts {
		for service := range c.eligibleServices(attempt) {
			sendTimes[service] = append(sendTimes[service], attempt.SentAt)
		}
	}
	return sendTimes
}

// eligibleServices returns the services to which any proposed configuration routes an attempt.
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

// checkRetryShare checks the retries within each window of length retryWindow that ends with an arrival: they may
// exceed retryRatio times the requests by retrySlack at most. It returns the largest excess, in retries, and the
// largest share of retries in a window with more than 50 requests.
func (c *checker) checkRetryShare(service string, arrivals []serviceArrival, sendTimes []time.Duration) (worstExcess, largestShare float64) {
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
			c.violationf("%s: %d retries of %d requests in the window that ends at %s", service, retries, requests, last.at)
			break
		}
	}
	return worstExcess, largestShare
}

// requestsNear counts the requests in the window that ends at a time, in the window before it, and in the window that
// ends half a window earlier, and returns the largest count.
func requestsNear(sendTimes []time.Duration, at time.Duration) int {
	from := at - retryWindow
	return max(
		countBetween(sendTimes, from, at+1),
		countBetween(sendTimes, from-retryWindow, from),
		countBetween(sendTimes, from-retryWindow/2, at-retryWindow/2),
	)
}

// checkClientErrors counts the undisturbed attempts that a node itself answered with status 300 to 499, other than
// rejections as not run, although every possible configuration has a route for them. Up to 5 plus one in 500 are
// allowed.
func checkClientErrors(c *checker) {
	rejections := 0
	var example string
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
			example = fmt.Sprintf("%s with status %d %s", attempt.ID, outcome.Status, outcome.ErrorKind)
		}
	}
	if rejections > 5+c.verdict.Checked/500 {
		c.violationf("%d routable requests were rejected, the last being %s", rejections, example)
	}
}
