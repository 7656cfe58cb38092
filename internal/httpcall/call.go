// Package httpcall reads what an HTTP request of the application says of itself: its class, key, time and cost, and
// whether it may be served at all. Every HTTP front judges requests by it, so that none accepts what another turns away.
// It does no I/O.
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

// MaxIdentifierLength bounds an id, a key or a tenant, in bytes: they are kept while a request is open.
const MaxIdentifierLength = 256

// Rejection is why a request is turned away before anything is sent for it.
type Rejection struct {
	Status int // of HTTP
	Text   string
}

// Error returns the text.
func (e Rejection) Error() string { return e.Text }

func bad(text string) error { return Rejection{http.StatusBadRequest, text} }

// Call is what a request says of itself, by the protocol between an application and its sidecar.
type Call struct {
	Method string
	Target string // as it stands on the wire
	Host   string
	Length int64 // of the body; negative: not told

	HostOptional bool // as it may with HTTP/1.0

	ID, IdempotencyKey, Tenant, Timeout string
	Cost                                time.Duration
	Retried                             bool

	seen [7]bool
}

// names are the headers that Add knows, in canonical form.
var names = [7]string{"X-Request-Id", "Idempotency-Key", "X-Tenant-Id", "X-Timeout-Ms", "Host", "X-Cost", "X-Retried"}

// Add notes a line of the head. Lines that say nothing to the protocol are skipped.
func (c *Call) Add(f httpmsg.Field) error {
	for i, name := range names {
		if f.Is(name) {
			return c.set(i, f.Value)
		}
	}
	return nil
}

// AddHeader notes what h says, in whatever case its names are: all of them are written as lines. It guards against lines
// that cannot be written, as net/http's client does: left out they would be missing at the server, and a key among them.
func (c *Call) AddHeader(h http.Header) error {
	if err := httpmsg.CheckConnection(h); err != nil {
		return bad(err.Error())
	}
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return bad("a header of the name " + strconv.Quote(name) + " cannot be sent")
		}
		known := slices.IndexFunc(names[:], func(n string) bool { return len(n) == len(name) && strings.EqualFold(n, name) })
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return bad("the value of " + name + " has a character that no line may have")
			}
			if known < 0 || names[known] == "Host" { // of Host, net/http writes what stands beside the header
				continue
			}
			if err := c.set(known, []byte(strings.Trim(v, " \t"))); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Call) set(i int, value []byte) error {
	if names[i] == "X-Cost" || names[i] == "X-Retried" { // hints: what cannot be read is as good as not said
		if c.seen[i] {
			return nil
		}
	} else if c.seen[i] || len(value) > MaxIdentifierLength {
		// Of two values each reader might take another one.
		return bad(names[i] + " is given more than once or too long")
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

// Request returns what c asks for, without payload, or why it is turned away.
func (c *Call) Request(e *engine.Engine) (*engine.Request, error) {
	if c.ID == "" {
		return nil, bad("no X-Request-ID")
	}
	if !ValidHost(c.Host) && !(c.Host == "" && c.HostOptional) {
		return nil, bad("no Host, or not one that can be read")
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
	if err := c.fits(class); err != nil {
		// Of a class whose rules have just changed, clients may still ask by the old ones.
		i := slices.IndexFunc(classes, func(k policy.Class) bool { return c.fits(k) == nil })
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
			return nil, bad("X-Timeout-Ms is no positive whole number")
		}
		// A client that would wait longer than any class allows must not make timers last for ever.
		r.Timeout = time.Duration(min(ms, uint64(e.LongestDeadline().Milliseconds()))) * time.Millisecond
	}
	return r, nil
}

// fits returns why c cannot be a request of that class.
func (c *Call) fits(class policy.Class) error {
	safe := class.Effect == policy.Safe
	switch {
	case (c.Method == http.MethodGet) != safe || !safe && c.Method != http.MethodPost:
		return Rejection{http.StatusMethodNotAllowed, "the method is not that of the class"}
	case safe && c.Length != 0:
		return bad("a request of this class has no body")
	case class.Effect == policy.Keyed && c.IdempotencyKey == "":
		// Servers could not tell a repeat, so that it would run twice.
		return bad("no Idempotency-Key")
	}
	return nil
}

// Fingerprint tells what c asks for, with that body and for its tenant, from anything else that could be asked for under its
// Idempotency-Key. It guards against a tenant that is given another's answer because it knows, or hits upon, the key.
func (c *Call) Fingerprint(body []byte) (sum [sha256.Size]byte) {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Target, c.Tenant} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		io.WriteString(h, part)
	}
	h.Write(body)
	h.Sum(sum[:0])
	return sum
}
