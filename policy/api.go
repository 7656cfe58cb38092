// Package policy decides where a sidecar sends each request. It is a pure
// state machine: the host calls one method of Balancer per event, passing the
// time, and the Balancer answers by calling methods of Actions. It starts no
// goroutines and reads no clock, so equal events give equal actions.
//
// This file declares the types of the interface: configuration, events and actions. The decisions
// are in policy.go.
package policy

import "time"

// Time is an instant on the host's monotonic clock; its origin is arbitrary.
type Time = time.Duration

// ServerID names a server. Only its equality, order and hash are used.
type ServerID string

// RequestID names a request. The host never reuses an ID.
type RequestID uint64

// Effect says whether a request of a class may be repeated.
type Effect int

// The effects.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // a group drops repeats of the same key for KeyTTL
	Unsafe               // must never run twice
)

// Group says which servers recognize and drop repeats of a keyed request.
type Group int

// The groups.
const (
	GroupAll  Group = iota // every server
	GroupZone              // the servers of the zone that received it first
	GroupCell              // the servers of the cell that received it first
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Effect    Effect
	Group     Group         // for Keyed
	KeyTTL    time.Duration // for Keyed: how long repeats are recognized
	Aim       time.Duration // answers within this time have the full worth
	Deadline  time.Duration // how long the client waits, over all its tries
	Worth     float64
	LateShare float64 // share of Worth that an answer after Aim keeps
}

// Tenant describes the request rate one tenant is allowed over all sidecars.
type Tenant struct {
	Name               string
	AllowancePerSecond float64 // requests a second
}

// Config is the configuration of a Balancer. ColdOverloadFactor is a multiple of the current
// capacity of the cold server.
type Config struct {
	Ordinal, GroupSize int // this sidecar's index among its peers, and their number
	Zone               string
	Classes            []Class
	Tenants            []Tenant
	OverAllowanceWorth float64 // worth of traffic beyond a tenant's allowance

	ListPushed             bool // the server list is pushed, without a subscription
	MayProbe               bool
	MayCancel              bool
	MayDuplicate           bool // a request may have two outstanding attempts
	ClientsHonorRetryAfter bool // clients wait for the delay given with a refusal
	MaxAttempts            int
	MaxRetryAfter          time.Duration
	DialTimeout            time.Duration
	ConnIdleTimeout        time.Duration
	Tick                   time.Duration // shortest time between two events

	InlineReports    bool // answers carry load reports; otherwise only probe replies do
	ServersCacheKeys bool // a server does less work for a key it has seen recently

	RefreshInterval    time.Duration // after this long without news the list is assumed to be known
	AnswerGrace        time.Duration // a final answer may come this long after Request.Expires
	ColdCapacity       float64       // minimum share of capacity when a server starts
	Ramp               time.Duration // a server is warm this long after its start
	ColdOverloadFactor float64       // overload that a cold server briefly withstands; 0: unknown

	// Costs that traffic between sidecar and servers is charged with.
	ProbeTariff, ConnectionTariff, HandshakeTariff, CrossZoneTariff float64
}

// ServerState is the state of a server according to the server list.
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

// ListKind says how to interpret a server list update.
type ListKind int

// The list kinds.
const (
	ListDelta  ListKind = iota // only changed entries
	ListFull                   // complete; absent servers are gone
	ListCached                 // complete, but possibly out of date
	ListFailed                 // a call failed or the subscription broke
	ListEnded                  // only changed entries, and no further update will come
)

// Complete reports whether servers missing from a list of kind k are gone.
func (k ListKind) Complete() bool { return k == ListFull || k == ListCached }

// Request describes a client's request. While Uploading it can be sent only once, and its time
// starts to count with the last byte of the body.
type Request struct {
	ID            RequestID
	Class         string
	Tenant        string
	Key           string
	Cost          time.Duration // rough estimate of the work; zero: unknown
	Retry         bool
	Expires       Time           // when the client abandons this try
	ClientTimeout time.Duration  // the client's, if known to exceed the time left; zero: that
	Uploading     bool           // the body is still arriving; see UploadComplete
	PriorAttempts []PriorAttempt // earlier attempts under the same key that may have run
}

// PriorAttempt is an attempt of an earlier request with the same key that may have run. It
// restricts further sends like an attempt of the request itself, but does not count towards
// MaxAttempts.
type PriorAttempt struct {
	Zone string
	Cell int
	Age  time.Duration // since it was sent
}

// Status says how an attempt or a probe ended.
type Status int

// The statuses. NotRun reports which of them prove that nothing was executed.
const (
	OK Status = iota
	AppError
	Overloaded
	Timeout
	ConnectFailed
	Reset
	Canceled
	NotSent
	Rejected // the request is unusable; says nothing about the server's health
)

// NotRun reports whether s proves that the attempt was never executed.
func (s Status) NotRun() bool { return s == Overloaded || s == ConnectFailed || s == NotSent }

// Load is a server's load report. Negative fields were not reported.
type Load struct {
	Queue     float64 // waiting requests
	Inflight  float64 // waiting and running requests
	Latency   float64 // recent service time in milliseconds
	ErrorRate float64 // errors per second
}

// Outcome is the result of one attempt.
type Outcome struct {
	ID       RequestID
	Attempt  int
	Server   ServerID
	Status   Status
	Reason   Reason // ReasonNone: nothing is known but the status
	Delay    time.Duration
	Final    bool // the request has ended
	NoResend bool // the request cannot be sent again, even if the rules allow it
	Load     *Load
}

// ProbeResult is the result of one probe.
type ProbeResult struct {
	Server ServerID
	Status Status
	Delay  time.Duration
	Load   *Load
}

// SitePlan decides which sites, which are the zones of servers, may serve a request. Decisions
// depend on the recorded traffic. Equal calls must give equal results.
type SitePlan interface {
	// RecordRequest records a client's request, and whether the client has asked before, as far as
	// that is known.
	RecordRequest(now Time, class, tenant string, again bool)
	// RecordAttempt records an attempt at a server of a site.
	RecordAttempt(now Time, site string)
	// HomeSites returns the sites assigned to the requests of a class and tenant (nil: all listed
	// sites), and the share of them assigned to sites that are missing from the list.
	HomeSites(class, tenant string) (sites []string, lost float64)
	// Spill returns the site that takes over a request that is assigned to the site from and may
	// not go there. An empty from is a site that is missing from the list. If no site has room,
	// to is empty and after is the time until one may have. weight is the worth of the request
	// relative to the highest of any request, 0 to 1.
	Spill(now Time, class, tenant, from string, weight float64) (to string, after time.Duration)
	// HasSpareCapacity reports whether a site has room for retries beside its own requests.
	HasSpareCapacity(now Time, to string, weight float64) bool
}

// Actions carries out the decisions of a Balancer. Calls take effect in order.
type Actions interface {
	// Send starts the request's next attempt. Attempts are numbered from 0.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Refuse ends a request with the promise that a retry is harmless.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail ends a request without that promise.
	Fail(id RequestID)
	// Cancel cancels an attempt.
	Cancel(id RequestID, attempt int)
	// SetTimer requests a Timer event with the given token.
	SetTimer(after time.Duration, token string)
	// Probe asks a server for a load report.
	Probe(server ServerID)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server ServerID)
	// Watch subscribes to the server list, or ends the subscription.
	Watch(on bool)
	// Log writes a log line for operators.
	Log(text string)
}
