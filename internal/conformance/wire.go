package conformance

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// Names of the forms in the wire corpus.
const (
	Daemon       = "daemon"
	Handler      = "handler"
	RoundTripper = "round tripper"
)

// RequestCase is a request of the corpus in the bytes that a client writes, with the expected
// answer and the expected bytes at the server.
type RequestCase struct {
	Name string
	// Raw is sent with CRLF for each newline, unless Exact is set; ~ID~ is replaced by a unique ID.
	Raw       string
	Exact     bool
	HalfClose bool // the client closes its sending side after the request
	Head      bool // the request is a HEAD request, so its answer has no body
	// Want lists the status codes of all final answers, followed by "open" if the connection accepts
	// another request, or "close".
	Want string
	// Sent are lines that the server must get, Forbidden are parts of its head that must not occur.
	// It gets as many requests as Want has 200s.
	Sent, Forbidden []string
	// Overrides holds a different Want by form, each with a reason.
	Overrides map[string]Override
	// SocketsOnly is the reason why the round tripper skips a case that it could express.
	SocketsOnly string
}

// Override is a different expected result of one form, with the reason.
type Override struct{ Want, Reason string }

// ResponseCase is a response of the corpus in the bytes that a server writes, with the expected
// answer to the client.
type ResponseCase struct {
	Name  string
	Class string // "pay" if empty, which is not retried once it may have run
	// Raw is sent with CRLF for each newline, unless Exact is set. If empty, nothing is sent.
	Raw        string
	Exact      bool
	CloseAfter bool // the server closes the connection after the response
	// Want is the expected outcome of the request.
	Want Outcome
	Body string // expected body if served
	// Headers must be in the client's answer; Forbidden are header lines or names that must not.
	Headers, Forbidden []string
	TimeoutMs          string // X-Timeout-Ms of the request
	Sent               int    // how often the request reaches a server; 0 means once
	Reused             bool   // the next request uses the same server connection
}

// WireForm is a form that can be tested at the byte level. Addr is empty for a round tripper.
type WireForm struct {
	Name string
	Addr string
	Form
}

// StartWireForm starts a form with the platform's configuration and stops it when the test ends.
type StartWireForm func(t testing.TB, config []byte) WireForm

// receivedRequest is a request in the bytes that the server received.
type receivedRequest struct {
	conn int
	raw  string
}

// rawServer is a server that parses only the framing of requests and records their bytes.
type rawServer struct {
	ln       net.Listener
	done     sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
	arrivals []receivedRequest
	answer   func(id string) (text string, closeAfter bool)
}

const plainOK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func startRawServer(t testing.TB) *rawServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{ln: ln, answer: func(string) (string, bool) { return plainOK, false }}
	s.done.Go(func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.done.Go(func() { s.serve(n, c) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		s.done.Wait()
	})
	return s
}

// serve reads the requests of one connection. Surplus bytes are recorded as the start of another
// request.
func (s *rawServer) serve(n int, c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var raw bytes.Buffer
		length, chunked := 0, false
		for {
			line, err := r.ReadBytes('\n')
			raw.Write(line)
			if err != nil {
				if raw.Len() > 0 {
					s.record(n, raw.String())
				}
				return
			}
			if value, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
				length, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
			}
			chunked = chunked || string(line) == "Transfer-Encoding: chunked\r\n"
			if len(bytes.TrimRight(line, "\r\n")) == 0 {
				break
			}
		}
		if chunked {
			if !copyChunked(&raw, r) {
				s.record(n, raw.String())
				return
			}
		} else {
			io.CopyN(&raw, r, int64(length))
		}
		s.record(n, raw.String())
		_, id, _ := strings.Cut(strings.ToLower(raw.String()), "\r\nx-request-id: ")
		id, _, _ = strings.Cut(id, "\r\n")
		s.mu.Lock()
		answer := s.answer
		s.mu.Unlock()
		text, closeAfter := answer(id)
		io.WriteString(c, text)
		if closeAfter {
			return
		}
	}
}

// copyChunked copies a chunked body and reports whether it was complete.
func copyChunked(to *bytes.Buffer, r *bufio.Reader) bool {
	for {
		line, err := r.ReadString('\n')
		to.WriteString(line)
		size, serr := strconv.ParseInt(strings.TrimSpace(line), 16, 32)
		if err != nil || serr != nil {
			return false
		}
		if n, err := io.CopyN(to, r, size+2); err != nil || n != size+2 {
			return false
		}
		if size == 0 {
			return true
		}
	}
}

func (s *rawServer) record(n int, raw string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, receivedRequest{n, raw})
}

// since returns the requests received after the first n.
func (s *rawServer) since(n int) []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals[n:])
}

func (s *rawServer) count() int { return len(s.since(0)) }

// newWireTestbed starts a raw server and a form in front of it.
func newWireTestbed(t testing.TB, start StartWireForm) (WireForm, *rawServer) {
	s := startRawServer(t)
	known := engine.List{Seq: 1, Full: true, Servers: []engine.Server{{ID: "raw", Addr: s.ln.Addr().String(), State: policy.Ready, Weight: 1}}}
	return start(t, standin.PlatformConfig{Seed: 1, CachedList: &known, Classes: Classes(), ListPushed: true, NoProbes: true}.JSON()), s
}

