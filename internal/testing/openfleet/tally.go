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
func (f *Fleet) JobStats(from, till time.Duration, fits func(*Job) bool) JobStats {
	h := f.History
	h.mu.Lock()
	defer h.mu.Unlock()
	t := JobStats{Failures: map[string]int{}}
	for _, job := range h.jobs {
		if job.StartedAt < from || till > 0 && job.StartedAt >= till || fits != nil && !fits(job) {
			continue
		}
		t.add(job, h.told[fmt.Sprintf("%s-%d", job.ID, job.Attempts-1)])
	}
	return t
}

// add counts a job; told is what its last try was told.
func (t *JobStats) add(job *Job, told *Outcome) {
	t.Jobs++
	t.Attempts += job.Attempts
	early := job.RejectedAfter > 0 && job.RejectedAfter <= job.LatencyTarget/4
	if early {
		t.RejectedEarly++
	}
	switch {
	case !job.Succeeded:
		if promised(told) {
			t.Rejected++
		}
		t.Failures[told.why()]++
	case job.EndedAt-job.StartedAt <= job.LatencyTarget:
		t.Succeeded++
		t.OnTime++
	case early && job.SuccessLatency <= job.LatencyTarget:
		t.Succeeded++
		t.OnTimeAfterRejection++
	default:
		t.Succeeded++
	}
}

// why names how a try ended that wasn't served.
func (t *Outcome) why() string {
	switch {
	case t.TransportError == "":
		return fmt.Sprint(t.Status, " ", t.ErrorKind)
	case t.Status != 0:
		return fmt.Sprint(t.Status, " ", t.TransportError)
	}
	return t.TransportError
}

// SuccessRate returns the fraction of jobs that were served, from 0 to 1.
func (t JobStats) SuccessRate() float64 { return float64(t.Succeeded) / float64(max(t.Jobs, 1)) }

// OnTimeRate returns the fraction of jobs that were served within their route's latency target, from 0 to 1.
func (t JobStats) OnTimeRate() float64 { return float64(t.OnTime) / float64(max(t.Jobs, 1)) }

func (t JobStats) String() string {
	var how []string
	for _, each := range sorted(t.Failures) {
		how = append(how, fmt.Sprintf("%d× %s", t.Failures[each], each))
	}
	return fmt.Sprintf("%d jobs, %d tries, served %.4f, in aim %.4f, in aim when asked again %.4f, refused %d, refused early %d; %s", t.Jobs, t.Attempts, t.SuccessRate(), t.OnTimeRate(), float64(t.OnTimeAfterRejection)/float64(max(t.Jobs, 1)), t.Rejected, t.RejectedEarly, strings.Join(how, ", "))
}

// LatencyQuantile gives the length that a share of served jobs keep below.
func (f *Fleet) LatencyQuantile(share float64) time.Duration {
	var all []time.Duration
	for _, job := range f.History.Jobs() {
		if job.Succeeded {
			all = append(all, job.EndedAt-job.StartedAt)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(share*float64(len(all))), len(all)-1)]
}

// OutcomeCounts counts what tries were told.
func (h *History) OutcomeCounts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[string]int{}
	for _, told := range h.told {
		switch {
		case told.TransportError != "":
			counts["broken"]++
		case told.Status == http.StatusOK:
			counts["served"]++
		default:
			counts[strings.TrimSpace(fmt.Sprint(told.Status, " ", told.ErrorKind))]++
		}
	}
	return counts
}
