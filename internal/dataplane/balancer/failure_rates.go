package balancer

import "sync"

const (
	failureMemory = 0.06
	failureWeight = 4
)

// FailureRate keeps the share of late requests that an upstream failed, lost or garbled, seen from beside it.
type FailureRate struct {
	mu       sync.Mutex
	instance string
	share    float64
}

// Record folds in how one request ended at an upstream.
func (i *FailureRate) Record(instance string, good bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.instance != instance {
		i.instance, i.share = instance, 0
	}
	seen := 1.0
	if good {
		seen = 0
	}
	i.share += failureMemory * (seen - i.share)
}

// Rate is the part that went wrong lately, for the upstream that is there now.
func (i *FailureRate) Rate(instance string) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.instance != instance {
		return 0
	}
	return i.share
}