func crlf(text string, exact bool) string {
	if exact {
		return text
	}
	return strings.ReplaceAll(text, "\n", "\r\n")
}

// RunRequests sends the corpus of requests to the form that start makes.
func RunRequests(t *testing.T, start StartWireForm) {
	form, server := newWireTestbed(t, start)
	skipped := 0
	for _, tt := range Requests() {
		want := tt.Want
		if d, ok := tt.Overrides[form.Name]; ok {
			want = d.Want
		}
		t.Run(tt.Name, func(t *testing.T) {
			before := server.count()
			id := fmt.Sprintf("edge-%d", lastID.Add(1))
			raw := crlf(strings.ReplaceAll(tt.Raw, "~ID~", id), tt.Exact)
			var got string
			if form.Addr != "" {
				got = exchange(t, form.Addr, raw, tt.HalfClose, tt.Head, strings.Count(want, " "))
			} else {
				q, ok := parseForClient(raw)
				if !ok || tt.SocketsOnly != "" {
					skipped++
					return
				}
				got = form.roundTrip(q)
				want, _, _ = strings.Cut(want, " ")
			}
			if got != want {
				t.Errorf("%q: got %s, want %s", tt.Raw[:min(len(tt.Raw), 200)], got, want)
			}
			received := server.since(before)
			served := strings.Count(want, "200")
			if strings.Contains(tt.Raw, " /healthz HTTP") {
				served = 0
			}
			if len(received) != served {
				t.Fatalf("the server got %d requests, want %d: %.800s", len(received), served, fmt.Sprintf("%+v", received))
			}
			if served == 0 {
				return
			}
			head, _, _ := strings.Cut(received[0].raw, "\r\n\r\n")
			lines := strings.Split(received[0].raw, "\r\n")
			for _, line := range tt.Sent {
				if line = strings.ReplaceAll(line, "~ID~", id); !slices.Contains(lines, line) {
					t.Errorf("the server did not get %q but %q", line, received[0].raw[:min(len(received[0].raw), 400)])
				}
			}
			for _, part := range tt.Forbidden {
				if strings.Contains(strings.ToLower(head), strings.ToLower(part)) {
					t.Errorf("the server got %q in %q", part, head)
				}
			}
			if n := strings.Count(strings.ToLower(head), "\r\nx-request-id:"); n != 1 || !strings.Contains(head, id) {
				t.Errorf("the id is in %d lines of %q", n, head)
			}
			if n := strings.Count(strings.ToLower(head), "content-length:") + strings.Count(strings.ToLower(head), "transfer-encoding:"); n > 1 {
				t.Errorf("%d framing headers in %q", n, head)
			}
		})
	}
	if form.Addr == "" {
		t.Logf("%d of %d cases do not apply to a round tripper", skipped, len(Requests()))
	}
}

// exchange writes raw on a new connection and returns the statuses received and the final state of
// the connection, in the format of RequestCase.Want.
func exchange(t *testing.T, addr, raw string, halfClose, headRequest bool, answers int) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	written := make(chan struct{})
	go func() {
		defer close(written)
		io.WriteString(c, raw) // a write error is ignored: only the answer matters
		if halfClose {
			c.(*net.TCPConn).CloseWrite()
		}
	}()
	defer func() { c.Close(); <-written }()
	r := bufio.NewReader(c)
	var got []string
	var request *http.Request // nil is a GET
	if headRequest {
		request = &http.Request{Method: http.MethodHead}
	}
	for {
		resp, err := http.ReadResponse(r, request)
		var netErr net.Error
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr):
			return strings.Join(append(got, "close"), " ")
		case err != nil:
			return strings.Join(append(got, "malformed"), " ")
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		got = append(got, strconv.Itoa(resp.StatusCode))
		if err != nil {
			return strings.Join(append(got, "broken"), " ")
		}
		if resp.StatusCode == http.StatusOK && !strings.Contains(raw, " /healthz") && string(body) != "ok" {
			return strings.Join(append(got, "with", string(body)), " ")
		}
		if resp.Close {
			c.(*net.TCPConn).CloseWrite() // tells a peer that still waits for a body that none follows
		}
		if resp.Close || len(got) < answers {
			continue // expect the close, or another answer
		}
		if halfClose {
			return strings.Join(append(got, "open"), " ")
		}
		if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n"); err != nil {
			return strings.Join(append(got, "close"), " ")
		}
		resp, err = http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			return strings.Join(append(got, "close"), " ")
		}
		return strings.Join(append(got, "open"), " ")
	}
}

