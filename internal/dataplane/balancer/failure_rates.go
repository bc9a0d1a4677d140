package balancer

import "sync"

const (
	illMemory = 0.06
	illWeight = 4
)

// FailureRates keeps the share of late requests that an upstream failed, lost or garbled, seen from beside it.
type FailureRates struct {
	mu       sync.Mutex
	instance string
	share    float64
}

// Saw folds in how one request ended at an upstream.
func (i *FailureRates) Saw(instance string, good bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.instance != instance {
		i.instance, i.share = instance, 0
	}
	seen := 1.0
	if good {
		seen = 0
	}
	i.share += illMemory * (seen - i.share)
}

// Share is the part that went wrong lately, for the upstream that is there now.
func (i *FailureRates) Share(instance string) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.instance != instance {
		return 0
	}
	return i.share
}
