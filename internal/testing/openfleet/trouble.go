package openfleet

import "time"

// Fault is a way in which an upstream mishandles its response after the work is done.
type Fault string

const (
	// Sound sends a correct response.
	Sound Fault = ""
	// Silent sends nothing and keeps the connection open.
	Silent Fault = "silent"
	// Reset sends nothing and resets the connection.
	Reset Fault = "reset"
	// Torn cuts the response off within its body and closes the connection.
	Torn Fault = "torn"
	// Garbled sends bytes that are no HTTP response and closes the connection.
	Garbled Fault = "garbled"
	// Unsealed omits the seal header from the response.
	Unsealed Fault = "unsealed"
	// Endless sends half of the body without a length and closes the connection.
	Endless Fault = "endless"
	// Twin sends the response twice in a row.
	Twin Fault = "twin"
	// LateTwin sends the response again after Trouble.Late.
	LateTwin Fault = "late-twin"
	// Stale also sends a copy of the response when the next request arrives on the connection.
	Stale Fault = "stale"
	// Trail sends bytes that are no HTTP right after the response.
	Trail Fault = "trail"
	// LateTrail sends bytes that are no HTTP after Trouble.Late.
	LateTrail Fault = "late-trail"
	// Closing sends a correct response with "Connection: close" and closes the connection.
	Closing Fault = "closing"
	// Hangup closes the connection without a response.
	Hangup Fault = "hangup"
	// Failing replaces the response by status 500.
	Failing Fault = "failing"
	// Crossed sends an unrelated response ahead of the correct one.
	Crossed Fault = "crossed"
)

// Trouble injects a Fault into a share of an upstream's responses. Share is a probability from 0 to 1; Late
// is the delay of the faults LateTwin and LateTrail.
type Trouble struct {
	Fault Fault
	Share float64
	Late  time.Duration
}

// Set replaces the faults that the upstream injects. At most one is drawn for each response; shares that
// sum to less than 1 leave the rest Sound.
func (u *Upstream) Set(troubles ...Trouble) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.troubles = troubles
}

func (u *Upstream) draw() Trouble {
	u.mu.Lock()
	defer u.mu.Unlock()
	at := u.scope.Rand.Float64()
	for _, each := range u.troubles {
		if at -= each.Share; at < 0 {
			return each
		}
	}
	return Trouble{}
}
