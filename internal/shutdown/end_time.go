package shutdown

import (
	"context"
	"sync/atomic"
	"time"
)

// endTimeKey is the context key of the recorded end time.
type endTimeKey struct{}

// WithEndTime returns a copy of ctx that records the time at which ctx is done. EndTime returns
// that time. stop stops the recording.
func WithEndTime(ctx context.Context) (recorded context.Context, stop func() bool) {
	end := &atomic.Pointer[time.Time]{}
	stop = context.AfterFunc(ctx, func() {
		now := time.Now()
		end.Store(&now)
	})
	return context.WithValue(ctx, endTimeKey{}, end), stop
}

// EndTime returns the time at which ctx was done, if ctx is derived from WithEndTime and the time
// is recorded. Otherwise it returns the current time.
func EndTime(ctx context.Context) time.Time {
	if end, ok := ctx.Value(endTimeKey{}).(*atomic.Pointer[time.Time]); ok {
		if at := end.Load(); at != nil {
			return *at
		}
	}
	return time.Now()
}
