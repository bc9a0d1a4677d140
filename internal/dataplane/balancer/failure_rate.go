package balancer

import "sync"

const (
	// failureSmoothing is the weight of the newest request in the moving average of the failure rate.
	failureSmoothing = 0.06
	// failurePenalty is added to a candidate's score, multiplied by how much its failure rate exceeds the
	// lowest one among the candidates.
	failurePenalty = 4
)

// FailureRate is a moving average of the requests that the local upstream failed, lost or answered with an
// invalid response. It starts again at 0 when another upstream instance takes its place. It is safe for
// concurrent use.
type FailureRate struct {
	mu       sync.Mutex
	instance string
	rate     float64
}

// Record adds the result of one request to the average of the given instance.
func (r *FailureRate) Record(instance string, succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instance != instance {
		r.instance, r.rate = instance, 0
	}
	sample := 1.0
	if succeeded {
		sample = 0
	}
	r.rate += failureSmoothing * (sample - r.rate)
}

// Rate returns the recent failure rate of an instance between 0 and 1; 0 if it is not the instance recorded
// last.
func (r *FailureRate) Rate(instance string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instance != instance {
		return 0
	}
	return r.rate
}
