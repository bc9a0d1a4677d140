package open

import "time"

type Fault string

const (
	Sound     Fault = ""
	Silent    Fault = "silent"
	Reset     Fault = "reset"
	Torn      Fault = "torn"
	Garbled   Fault = "garbled"
	Unsealed  Fault = "unsealed"
	Endless   Fault = "endless"
	Twin      Fault = "twin"
	LateTwin  Fault = "late-twin"
	Stale     Fault = "stale"
	Trail     Fault = "trail"
	LateTrail Fault = "late-trail"
	Closing   Fault = "closing"
	Hangup    Fault = "hangup"
	Failing   Fault = "failing"
	Crossed   Fault = "crossed"
)

type Trouble struct {
	Fault Fault
	Share float64
	Late  time.Duration
}

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
