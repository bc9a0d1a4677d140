package openfleet

import "time"

// Fault is a way in which an upstream mishandles its response after the work is done.
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
	// InvalidResponse sends bytes that are no HTTP response and closes the connection.
	InvalidResponse Fault = "garbled"
	// MissingSeal omits the seal header from the response.
	MissingSeal Fault = "unsealed"
	// UndelimitedBody sends half of the body without a length and closes the connection.
	UndelimitedBody Fault = "endless"
	// DuplicateResponse sends the response twice in a row.
	DuplicateResponse Fault = "twin"
	// LateDuplicate sends the response again after Trouble.Late.
	LateDuplicate Fault = "late-twin"
	// DuplicateOnNextRequest also sends a copy of the response when the next request arrives on the connection.
	DuplicateOnNextRequest Fault = "stale"
	// TrailingBytes sends bytes that are no HTTP right after the response.
	TrailingBytes Fault = "trail"
	// LateTrailingBytes sends bytes that are no HTTP after Trouble.Late.
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

// FaultRate injects a Fault into a share of an upstream's responses. Share is a probability from 0 to 1; Late
// is the delay of the faults LateTwin and LateTrail.
type FaultRate struct {
	Fault       Fault
	Probability float64
	Delay       time.Duration
}

// SetFaults replaces the faults that the upstream injects. At most one is drawn for each response; shares that
// sum to less than 1 leave the rest Sound.
func (u *Upstream) SetFaults(troubles ...FaultRate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.troubles = troubles
}

func (u *Upstream) draw() FaultRate {
	u.mu.Lock()
	defer u.mu.Unlock()
	at := u.scope.Rand.Float64()
	for _, each := range u.troubles {
		if at -= each.Probability; at < 0 {
			return each
		}
	}
	return FaultRate{}
}
