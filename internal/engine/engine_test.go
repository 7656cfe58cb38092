package engine

import (
	"log/slog"
	"testing"
	"time"

	"quillfront/policy"
)

// TestStartTime verifies the conversion of start times to the module's clock, including values at
// its origin and values too large to convert exactly, and that it is repeatable.
func TestStartTime(t *testing.T) {
	e := New(Options{Log: slog.New(slog.DiscardHandler)})
	defer e.Close()
	nowMs := time.Now().UnixMilli()
	tests := []struct {
		name     string
		ms       int64
		min, max policy.Time
	}{
		{"long ago", 0, 0, 0},
		{"just now", nowMs, e.Now() - time.Minute, e.Now() + time.Minute},
		{"at the clock's origin", e.originMs, 1, 1},
		{"before the clock's origin", e.originMs - 5, -5 * time.Millisecond, -5 * time.Millisecond},
		{"out of range, future", 1 << 62, e.Now() - time.Minute, e.Now() + time.Minute},
		{"out of range, past", -1 << 62, -time.Duration(1e12) * time.Millisecond, -time.Duration(1e12) * time.Millisecond},
	}
	for _, tt := range tests {
		s := Server{ID: "a", StartedMs: tt.ms}
		if got := e.startTime(e.Now(), s); got < tt.min || got > tt.max || got != e.startTime(e.Now(), s) {
			t.Errorf("%s: startTime(%d) = %v, want %v to %v", tt.name, tt.ms, got, tt.min, tt.max)
		}
	}
}
