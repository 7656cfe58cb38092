// Package httpcall parses and validates the metadata of an application's HTTP request: its class,
// key, timeout and cost. All HTTP fronts share it, so that they accept and reject the same
// requests. It does no I/O.
package httpcall

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/policy"
)

// MaxIdentifierLength is the maximum length in bytes of a request id, an idempotency key or a
// tenant. They stay in memory while a request is open.
const MaxIdentifierLength = 256

// Rejection is the error for a request that is refused before anything is sent to a server.
type Rejection struct {
	Status int    // HTTP status code of the response
	Text   string // body of the response
}

// Error implements error.
func (e Rejection) Error() string { return e.Text }

// badRequest returns a Rejection with status 400.
func badRequest(text string) error { return Rejection{http.StatusBadRequest, text} }

// Call holds the metadata of a request in the protocol between an application and its sidecar.
type Call struct {
	Method string
	Target string // request target as received
	Host   string
	Length int64 // body length in bytes; negative if unknown

	HostOptional bool // Host may be absent, as in HTTP/1.0

	ID, IdempotencyKey, Tenant, Timeout string
	Cost                                time.Duration
	Retried                             bool

	seen [7]bool // by index in knownHeaders
}

// knownHeaders are the headers that Add interprets, in canonical form.
var knownHeaders = [7]string{"X-Request-Id", "Idempotency-Key", "X-Tenant-Id", "X-Timeout-Ms", "Host", "X-Cost", "X-Retried"}

// Add records one header field. It ignores fields that the protocol does not define.
func (c *Call) Add(f httpmsg.Field) error {
	for i, name := range knownHeaders {
		if f.Is(name) {
			return c.set(i, f.Value)
		}
	}
	return nil
}

// AddHeader records the fields of h and matches their names case-insensitively, because all of
// them are sent. Like net/http's client it returns an error for a field that cannot be sent:
// without the check the field, perhaps an idempotency key, would be missing at the server.
func (c *Call) AddHeader(h http.Header) error {
	if err := httpmsg.CheckConnection(h); err != nil {
		return badRequest(err.Error())
	}
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return badRequest("a header of the name " + strconv.Quote(name) + " cannot be sent")
		}
		known := slices.IndexFunc(knownHeaders[:], func(n string) bool { return len(n) == len(name) && strings.EqualFold(n, name) })
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return badRequest("the value of " + name + " has a character that no line may have")
			}
			if known < 0 || knownHeaders[known] == "Host" { // net/http sends Request.Host instead
				continue
			}
			if err := c.set(known, []byte(strings.Trim(v, " \t"))); err != nil {
				return err
			}
		}
	}
	return nil
}

// set records the value of knownHeaders[i].
func (c *Call) set(i int, value []byte) error {
	// Hints: an invalid value counts as absent.
	if knownHeaders[i] == "X-Cost" || knownHeaders[i] == "X-Retried" {
		if c.seen[i] {
			return nil
		}
	} else if c.seen[i] || len(value) > MaxIdentifierLength {
		// With two values, two readers might each use a different one.
		return badRequest(knownHeaders[i] + " is given more than once or too long")
	}
	c.seen[i] = true
	switch i {
	case 0:
		c.ID = string(value)
	case 1:
		c.IdempotencyKey = string(value)
	case 2:
		c.Tenant = string(value)
	case 3:
		c.Timeout = string(value)
	case 4:
		c.Host = string(value)
	case 5:
		if us, err := strconv.ParseInt(string(value), 10, 64); err == nil && us > 0 && us < int64(time.Hour/time.Microsecond) {
			c.Cost = time.Duration(us) * time.Microsecond
		}
	case 6:
		c.Retried = string(value) == "1"
	}
	return nil
}

// Request returns the engine request for c, without a payload. The error is a Rejection.
func (c *Call) Request(e *engine.Engine) (*engine.Request, error) {
	if c.ID == "" {
		return nil, badRequest("no X-Request-ID")
	}
	if !ValidHost(c.Host) && !(c.Host == "" && c.HostOptional) {
		return nil, badRequest("no Host, or not one that can be read")
	}
	path, err := DecodePath(c.Target)
	if err != nil {
		return nil, err
	}
	r := &engine.Request{Tenant: c.Tenant, Cost: c.Cost, Retry: c.Retried, ExternalID: c.ID}
	r.Class, _, _ = strings.Cut(path, "/")
	if i := strings.LastIndexByte(path, '/'); i >= 0 {
		r.Key = path[i+1:]
	}
	classes := e.Classes(r.Class)
	if len(classes) == 0 {
		return nil, Rejection{http.StatusNotFound, "no such class of requests"}
	}
	class := classes[0]
	if err := c.checkClass(class); err != nil {
		// If the rules of the class have just changed, clients may still follow the old ones.
		i := slices.IndexFunc(classes, func(k policy.Class) bool { return c.checkClass(k) == nil })
		if i < 0 {
			return nil, err
		}
		class = classes[i]
	}
	r.Class = class.Name
	r.Timeout = class.Deadline
	if c.Timeout != "" {
		ms, err := strconv.ParseUint(c.Timeout, 10, 64)
		if err != nil || ms == 0 {
			return nil, badRequest("X-Timeout-Ms is no positive whole number")
		}
		// The longest deadline of the classes bounds the timeout, and so the life of the timers.
		r.Timeout = time.Duration(min(ms, uint64(e.LongestDeadline().Milliseconds()))) * time.Millisecond
	}
	return r, nil
}

// checkClass returns a Rejection if c does not follow the rules of class.
func (c *Call) checkClass(class policy.Class) error {
	safe := class.Effect == policy.Safe
	switch {
	case (c.Method == http.MethodGet) != safe || !safe && c.Method != http.MethodPost:
		return Rejection{http.StatusMethodNotAllowed, "the method is not that of the class"}
	case safe && c.Length != 0:
		return badRequest("a request of this class has no body")
	case class.Effect == policy.Keyed && c.IdempotencyKey == "":
		// Without a key, servers cannot detect a duplicate, and the request could run twice.
		return badRequest("no Idempotency-Key")
	}
	return nil
}

// Fingerprint returns a hash of c's method, target and tenant and of the first httpmsg.MaxFullBody bytes
// of body: how much more of a longer one is held depends on the free memory. It distinguishes
// different requests with the same Idempotency-Key, so that a tenant that knows or guesses the key
// of another tenant does not get that tenant's response.
func (c *Call) Fingerprint(body []byte) (sum [sha256.Size]byte) {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Target, c.Tenant} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		io.WriteString(h, part)
	}
	h.Write(body[:min(len(body), httpmsg.MaxFullBody)])
	h.Sum(sum[:0])
	return sum
}
