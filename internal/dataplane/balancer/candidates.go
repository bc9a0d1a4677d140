package balancer

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"curlewreach/internal/random"
)

const (
	// loadDecayAge is the age beyond which a peer's load report counts less the older it is; failureDecayAge
	// is the same for its reported failure rate.
	loadDecayAge    = 400 * time.Millisecond
	failureDecayAge = 3 * time.Second
)

// Terms of a candidate's score; the lowest score is the best. A score of 1 is an idle peer with the usual
// latency.
const (
	// utilizationWeight is the relative increase of the score of a fully used upstream: many upstreams get slower as
	// they fill up, and one with more free slots is less likely to have none when the request arrives.
	utilizationWeight = 0.35
	// scoreJitter bounds the random term that spreads requests over candidates with similar scores.
	scoreJitter = 0.1
	// warmUpFactor multiplies the latency of an upstream that is still warming up.
	warmUpFactor = 2
	// avoidedPenalty ranks a peer that was unreachable recently behind all others.
	avoidedPenalty = 100
)

// Candidate is a peer whose upstream may serve a request.
type Candidate struct {
	Node     string
	Address  string
	Instance string
	// Free is set if the upstream is expected to have a free slot; otherwise Wait is the estimated time in
	// its queue, and Full is set if its queue had no room for another request lately.
	Free  bool
	Wait  time.Duration
	Full  bool
	score float64
	// Avoided is set if the peer could not be reached recently.
	Avoided     bool
	failureRate float64
}

// indexByService returns the sorted names of the nodes by the service of their upstream instance.
func (t *Table) indexByService() map[string][]string {
	if t.nodesByService == nil {
		t.nodesByService = map[string][]string{}
		for _, name := range slices.Sorted(maps.Keys(t.peers)) {
			if instance := t.peers[name].status.GetInstance(); instance != nil {
				t.nodesByService[instance.Service] = append(t.nodesByService[instance.Service], name)
			}
		}
	}
	return t.nodesByService
}

// eligible yields the peers whose upstreams may take requests for a service.
func (t *Table) eligible(service string) iter.Seq2[string, *peer] {
	return func(yield func(string, *peer) bool) {
		for _, name := range t.indexByService()[service] {
			p := t.peers[name]
			instance := p.status.GetInstance()
			if instance == nil || instance.Service != service || instance.Leaving || p.status.Stopping || p.goneInstance == instance.Id || t.absent(p) {
				continue
			}
			if !yield(name, p) {
				return
			}
		}
	}
}

// expectedLoad estimates the number of requests at the peer's upstream, queued ones included, and returns the
// number of its slots. It adds this node's attempts in flight to the other nodes' share of the last load
// report.
func (p *peer) expectedLoad(now time.Duration) (inFlight float64, limit int) {
	limit = max(int(p.status.GetInstance().GetCapacity()), 1)
	others := 0.0
	if p.loadAt > 0 {
		others = float64(max(p.load.InFlight+p.load.Waiting-p.inFlightAtLoad, 0))
		if age := now - p.loadAt; age > loadDecayAge {
			others *= float64(loadDecayAge) / float64(age)
		}
	}
	return others + float64(p.inFlight), limit
}

// Candidates returns the peers that may serve a request, the best first. serviceTime is how long such requests usually
// take; 0 if that is not known. The distance to a peer is part of its measured latency. Peers for which tried returns
// true are left out.
func (t *Table) Candidates(service string, serviceTime time.Duration, tried func(node string) bool, rand *random.Source) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Mono()
	var candidates []Candidate
	for name, p := range t.eligible(service) {
		if tried(name) {
			continue
		}
		if name == t.self && t.LocalLoad != nil {
			p.load, p.loadAt, p.inFlightAtLoad = t.LocalLoad(), now, p.inFlight
		}
		candidate := p.candidate(name, now)
		inFlight, limit := p.expectedLoad(now)
		if excess := inFlight + 1 - float64(limit); excess > 0 {
			candidate.Free, candidate.Wait = false, p.expectedWait(excess/float64(limit), serviceTime, now)
			candidate.Full = p.load.Full() && now-p.loadAt < loadDecayAge
		}
		candidate.score = p.expectedLatency(now)*(1+utilizationWeight*min(inFlight/float64(limit), 1)) + scoreJitter*rand.Float64() + float64(candidate.Wait)/float64(max(serviceTime, time.Millisecond))
		if candidate.Avoided {
			candidate.score += avoidedPenalty + (p.avoidUntil - now).Seconds()
		}
		candidates = append(candidates, candidate)
	}
	penalizeFailures(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.score, b.score) })
	return candidates
}

// candidate returns the fields of a candidate that do not depend on the request.
func (p *peer) candidate(name string, now time.Duration) Candidate {
	candidate := Candidate{Node: name, Address: p.status.Inward, Instance: p.status.Instance.Id, Free: true, Avoided: now < p.avoidUntil}
	if candidate.failureRate = float64(p.load.FailurePercent) / 100; now-p.loadAt > failureDecayAge {
		candidate.failureRate *= float64(failureDecayAge) / float64(now-p.loadAt)
	}
	return candidate
}

// expectedLatency returns the relative latency to expect of the peer, which is higher while its upstream
// warms up.
func (p *peer) expectedLatency(now time.Duration) float64 {
	if now < p.heardAt+time.Duration(p.status.Instance.WarmMs)*time.Millisecond {
		return p.latency.Average(now) * warmUpFactor
	}
	return p.latency.Average(now)
}

// expectedWait estimates how long a request waits at a full upstream. slotFraction is the fraction of the
// upstream's slots that must be released first. serviceTime is how long such requests usually occupy a slot; it applies
// if the upstream has not reported its own.
func (p *peer) expectedWait(slotFraction float64, serviceTime, now time.Duration) time.Duration {
	slotTime := serviceTime
	if p.load.ServiceTimeMs > 0 {
		slotTime = time.Duration(p.load.ServiceTimeMs) * time.Millisecond
	}
	wait := time.Duration(slotFraction * float64(slotTime))
	if age := now - p.loadAt; age < loadDecayAge {
		return max(wait, time.Duration(p.load.QueueWaitMs)*time.Millisecond-age)
	}
	return wait
}

// penalizeFailures raises the score of candidates whose failure rate exceeds the lowest one. Only the excess
// counts, so failures that all upstreams have in common rule none of them out.
func penalizeFailures(candidates []Candidate) {
	lowest := 1.0
	for _, candidate := range candidates {
		lowest = min(lowest, candidate.failureRate)
	}
	for i := range candidates {
		candidates[i].score += failurePenalty * (candidates[i].failureRate - lowest)
	}
}

// Candidate returns the named peer if it may serve requests for a service, even if it is full. The estimates
// and the score are not set.
func (t *Table) Candidate(node, service string) (Candidate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.eligible(service) {
		if name == node {
			return Candidate{Node: name, Address: p.status.Inward, Instance: p.status.Instance.Id}, true
		}
	}
	return Candidate{}, false
}
