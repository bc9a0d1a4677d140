package openfleet

import "time"

// Fault is a way in which an upstream mishandles its response after it has executed the request.
type Fault string

const (
	// NoFault sends a correct response.
	NoFault Fault = ""
	// NoResponse sends nothing and keeps the connection open.
	NoResponse Fault = "silent"
	// ConnReset sends nothing and resets the connection.
	ConnReset Fault = "reset"
	// TruncatedBody cuts the response off within its body and closes the connection.
	TruncatedBody Fault = "torn"
	// InvalidResponse sends bytes that are not an HTTP response and closes the connection.
	InvalidResponse Fault = "garbled"
	// MissingSeal omits the seal header from the response.
	MissingSeal Fault = "unsealed"
	// UndelimitedBody sends half of the body without a length and closes the connection.
	UndelimitedBody Fault = "endless"
	// DuplicateResponse sends the response twice in a row.
	DuplicateResponse Fault = "twin"
	// LateDuplicate sends the response again after FaultRate.Delay.
	LateDuplicate Fault = "late-twin"
	// DuplicateOnNextRequest also sends a copy of the response when the next request arrives on the connection.
	DuplicateOnNextRequest Fault = "stale"
	// TrailingBytes sends bytes that are not HTTP right after the response.
	TrailingBytes Fault = "trail"
	// LateTrailingBytes sends bytes that are not HTTP after FaultRate.Delay.
	LateTrailingBytes Fault = "late-trail"
	// CloseAfterResponse sends a correct response with "Connection: close" and closes the connection.
	CloseAfterResponse Fault = "closing"
	// CloseWithoutResponse closes the connection without a response.
	CloseWithoutResponse Fault = "hangup"
	// InternalError replaces the response by status 500.
	InternalError Fault = "failing"
	// UnrelatedResponse sends an unrelated response ahead of the correct one.
	UnrelatedResponse Fault = "crossed"
)

// FaultRate injects a Fault into some of an upstream's responses. Probability is from 0 to 1; Delay is that of the
// faults LateDuplicate and LateTrailingBytes.
type FaultRate struct {
	Fault       Fault
	Probability float64
	Delay       time.Duration
}

// SetFaults replaces the faults that the upstream injects. At most one is drawn for each response; if the probabilities
// sum to less than 1, the other responses are correct.
func (u *Upstream) SetFaults(faults ...FaultRate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

// drawFault picks the fault of one response at random.
func (u *Upstream) drawFault() FaultRate {
	u.mu.Lock()
	defer u.mu.Unlock()
	point := u.scope.Rand.Float64()
	for _, rate := range u.faults {
		if point -= rate.Probability; point < 0 {
			return rate
		}
	}
	return FaultRate{}
}
