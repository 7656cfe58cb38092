// Package quillfront is a client-side load balancer that lives inside an application. It makes the same decisions as the
// program of that name, which runs beside one: which server gets a request, whether an attempt is made again, and what is
// turned away at once.
//
// A Balancer is made from a Config and closed by Shutdown or Close. Requests go through it by any of its fronts: its
// RoundTripper, for an http.Client; its Handler, which does what the program's listener does; and its Middleware, which
// sends some routes of an application to the fleet. All of them share its servers, limits and beliefs.
//
// # Requests
//
// The first part of a request's path names its class, and the last part, if there is more than one, its key. These headers
// are read: X-Request-ID (required by Handler, made up by RoundTripper where it lacks), Idempotency-Key (required for Keyed
// classes), X-Timeout-Ms, X-Tenant-Id, X-Cost (microseconds of work, a guess), X-Retried. Bodies have at most 64 KiB and
// are read whole before anything is sent; so are answers.
//
// # What a restart forgets
//
// Unless WithOrders says otherwise a Balancer keeps everything in memory, and nothing of a request that has ended. After the process has ended nothing is known of the requests it had passed on: a
// client that asks again then is served as a new one, and it is up to the servers' own memory (KeyWindow) whether the
// effect takes place a second time. Within one process, too, a Balancer looks at one request at a time: two requests under
// one Idempotency-Key, one after the other, are two requests to it. Nothing here claims more than that.
package quillfront

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/semaphore"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/internal/orders"
	"quillfront/internal/sockets"
	"quillfront/internal/upstream"
	"quillfront/policy"
)

// ErrClosed tells that the Balancer takes no more requests, or was closed before this one had its answer.
var ErrClosed = errors.New("quillfront: the balancer is closed")

// RefusedError tells that a request was turned away and has not run, or may run again without harm: asking again is
// harmless.
type RefusedError struct {
	RetryAfter time.Duration // when it is worth while to come back; 0: not known
	Attempts   int           // how many were made
}

// Error tells when to come back.
func (e *RefusedError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("quillfront: refused, come back in %v", e.RetryAfter)
	}
	return "quillfront: refused"
}

// Temporary reports that asking again may help.
func (e *RefusedError) Temporary() bool { return true }

// FailedError tells that a request has no answer. Nothing is promised: it may have run.
type FailedError struct {
	Attempts int    // how many were made
	Last     string // how the last one ended: "timed out", "reset" and so on; empty without one
	Unknown  bool   // with Config.Orders: an earlier request under this key may have run, and this one was not sent
}

// Error tells how it failed.
func (e *FailedError) Error() string {
	if e.Unknown {
		return "quillfront: failed, an earlier request under this Idempotency-Key may have run"
	}
	if e.Last == "" {
		return "quillfront: failed, no attempt was made in time"
	}
	return fmt.Sprintf("quillfront: failed after %d attempts, the last %s", e.Attempts, e.Last)
}

// Timeout reports whether the last attempt ran out of time.
func (e *FailedError) Timeout() bool { return e.Last == outcomes[policy.Timeout] }

var outcomes = map[policy.Status]string{
	policy.OK: "served", policy.AppError: "answered with an error", policy.Overloaded: "turned away", policy.Timeout: "timed out",
	policy.ConnectFailed: "could not connect", policy.Reset: "was reset or answered with nonsense",
	policy.Canceled: "was called off", policy.NotSent: "was never sent", policy.Rejected: "was rejected as unusable",
}

// RequestError tells that a request cannot be served as it is: nothing was sent. Asking again will not help.
type RequestError struct {
	Status int // as HTTP would have it
	Reason string
}

// Error gives the reason.
func (e *RequestError) Error() string { return "quillfront: " + e.Reason }

// Is makes the error of an unknown class match ErrUnknownClass.
func (e *RequestError) Is(target error) bool { return target == ErrUnknownClass && e.Status == 404 }

// ErrUnknownClass is matched by the RequestError of a request whose class the Config does not have.
var ErrUnknownClass = errors.New("quillfront: no such class of requests")

// Option changes how a Balancer is made.
type Option func(*options)

