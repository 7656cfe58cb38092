package shutdown

import (
	"context"
	"sync/atomic"
	"time"
)

// momentKey is the key of a moment among a context's values.
type momentKey struct{}

// WithEndTime returns ctx with a note of when it ends; see Moment. stop ends the watch for it.
func WithEndTime(ctx context.Context) (noted context.Context, stop func() bool) {
	moment := &atomic.Pointer[time.Time]{}
	stop = context.AfterFunc(ctx, func() {
		now := time.Now()
		moment.Store(&now)
	})
	return context.WithValue(ctx, momentKey{}, moment), stop
}

// EndTime returns when ctx ended, as far as it was noted. Else it is now: nobody knows better.
func EndTime(ctx context.Context) time.Time {
	if moment, ok := ctx.Value(momentKey{}).(*atomic.Pointer[time.Time]); ok {
		if at := moment.Load(); at != nil {
			return *at
		}
	}
	return time.Now()
}
