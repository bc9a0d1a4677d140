package base

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// persistInterval is the pause between two attempts of Persist.
	persistInterval = 50 * time.Millisecond
	// persistReminder is the time after which Persist logs an error again that lasts.
	persistReminder = 10 * time.Second
)

// Persist calls attempt until it succeeds or the scope ends, and returns the value of the successful attempt. It logs
// the first error, each different one after it, and one that lasts every persistReminder; then how long it took. The
// error it returns has the scope's as its cause.
func Persist[T any](s Scope, operation string, attempt func() (T, error)) (T, error) {
	began := s.Clock.Mono()
	logged, loggedAt := "", began
	for {
		value, err := attempt()
		now := s.Clock.Mono()
		if err == nil {
			if logged != "" {
				s.Log.Info("no longer waiting", "to", operation, "after", (now - began).String())
			}
			return value, nil
		}
		if s.Err() != nil {
			return value, errors.Wrapf(s.Err(), "%s: %s", operation, err)
		}
		if err.Error() != logged || now-loggedAt >= persistReminder {
			logged, loggedAt = err.Error(), now
			s.Log.Warn("waiting", "to", operation, "since", (now - began).String(), "errors", ErrorLines(err))
		}
		Await(s, persistInterval)
	}
}
