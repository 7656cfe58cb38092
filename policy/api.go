// Package policy decides where a sidecar sends each request. It is a pure
// state machine: the host calls one method of Balancer per event, passing the
// time, and the Balancer answers by calling methods of Actions. It starts no
// goroutines and reads no clock, so equal events give equal actions.
//
// This file is the whole interface; every decision is in policy.go.
package policy

import "time"

// Time is an instant on the host's monotonic clock; its origin means nothing.
type Time = time.Duration

// ServerID names a server. Only equality, order and hash of it are used.
type ServerID string

// RequestID names a request; the host never uses one twice.
type RequestID uint64

// Effect says what repeating a request of a class may do.
type Effect int

// The effects.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped within a group for a while
	Unsafe               // must never run twice
)

// Group says which servers drop the repeats of a keyed request.
type Group int

// The groups.
const (
	GroupAll  Group = iota // every server
	GroupZone              // the servers of the zone that got it first
	GroupCell              // the servers of the cell that got it first
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Effect    Effect
	Group     Group         // for Keyed
	KeyTTL    time.Duration // for Keyed: how long repeats are dropped
	Aim       time.Duration // answers within it have the full worth
	Deadline  time.Duration // the client's patience over all its tries
	Worth     float64
	LateShare float64 // share of the worth left after Aim
}

// Tenant describes one tenant's allowance over all sidecars.
type Tenant struct {
	Name               string
	AllowancePerSecond float64 // requests a second
}

// Config is what a sidecar is told at start.
type Config struct {
	Ordinal, GroupSize int // this sidecar's number among its peers
	Zone               string
	Classes            []Class
	Tenants            []Tenant
	OverAllowanceWorth float64 // worth of traffic beyond a tenant's allowance

	ListPushed             bool // the server list arrives unasked
	MayProbe               bool
	MayCancel              bool
	MayDuplicate           bool // a request may have two attempts out at once
	ClientsHonorRetryAfter bool // clients heed the delay given with a refusal
	MaxAttempts            int
	MaxRetryAfter          time.Duration
	DialTimeout            time.Duration
	ConnIdleTimeout        time.Duration
	Tick                   time.Duration // least time between two events

	InlineReports    bool // answers carry load reports; otherwise only probes do
	ServersCacheKeys bool // a server does less work for a key that it met lately

	RefreshInterval    time.Duration // without news this long, the list counts as told
	AnswerGrace        time.Duration
	ColdCapacity       float64       // least share of capacity at a server's start
	Ramp               time.Duration // a server is warm after it
	ColdOverloadFactor float64       // a cold server stands this multiple of its present capacity for a while; 0: not known

	ProbeTariff, ConnectionTariff, HandshakeTariff, CrossZoneTariff float64
}

// ServerState is what the list says of a server.
type ServerState int

// The server states.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Server is an entry of the server list.
type Server struct {
	ID      ServerID
	State   ServerState
	Zone    string
	Cell    int
	Weight  float64
	Started Time // zero: long ago
}

// ListKind says how a list update is to be read.
type ListKind int

// The list kinds.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // everything; absent servers are gone
	ListCached                 // everything, perhaps out of date
	ListFailed                 // a call failed or the subscription broke
	ListEnded                  // changed entries only, and nothing will be told any more
)

// Complete reports whether servers that a list does not name are gone.
func (k ListKind) Complete() bool { return k == ListFull || k == ListCached }

// Request is a client's request.
type Request struct {
	ID            RequestID
	Class         string
	Tenant        string
	Key           string
	Cost          time.Duration // rough expected work; zero: unknown
	Retry         bool
	Expires       Time           // the client gives this try up
	ClientTimeout time.Duration  // what the client gave it, if that is known to be more than is left; zero: that
	Uploading     bool           // it is still coming, can be sent only once, and its time counts from its end: see Uploaded
	PriorAttempts []PriorAttempt // attempts under its key by requests before it, that may have run
}

// PriorAttempt is an attempt that was made for an earlier request under the same key and may have run. It bars what an attempt of this
// request's own would bar, and counts as none of its attempts.
type PriorAttempt struct {
	Zone string
	Cell int
	Age  time.Duration // since it was sent
}

// Status says how an attempt or a probe ended.
type Status int

// The statuses. NotRun tells which prove that nothing was executed.
const (
	OK Status = iota
	AppError
	Overloaded
	Timeout
	ConnectFailed
	Reset
	Canceled
	NotSent
	Rejected // the server holds the request itself for unusable, which says nothing of the server's health
)

// NotRun reports whether s proves that the attempt was never executed.
func (s Status) NotRun() bool { return s == Overloaded || s == ConnectFailed || s == NotSent }

// Load is a server's report; negative fields were not reported.
type Load struct {
	Queue     float64 // requests that wait
	Inflight  float64 // requests that it holds in all
	Latency   float64 // recent service time in milliseconds
	ErrorRate float64 // errors a second
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID       RequestID
	Attempt  int
	Server   ServerID
	Status   Status
	Delay    time.Duration
	Final    bool // the request has ended
	NoResend bool // the request cannot be sent again, whatever the rules would allow
	Load     *Load
}

// ProbeResult is the end of one probe.
type ProbeResult struct {
	Server ServerID
	Status Status
	Delay  time.Duration
	Load   *Load
}

// SitePlan says which sites, which are servers' zones, may take what, by what befalls them. It must give equal answers to equal
// calls.
type SitePlan interface {
	// RecordRequest notes a request of a client, and whether it has asked before, as far as can be told.
	RecordRequest(now Time, class, tenant string, again bool)
	// RecordAttempt notes an attempt at a server of a site.
	RecordAttempt(now Time, site string)
	// HomeSites returns the sites that requests of a class and tenant are meant for, nil for all that are listed, and which part
	// of them is meant for sites that the list has lost.
	HomeSites(class, tenant string) (sites []string, lost float64)
	// Spill returns the site that takes over a request which is meant for the site from, empty for one that the list has lost,
	// and may not go there. Where none has room to is empty, and after is when one may. weight is what the request is worth
	// beside the most that any is, 0 to 1.
	Spill(now Time, class, tenant, from string, weight float64) (to string, after time.Duration)
	// HasSpareCapacity reports whether what has been asked before may go to a site now: it has room for more than its own.
	HasSpareCapacity(now Time, to string, weight float64) bool
}

// Actions carries out what the Balancer decides. Calls take effect in order.
type Actions interface {
	// Send starts the request's next attempt, numbered from 0.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Refuse ends a request, promising that a retry is harmless.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail ends a request without any promise.
	Fail(id RequestID)
	// Cancel calls an attempt off.
	Cancel(id RequestID, attempt int)
	// SetTimer asks for a Timer event.
	SetTimer(after time.Duration, token string)
	// Probe asks a server for a load report.
	Probe(server ServerID)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server ServerID)
	// Watch subscribes to the server list.
	Watch(on bool)
	// Log adds a line for staff.
	Log(text string)
}