type options struct {
	log    *slog.Logger
	seed   *uint64
	module engine.Module
	orders *orders.Config
	sites  *Sites
}

// WithLogger makes a Balancer log to l. Without it nothing is logged.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithSeed makes a Balancer's chances follow from seed. Without it each has chances of its own.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = &seed } }

// Balancer sends requests to a fleet of servers. Its methods may be called from many goroutines at once.
type Balancer struct {
	engine    *engine.Engine
	desk      *orders.Coordinator // nil: nothing is noted of orders
	transport *upstream.Transport
	sockets   *sockets.Budget
	room      *semaphore.Weighted // for bodies, in bytes
	places    *semaphore.Weighted // for open requests
	log       *slog.Logger
}

// New starts a Balancer. An error holds a *FieldError for each field of c at fault that was found, by errors.As.
func New(c Config, opts ...Option) (*Balancer, error) {
	p, err := c.plan()
	if err != nil {
		return nil, err
	}
	return start(p, opts)
}

// NewFromJSON starts a Balancer from the platform's configuration file, of which it uses settings, limits, known,
// discovery and seed. It then decides as the program does that is given the same file. An error names the key at fault.
func NewFromJSON(text []byte, opts ...Option) (*Balancer, error) {
	p, err := planJSON(text)
	if err != nil {
		return nil, err
	}
	return start(p, opts)
}

func start(p plan, opts []Option) (*Balancer, error) {
	o := options{log: slog.New(slog.DiscardHandler)}
	for _, opt := range opts {
		opt(&o)
	}
	seed := p.seed
	switch {
	case o.seed != nil:
		seed = *o.seed
	case p.move:
		seed = rand.Uint64()
	}
	module := o.module
	if module == nil {
		m, err := policy.New(p.settings.Config, seed)
		if err != nil {
			return nil, fmt.Errorf("quillfront: %w", err)
		}
		module = m
	}
	b := &Balancer{
		sockets: sockets.New(p.limits.Connections + sockets.Reserved),
		room:    semaphore.NewWeighted(p.limits.BodyBytes), places: semaphore.NewWeighted(int64(p.limits.Requests)),
		log: o.log,
	}
	b.transport = upstream.New(p.settings, b.sockets, o.log)
	b.sockets.OnShortage(b.transport.EvictIdle, nil)
	var transport engine.Transport = b.transport
	var book orders.EntryStore
	var retention func(string) time.Duration
	if o.orders != nil {
		var err error
		if book, retention, err = o.orders.Open(); err != nil {
			b.transport.Close()
			return nil, fmt.Errorf("quillfront: Orders: %w", err)
		}
		transport = orders.Transport(transport)
	}
	engineOptions := engine.Options{
		Config: p.settings.Config, Module: module, Transport: transport, Source: p.source, CachedList: p.known, Log: o.log,
	}
	if err := o.watchSites(&engineOptions); err != nil {
		b.transport.Close()
		if book != nil {
			book.Close()
		}
		return nil, err
	}
	b.engine = engine.New(engineOptions)
	if book != nil {
		b.desk = orders.New(orders.Options{Engine: b.engine, Store: book, Codec: httpmsg.Codec{}, Retention: retention, Log: o.log})
	}
	if p.move {
		b.engine.SetSource(p.source)
	}
	return b, nil
}

// Shutdown takes no more requests, waits until all that were taken have their answers, and closes b. If ctx ends before,
// those that are left end as Close has it, and ctx's error is returned. No request waits longer than the longest deadline
// of the classes.
func (b *Balancer) Shutdown(ctx context.Context) error {
	err := b.engine.Drain(ctx)
	b.Close()
	return err
}

// Close ends b at once: requests that are open end with ErrClosed, and their attempts are called off, though they may
// have run. When it returns no goroutine and no descriptor of b's is left. It may be called more than once.
func (b *Balancer) Close() {
	b.engine.Close()
	b.transport.Close()
	if b.desk != nil {
		if err := b.desk.Close(); err != nil {
			b.log.Error("closing the book of orders", "err", err)
		}
	}
}
