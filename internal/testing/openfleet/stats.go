package openfleet

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// JobStats counts jobs by how they ended. OnTime jobs succeeded within their route's latency target, counted from their
// first attempt; for AnsweredInTime jobs the attempt that succeeded, which is a request of its own, was answered within
// it. Rejected jobs failed with their last attempt rejected as not run. Failures counts failed jobs by reason.
type JobStats struct {
	Jobs           int
	Succeeded      int
	OnTime         int
	AnsweredInTime int
	Rejected       int
	Attempts       int
	Failures       map[string]int
}

// JobStats counts the jobs that started at or after from and before until, as readings of the History's clock. An until
// of zero sets no end; a nil match selects every job.
func (f *Fleet) JobStats(from, until time.Duration, match func(*Job) bool) JobStats {
	h := f.History
	h.mu.Lock()
	defer h.mu.Unlock()
	s := JobStats{Failures: map[string]int{}}
	for _, job := range h.jobs {
		if job.StartedAt < from || until > 0 && job.StartedAt >= until || match != nil && !match(job) {
			continue
		}
		s.add(job, h.outcomes[fmt.Sprintf("%s-%d", job.ID, job.Attempts-1)])
	}
	return s
}

// add counts a job; outcome is that of its last attempt.
func (s *JobStats) add(job *Job, outcome *Outcome) {
	s.Jobs++
	s.Attempts += job.Attempts
	if job.Succeeded && job.SuccessLatency <= job.LatencyTarget {
		s.AnsweredInTime++
	}
	switch {
	case !job.Succeeded:
		if rejectedBeforeExecution(outcome) {
			s.Rejected++
		}
		s.Failures[outcome.failureReason()]++
	case job.EndedAt-job.StartedAt <= job.LatencyTarget:
		s.Succeeded++
		s.OnTime++
	default:
		s.Succeeded++
	}
}

// failureReason describes how a failed attempt ended.
func (o *Outcome) failureReason() string {
	switch {
	case o.TransportError == "":
		return fmt.Sprint(o.Status, " ", o.ErrorKind)
	case o.Status != 0:
		return fmt.Sprint(o.Status, " ", o.TransportError)
	}
	return o.TransportError
}

// SuccessRate returns the fraction of jobs that succeeded, from 0 to 1.
func (s JobStats) SuccessRate() float64 { return float64(s.Succeeded) / float64(max(s.Jobs, 1)) }

// OnTimeRate returns the fraction of jobs that succeeded within their route's latency target, from 0 to 1.
func (s JobStats) OnTimeRate() float64 { return float64(s.OnTime) / float64(max(s.Jobs, 1)) }

func (s JobStats) String() string {
	var failures []string
	for _, reason := range sortedKeys(s.Failures) {
		failures = append(failures, fmt.Sprintf("%d× %s", s.Failures[reason], reason))
	}
	return fmt.Sprintf("%d jobs, %d attempts, succeeded %.4f, on time %.4f, answered in time %d, rejected %d; %s", s.Jobs, s.Attempts, s.SuccessRate(), s.OnTimeRate(), s.AnsweredInTime, s.Rejected, strings.Join(failures, ", "))
}

// LatencyQuantile returns a quantile, from 0 to 1, of the latencies of the jobs that succeeded, or zero if none did.
func (f *Fleet) LatencyQuantile(quantile float64) time.Duration {
	var latencies []time.Duration
	for _, job := range f.History.Jobs() {
		if job.Succeeded {
			latencies = append(latencies, job.EndedAt-job.StartedAt)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(int(quantile*float64(len(latencies))), len(latencies)-1)]
}

// OutcomeCounts counts the outcomes of attempts.
func (h *History) OutcomeCounts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[string]int{}
	for _, outcome := range h.outcomes {
		switch {
		case outcome.TransportError != "":
			counts["broken"]++
		case outcome.Status == http.StatusOK:
			counts["served"]++
		default:
			counts[strings.TrimSpace(fmt.Sprint(outcome.Status, " ", outcome.ErrorKind))]++
		}
	}
	return counts
}
