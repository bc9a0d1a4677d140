package base

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestTickDropsAllButOneMissedTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 100 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		start := time.Now()
		var at []time.Duration
		Tick(Scope{Context: ctx}, interval, func(Scope) {
			at = append(at, time.Since(start))
			switch len(at) {
			case 2:
				time.Sleep(350 * time.Millisecond)
			case 5:
				cancel()
			}
		})
		expected := []time.Duration{interval, 2 * interval, 550 * time.Millisecond, 6 * interval, 7 * interval}
		for i := range expected {
			if at[i] != expected[i] {
				t.Fatalf("ticks at %v, want %v", at, expected)
			}
		}
	})
}

func TestTickReturnsWhenScopeEndsDuringWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		Tick(Scope{Context: ctx}, time.Hour, func(Scope) { t.Error("tick was called") })
		if took := time.Since(start); took != 50*time.Millisecond {
			t.Errorf("Tick returned after %v, want 50ms", took)
		}
	})
}

func TestAwaitWithoutWaitReportsReadableSignal(t *testing.T) {
	s := Scope{Context: context.Background()}
	signal := make(chan struct{})
	if Await(s, 0, signal) || Await(s, -time.Second, nil, signal) {
		t.Error("reported a signal that was not sent")
	}
	close(signal)
	if !Await(s, 0, signal) || !Await(s, -time.Second, nil, signal) {
		t.Error("did not report a readable signal")
	}
}
