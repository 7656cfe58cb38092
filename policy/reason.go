package policy

// Reason says why an attempt brought no whole answer. It tells what a Status does not: two attempts
// that both end as Reset may say quite different things about their server.
type Reason int

// The reasons.
const (
	ReasonNone        Reason = iota // the attempt brought a whole answer
	ReasonNotSent                   // the request did not reach the server: no descriptor, connection or write
	ReasonNothingCame               // the time was up before the answer began
	ReasonStoodStill                // the answer had begun and stood still
	ReasonSlow                      // the answer was arriving when the time was up
	ReasonBroke                     // the connection or the answer broke
	ReasonStatus                    // the server answered with an error
	ReasonCanceled                  // this side ended the attempt: another one won, or the client left
	ReasonClient                    // the client's body broke or stood still
	reasonCount
)

// Reasons is the number of reasons, for arrays that are indexed by Reason.
const Reasons = int(reasonCount)

var reasonNames = [Reasons]string{
	"none", "not_sent", "nothing_came", "stood_still", "slow", "broke", "status", "canceled", "client",
}

// String returns the name of r in logs and metrics.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// DefaultReason returns the reason of an attempt of which nothing is known but its status.
func DefaultReason(s Status) Reason {
	switch s {
	case OK:
		return ReasonNone
	case Timeout:
		return ReasonNothingCame
	case ConnectFailed, NotSent:
		return ReasonNotSent
	case Reset:
		return ReasonBroke
	case Canceled:
		return ReasonCanceled
	}
	return ReasonStatus
}
