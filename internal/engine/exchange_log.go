package engine

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"quillfront/policy"
)

const (
	// exchangeLogRate limits the log lines about attempts and requests without an answer, in lines a
	// second, and exchangeLogBurst is how many may come at once.
	exchangeLogRate  = 2
	exchangeLogBurst = 40
)

// AttemptEnd describes how an attempt without a whole answer ended.
type AttemptEnd struct {
	Reason policy.Reason
	// Limit is the limit of time that ran out, and LimitLength how long it is; "": none did.
	Limit       string
	LimitLength time.Duration
	Received    int64 // bytes of the answer's body that the server gave
	PassedOn    bool  // the client has got the start of the answer
	Err         error // may be nil
}

// exchangeLog writes a line for each attempt and each request that ends without an answer, at a
// limited rate. A line tells how many were dropped before it.
type exchangeLog struct {
	log     *slog.Logger
	limiter *rate.Limiter
	dropped int
}

func newExchangeLog(log *slog.Logger) exchangeLog {
	return exchangeLog{log: log, limiter: rate.NewLimiter(exchangeLogRate, exchangeLogBurst)}
}

// allow reports whether a line may be written now, and returns the attribute about dropped lines.
func (l *exchangeLog) allow() (dropped slog.Attr, ok bool) {
	if !l.limiter.Allow() {
		l.dropped++
		return slog.Attr{}, false
	}
	if l.dropped > 0 {
		dropped = slog.Int("dropped", l.dropped)
		l.dropped = 0
	}
	return dropped, true
}

// attemptEnded logs the end of an attempt that brought no whole answer.
func (l *exchangeLog) attemptEnded(now policy.Time, a *Attempt, result AttemptResult) {
	end := result.End
	if result.Status == policy.OK || end.Reason == policy.ReasonCanceled {
		return
	}
	dropped, ok := l.allow()
	if !ok {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", a.ExternalID()), slog.Int("attempt", a.Number), slog.String("server", string(a.Server)),
		slog.String("result", statusNames[result.Status]), slog.String("reason", end.Reason.String()), slog.Duration("after", (now - a.sentAt).Round(time.Millisecond)),
		slog.Duration("left", time.Until(a.Deadline).Round(time.Millisecond)),
		slog.Int64("received", end.Received), slog.Bool("passed_on", end.PassedOn),
	}
	if end.Limit != "" {
		attrs = append(attrs, slog.String("limit", end.Limit), slog.Duration("limit_length", end.LimitLength))
	}
	if end.Err != nil {
		attrs = append(attrs, slog.Any("err", end.Err))
	}
	l.log.LogAttrs(context.Background(), slog.LevelInfo, "attempt ended", append(attrs, dropped)...)
}

// requestEnded logs the end of a request that is refused or fails.
func (l *exchangeLog) requestEnded(now policy.Time, r *Request, result Result) {
	if result.Kind == Served {
		return
	}
	dropped, ok := l.allow()
	if !ok {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", r.ExternalID), slog.String("class", r.Class), slog.String("result", resultNames[result.Kind]),
		slog.Int("attempts", result.Attempts), slog.Int("outstanding", r.outstanding), slog.Duration("after", (now - r.submittedAt).Round(time.Millisecond)),
		slog.Duration("time", r.Timeout),
	}
	if result.Attempts > 0 {
		attrs = append(attrs, slog.String("last", statusNames[result.LastStatus]))
	}
	l.log.LogAttrs(context.Background(), slog.LevelInfo, "request ended", append(attrs, dropped)...)
}

// statusNames are the names of statuses in logs and metrics.
var statusNames = [...]string{
	policy.OK: "ok", policy.AppError: "error", policy.Overloaded: "turned_away", policy.Timeout: "timeout", policy.ConnectFailed: "connect",
	policy.Reset: "reset", policy.Canceled: "canceled", policy.NotSent: "unsent", policy.Rejected: "rejected",
}

// StatusName returns the name of s in logs and metrics.
func StatusName(s policy.Status) string { return statusNames[s] }

// resultNames are the names of results in logs.
var resultNames = [...]string{Served: "served", Refused: "refused", Failed: "failed", Dropped: "dropped"}
