package sockets

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestBudget: clients never take the part that is left for servers, idle connections make room, and who finds none in
// time is told so.
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
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	var clients []func()
	for {
		release, err := b.AcquireClient(gone)
		if err != nil {
			if !errors.Is(err, ErrNoDescriptor) || !errors.Is(err, context.Canceled) {
				t.Errorf("error %v", err)
			}
			break
		}
		clients = append(clients, release)
	}
	if len(clients) != 6 {
		t.Errorf("%d clients of 10 places", len(clients))
	}
	for range 4 {
		release, err := b.Acquire(gone)
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, release)
	}
	if all, c := b.InUse(); all != 10 || c != 6 || !b.Scarce() {
		t.Errorf("%d in use, %d of clients, scarce %v", all, c, b.Scarce())
	}
	soon, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	release, err := b.Acquire(soon)
	if err != nil || evicted != 1 {
		t.Errorf("no room was made: %v, %d evicted", err, evicted)
	}
	release()
	release() // a second time gives nothing back
	for _, r := range append(clients, idle...) {
		r()
	}
	if all, c := b.InUse(); all != 0 || c != 0 {
		t.Errorf("%d in use, %d of clients at the end", all, c)
	}
}
