package upstream

import (
	"errors"
	"os"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

// The names of limits of time in logs.
const (
	limitRequest = "request" // the time that the request has
	limitStall   = "stall"   // the time for which an answer that has begun may stand still
)

// describeEnd returns how an attempt on c that failed with err ended. c is nil if there was no
// connection; deadline is that of the attempt, zero while the request is still being sent.
func describeEnd(a *engine.Attempt, c *conn, deadline time.Time, err error) engine.AttemptEnd {
	end := engine.AttemptEnd{Err: err}
	if a.Canceled() { // c may be in use
		end.Reason = policy.ReasonCanceled
		return end
	}
	if c != nil {
		end.Received = c.body.Size()
	}
	var notWritten errNotWritten
	var bodyErr errBodySource
	switch {
	case errors.As(err, &bodyErr):
		end.Reason = policy.ReasonClient
	case errors.Is(err, sockets.ErrNoDescriptor) || errors.As(err, &notWritten) || c == nil:
		end.Reason = policy.ReasonNotSent
	case !errors.Is(err, os.ErrDeadlineExceeded):
		end.Reason = policy.ReasonBroke
	case !deadline.IsZero() && !time.Now().Before(deadline):
		end.Limit, end.LimitLength = limitRequest, a.Timeout()
		end.Reason = reasonAtDeadline(c)
	default:
		end.Reason, end.Limit, end.LimitLength = policy.ReasonStoodStill, limitStall, c.stallTimeout
	}
	return end
}

// reasonAtDeadline returns why an exchange on c whose time is up has no whole answer.
func reasonAtDeadline(c *conn) policy.Reason {
	switch {
	case !c.responseBegun:
		return policy.ReasonNothingCame
	case time.Since(c.waitingSince) >= stallNotice:
		return policy.ReasonStoodStill
	}
	return policy.ReasonSlow
}
