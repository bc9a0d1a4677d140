package base

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestTickFallsDueAtEachIntervalAndDropsThoseMissedButForOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const every = 100 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		began := time.Now()
		var at []time.Duration
		Tick(Scope{Context: ctx}, every, func(Scope) {
			at = append(at, time.Since(began))
			switch len(at) {
			case 2:
				time.Sleep(350 * time.Millisecond)
			case 5:
				cancel()
			}
		})
		expected := []time.Duration{every, 2 * every, 550 * time.Millisecond, 6 * every, 7 * every}
		for i := range expected {
			if at[i] != expected[i] {
				t.Fatalf("ticks at %v, want %v", at, expected)
			}
		}
	})
}

func TestTickEndsWithTheScopeWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		Tick(Scope{Context: ctx}, time.Hour, func(Scope) { t.Error("ticked") })
		if took := time.Since(began); took != 50*time.Millisecond {
			t.Errorf("ended after %v", took)
		}
	})
}

func TestAwaitOfNoTimeSeesASignalThatIsReadable(t *testing.T) {
	s := Scope{Context: context.Background()}
	signal := make(chan struct{})
	if Await(s, 0, signal) || Await(s, -time.Second, nil, signal) {
		t.Error("a signal that nobody gave")
	}
	close(signal)
	if !Await(s, 0, signal) || !Await(s, -time.Second, nil, signal) {
		t.Error("a readable signal was missed")
	}
}
