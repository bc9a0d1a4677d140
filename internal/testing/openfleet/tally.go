package openfleet

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Tally counts how the visitors of a span fared.
type Tally struct {
	Jobs    int
	Served  int
	InAim   int
	Retold  int
	Refused int
	Early   int
	Tries   int
	How     map[string]int
}

// Tally counts the jobs that began at or after from and before till, as readings of the History's clock. A
// till of zero sets no end; a nil fits selects every job.
func (f *Fleet) Tally(from, till time.Duration, fits func(*Job) bool) Tally {
	h := f.History
	h.mu.Lock()
	defer h.mu.Unlock()
	t := Tally{How: map[string]int{}}
	for _, job := range h.jobs {
		if job.At < from || till > 0 && job.At >= till || fits != nil && !fits(job) {
			continue
		}
		t.add(job, h.told[fmt.Sprintf("%s-%d", job.ID, job.Tries-1)])
	}
	return t
}

// add counts a job; told is what its last try was told.
func (t *Tally) add(job *Job, told *Told) {
	t.Jobs++
	t.Tries += job.Tries
	early := job.Early > 0 && job.Early <= job.Aim/4
	if early {
		t.Early++
	}
	switch {
	case !job.Served:
		if promised(told) {
			t.Refused++
		}
		t.How[told.why()]++
	case job.Ended-job.At <= job.Aim:
		t.Served++
		t.InAim++
	case early && job.Fresh <= job.Aim:
		t.Served++
		t.Retold++
	default:
		t.Served++
	}
}

// why names how a try ended that wasn't served.
func (t *Told) why() string {
	switch {
	case t.Broken == "":
		return fmt.Sprint(t.Status, " ", t.Kind)
	case t.Status != 0:
		return fmt.Sprint(t.Status, " ", t.Broken)
	}
	return t.Broken
}

// Share returns the fraction of jobs that were served, from 0 to 1.
func (t Tally) Share() float64 { return float64(t.Served) / float64(max(t.Jobs, 1)) }

// Aimed returns the fraction of jobs that were served within their route's latency target, from 0 to 1.
func (t Tally) Aimed() float64 { return float64(t.InAim) / float64(max(t.Jobs, 1)) }

func (t Tally) String() string {
	var how []string
	for _, each := range sorted(t.How) {
		how = append(how, fmt.Sprintf("%d× %s", t.How[each], each))
	}
	return fmt.Sprintf("%d jobs, %d tries, served %.4f, in aim %.4f, in aim when asked again %.4f, refused %d, refused early %d; %s", t.Jobs, t.Tries, t.Share(), t.Aimed(), float64(t.Retold)/float64(max(t.Jobs, 1)), t.Refused, t.Early, strings.Join(how, ", "))
}

// Slowest gives the length that a share of served jobs keep below.
func (f *Fleet) Slowest(share float64) time.Duration {
	var all []time.Duration
	for _, job := range f.History.Jobs() {
		if job.Served {
			all = append(all, job.Ended-job.At)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(share*float64(len(all))), len(all)-1)]
}

// Answers counts what tries were told.
func (h *History) Answers() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[string]int{}
	for _, told := range h.told {
		switch {
		case told.Broken != "":
			counts["broken"]++
		case told.Status == http.StatusOK:
			counts["served"]++
		default:
			counts[strings.TrimSpace(fmt.Sprint(told.Status, " ", told.Kind))]++
		}
	}
	return counts
}
