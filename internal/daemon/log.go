package daemon

import (
	"context"
	"io"
	"log/slog"

	"golang.org/x/time/rate"

	"quillfront/internal/config"
)

// logBurst is the number of lines that may be logged at once. The log's rate is limited because,
// without a disk, its lines are kept in memory, and a fleet with problems makes every sidecar log
// something for every request.
const logBurst = 100

// NewLog returns a logger that writes to w at the rate configured in c. Lines beyond the rate are
// dropped.
func NewLog(w io.Writer, c config.Log) *slog.Logger {
	o := &slog.HandlerOptions{Level: c.Level}
	var h slog.Handler = slog.NewTextHandler(w, o)
	if c.JSON {
		h = slog.NewJSONHandler(w, o)
	}
	return slog.New(rateLimitedHandler{h, rate.NewLimiter(rate.Limit(c.Rate), logBurst)})
}

// rateLimitedHandler is a slog.Handler that drops lines beyond the rate limit.
type rateLimitedHandler struct {
	slog.Handler
	limiter *rate.Limiter
}

// Handle implements slog.Handler.
func (h rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limiter.Allow() {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateLimitedHandler{h.Handler.WithAttrs(attrs), h.limiter}
}

// WithGroup implements slog.Handler.
func (h rateLimitedHandler) WithGroup(name string) slog.Handler {
	return rateLimitedHandler{h.Handler.WithGroup(name), h.limiter}
}
