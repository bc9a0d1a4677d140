package openfleet

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// JobStats counts how the visitors of a span fared.
type JobStats struct {
	Jobs                 int
	Succeeded            int
	OnTime               int
	OnTimeAfterRejection int
	Rejected             int
	RejectedEarly        int
	Attempts             int
	Failures             map[string]int
}

// JobStats counts the jobs that began at or after from and before till, as readings of the History's clock. A
// till of zero sets no end; a nil fits selects every job.
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

// add counts a job; told is what its last try was told.
func (s *JobStats) add(job *Job, outcome *Outcome) {
	s.Jobs++
	s.Attempts += job.Attempts
	early := job.RejectedAfter > 0 && job.RejectedAfter <= job.LatencyTarget/4
	if early {
		s.RejectedEarly++
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
	case early && job.LastAttemptLatency <= job.LatencyTarget:
		s.Succeeded++
		s.OnTimeAfterRejection++
	default:
		s.Succeeded++
	}
}

// failureReason names how a try ended that wasn't served.
func (o *Outcome) failureReason() string {
	switch {
	case o.TransportError == "":
		return fmt.Sprint(o.Status, " ", o.ErrorKind)
	case o.Status != 0:
		return fmt.Sprint(o.Status, " ", o.TransportError)
	}
	return o.TransportError
}

// SuccessRate returns the fraction of jobs that were served, from 0 to 1.
func (s JobStats) SuccessRate() float64 { return float64(s.Succeeded) / float64(max(s.Jobs, 1)) }

// OnTimeRate returns the fraction of jobs that were served within their route's latency target, from 0 to 1.
func (s JobStats) OnTimeRate() float64 { return float64(s.OnTime) / float64(max(s.Jobs, 1)) }

func (s JobStats) String() string {
	var failures []string
	for _, reason := range sortedKeys(s.Failures) {
		failures = append(failures, fmt.Sprintf("%d× %s", s.Failures[reason], reason))
	}
	return fmt.Sprintf("%d jobs, %d tries, served %.4f, in aim %.4f, in aim when asked again %.4f, refused %d, refused early %d; %s", s.Jobs, s.Attempts, s.SuccessRate(), s.OnTimeRate(), float64(s.OnTimeAfterRejection)/float64(max(s.Jobs, 1)), s.Rejected, s.RejectedEarly, strings.Join(failures, ", "))
}

// LatencyQuantile gives the length that a share of served jobs keep below.
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

// OutcomeCounts counts what tries were told.
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
