package sockets

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestBudget checks that clients never take the descriptors reserved for servers, that idle
// connections are evicted, and that an acquire that times out returns ErrNoDescriptor.
func TestBudget(t *testing.T) {
	b := New(Reserved + 10)
	evicted := 0
	var idle []func()
	b.OnShortage(func() bool {
		if len(idle) == 0 {
			return false
		}
		evicted++
		idle[0]()
		idle = idle[1:]
		return true
	}, nil)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	var clients []func()
	for {
		release, err := b.AcquireClient(canceled)
		if err != nil {
			if !errors.Is(err, ErrNoDescriptor) || !errors.Is(err, context.Canceled) {
				t.Errorf("error %v", err)
			}
			break
		}
		clients = append(clients, release)
	}
	if len(clients) != 6 {
		t.Errorf("%d clients with 10 descriptors, want 6", len(clients))
	}
	for range 4 {
		release, err := b.Acquire(canceled)
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, release)
	}
	if all, c := b.InUse(); all != 10 || c != 6 || !b.Scarce() {
		t.Errorf("%d in use, %d by clients, scarce %v", all, c, b.Scarce())
	}
	soon, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	release, err := b.Acquire(soon)
	if err != nil || evicted != 1 {
		t.Errorf("Acquire: %v, %d connections evicted, want 1", err, evicted)
	}
	release()
	release() // the second call has no effect
	for _, r := range append(clients, idle...) {
		r()
	}
	if all, c := b.InUse(); all != 0 || c != 0 {
		t.Errorf("%d in use, %d by clients at the end", all, c)
	}
}