// parseForClient parses raw into a request that a net/http client can send. It reports false unless
// raw is one complete request with a valid head and a single length.
func parseForClient(raw string) (*http.Request, bool) {
	var head httpmsg.Head
	if err := head.Read(bufio.NewReaderSize(strings.NewReader(raw), 32<<10)); err != nil && !errors.Is(err, httpmsg.ErrConnectionOption) {
		return nil, false
	}
	r := bufio.NewReader(strings.NewReader(raw))
	q, err := http.ReadRequest(r)
	if err != nil || q.ProtoMinor != 1 || q.URL.Host != "" {
		return nil, false
	}
	body, err := io.ReadAll(q.Body)
	if err != nil || r.Buffered() > 0 {
		return nil, false
	}
	if q.Body != http.NoBody {
		q.Body = io.NopCloser(bytes.NewReader(body))
	}
	target := q.RequestURI
	q.RequestURI, q.URL.Scheme, q.URL.Host = "", "http", q.Host
	if !strings.HasPrefix(target, "//") {
		q.URL.Opaque, q.URL.RawQuery, q.URL.ForceQuery = target, "", false
	}
	return q, true
}

// roundTrip sends q through a round tripper and returns the status that the handler would return.
func (e WireForm) roundTrip(q *http.Request) string {
	rt, ok := e.Form.(interface {
		Trip(*http.Request) Result
	})
	if !ok {
		return "no round tripper"
	}
	return rt.Trip(q).status()
}

// status returns the HTTP status code for the result.
func (a Result) status() string {
	switch a.Outcome {
	case Served:
		return "200"
	case Refused:
		return "503"
	case Failed:
		return "502"
	case Rejected:
		return strconv.Itoa(a.Status)
	}
	return fmt.Sprint(a)
}

// idleWait exceeds the time that a connection must be idle after a response before it is reused,
// also after a server has sent surplus bytes.
const idleWait = 100 * time.Millisecond

// RunResponses sends requests through the form that start makes while the server replies with the
// corpus of responses.
func RunResponses(t *testing.T, start StartWireForm) {
	form, server := newWireTestbed(t, start)
	for _, tt := range Responses() {
		t.Run(tt.Name, func(t *testing.T) {
			class := tt.Class
			if class == "" {
				class = "pay"
			}
			q, following := newRequest(class), newRequest("read")
			id := q.Header["X-Request-ID"]
			if tt.TimeoutMs != "" {
				q.Header["X-Timeout-Ms"] = tt.TimeoutMs
			}
			server.mu.Lock()
			server.answer = func(got string) (string, bool) {
				if got == id {
					return crlf(tt.Raw, tt.Exact), tt.CloseAfter
				}
				return plainOK, false
			}
			server.mu.Unlock()
			before := server.count()
			a := form.Do(t.Context(), q)
			if a.Outcome != tt.Want || a.Outcome == Served && a.Body != tt.Body {
				t.Errorf("%v, want %s %s", a, tt.Want, tt.Body)
			}
			for _, line := range tt.Headers {
				name, value, _ := strings.Cut(line, ": ")
				if !slices.Contains(a.Header.Values(name), value) {
					t.Errorf("%q is not in %v", line, a.Header)
				}
			}
			for _, line := range tt.Forbidden {
				name, value, exact := strings.Cut(line, ": ")
				if v := a.Header.Values(name); len(v) > 0 && (!exact || slices.Contains(v, value)) {
					t.Errorf("%s is %q", name, v)
				}
			}
			received := server.since(before)
			if len(received) != max(tt.Sent, 1) {
				t.Fatalf("the server got the request %d times, want %d", len(received), max(tt.Sent, 1))
			}
			if tt.Reused {
				time.Sleep(idleWait)
			}
			// The next request must be served whatever state this response left the connection in.
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			if next := form.Do(ctx, following); next.Outcome != Served || next.Body != "ok" {
				t.Errorf("the next request: %v", next)
			}
			all := server.since(before)
			if kept := all[len(all)-1].conn == received[len(received)-1].conn; kept != tt.Reused {
				t.Errorf("connection reused: %v, want %v", kept, tt.Reused)
			}
		})
	}
}

// CheckCorpus returns the errors of the corpus itself.
func CheckCorpus() error {
	var errs []error
	names := map[string]bool{}
	for _, c := range Requests() {
		if names[c.Name] {
			errs = append(errs, fmt.Errorf("duplicate request case name %s", c.Name))
		}
		names[c.Name] = true
		for form, d := range c.Overrides {
			if d.Reason == "" || d.Want == c.Want {
				errs = append(errs, fmt.Errorf("%s: override for %s has no reason or equals Want", c.Name, form))
			}
		}
		if !strings.HasSuffix(c.Want, "open") && !strings.HasSuffix(c.Want, "close") {
			errs = append(errs, fmt.Errorf("%s: Want does not end with open or close", c.Name))
		}
	}
	for _, c := range Responses() {
		if names["answer "+c.Name] {
			errs = append(errs, fmt.Errorf("duplicate response case name %s", c.Name))
		}
		names["answer "+c.Name] = true
	}
	if len(Requests()) < 150 || len(Responses()) < 60 {
		errs = append(errs, fmt.Errorf("corpus has %d requests and %d responses, want at least 150 and 60", len(Requests()), len(Responses())))
	}
	return errors.Join(errs...)
}
