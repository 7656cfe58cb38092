package services

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"quillfront/internal/sockets"
)

// httpConfig returns an operator's file with one HTTP service, one route for all requests and a
// pool of the given servers. extra is added to the [[http]] table.
func httpConfig(extra string, servers ...string) string {
	var list []string
	for i, s := range servers {
		list = append(list, fmt.Sprintf(`{id = "s%d", addr = %q}`, i, s))
	}
	return fmt.Sprintf(`
[[pools]]
name = "web"
servers = [%s]
dial = "1s"
[[pools.classes]]
name = "any"
effect = "by-request"
aim = "8s"
deadline = "9s"
window = "30s"
[[routes]]
name = "all"
class = "any"
pool = "web"
trust_idempotency_key = true
[[http]]
name = "front"
listen = "127.0.0.1:0"
health = "/.ready"
%s
`, strings.Join(list, ", "), extra)
}

// serveHTTP runs the services of a file until the test ends. It returns them and the address of the
// service "front".
func serveHTTP(t testing.TB, text string) (*Services, string) {
	return serveHTTPWithDescriptors(t, text, 900)
}

// serveHTTPWithDescriptors is serveHTTP with a limit on descriptors.
func serveHTTPWithDescriptors(t testing.TB, text string, descriptors int) (*Services, string) {
	t.Helper()
	o := loadConfig(t, t.TempDir(), text)
	budget := sockets.New(descriptors)
	s, err := New(o.Services, o.Routes, 16<<20, budget, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	budget.OnShortage(s.EvictIdle, s.EvictClient)
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return s, s.Addr("front")
}

// originHandler answers as the request specifies: the path selects the status, the query the rest.
// Response headers report what it received.
func originHandler(w http.ResponseWriter, q *http.Request) {
	status, err := strconv.Atoi(strings.TrimPrefix(q.URL.Path, "/status/"))
	if err != nil {
		status = http.StatusOK
	}
	v := q.URL.Query()
	h := w.Header()
	h.Set("X-Method", q.Method)
	h.Set("X-Target", q.RequestURI)
	h.Set("X-Host", q.Host)
	h.Set("X-Length", fmt.Sprint(q.ContentLength))
	for _, name := range []string{"Accept", "Cookie", "Range", "X-Custom", "Authorization", "Te", "Keep-Alive", "Connection", "Proxy-Authorization", "X-Dropped", "User-Agent", "Content-Type"} {
		if got := q.Header.Values(name); len(got) > 0 {
			h.Set("X-Got-"+name, strings.Join(got, "|"))
		}
	}
	for _, line := range v["head"] {
		name, value, _ := strings.Cut(line, ":")
		h.Add(name, value)
	}
	if v.Has("early") {
		h.Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		h.Del("Link")
	}
	body, _ := io.ReadAll(q.Body)
	for name, values := range q.Trailer {
		h.Set("X-Trailer-"+name, strings.Join(values, "|"))
	}
	h.Set("X-Body", fmt.Sprint(len(body)))
	size, _ := strconv.Atoi(v.Get("size"))
	text := strings.Repeat("0123456789", size/10+1)[:size]
	if v.Has("range") {
		http.ServeContent(w, q, "a.txt", time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), strings.NewReader(text))
		return
	}
	if v.Has("length") {
		h.Set("Content-Length", fmt.Sprint(size))
	}
	if v.Has("trailer") {
		h.Set("Trailer", "X-Sum")
	}
	w.WriteHeader(status)
	for len(text) > 0 {
		n := min(len(text), 20_000)
		io.WriteString(w, text[:n])
		if text = text[n:]; v.Has("flush") {
			w.(http.Flusher).Flush()
		}
	}
	if v.Has("trailer") {
		w.(http.Flusher).Flush()
		h.Set("X-Sum", "42")
	}
}

// exchangeCorpus returns requests in wire format, without the Host and Connection headers, which
// exchange adds.
func exchangeCorpus() (all []string) {
	add := func(method, target string, lines ...string) {
		all = append(all, method+" "+target+" HTTP/1.1\r\n"+strings.Join(append(lines, ""), "\r\n"))
	}
	statuses := []int{200, 201, 202, 203, 204, 205, 206, 300, 301, 302, 303, 304, 307, 308, 400, 401, 402, 403, 404, 405, 406, 409, 410, 411, 412, 413, 414, 415, 416, 417, 418,
		421, 422, 425, 426, 428, 429, 431, 451, 500, 501, 502, 503, 504, 507, 599}
	for _, s := range statuses {
		add("GET", fmt.Sprintf("/status/%d?size=30", s))
		add("HEAD", fmt.Sprintf("/status/%d?size=30&length=1", s))
		add("POST", fmt.Sprintf("/status/%d", s), "Content-Length: 5", "Content-Type: text/plain", "", "hello")
	}
	for _, m := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "NOVEL", "REPORT"} {
		add(m, "/a/b?x=1&y=%20z&size=10")
		add(m, "/a/b?size=10", "Content-Length: 3", "", "abc")
		add(m, "/a/b?size=10", "Transfer-Encoding: chunked", "", "3\r\nabc\r\n0\r\n")
	}
	for _, size := range []int{0, 1, 4095, 4096, 8000, 65_536, 65_537, 300_000} {
		for _, how := range []string{"", "&length=1", "&flush=1", "&trailer=1"} {
			add("GET", fmt.Sprintf("/sizes?size=%d%s", size, how), "TE: trailers")
		}
		add("POST", "/up", fmt.Sprintf("Content-Length: %d", size), "", strings.Repeat("x", size))
		if size > 0 {
			add("POST", "/up", "Transfer-Encoding: chunked", "", fmt.Sprintf("%x\r\n%s\r\n0\r\n", size, strings.Repeat("x", size)))
		}
	}
	for _, r := range []string{"bytes=0-9", "bytes=5-", "bytes=-5", "bytes=2-3,5-7", "bytes=900-", "bytes=x"} {
		add("GET", "/r?range=1&size=100", "Range: "+r)
		add("HEAD", "/r?range=1&size=100", "Range: "+r)
	}
	add("GET", "/r?range=1&size=100", "If-Modified-Since: Fri, 02 Jan 2026 03:04:05 GMT")
	add("GET", "/r?range=1&size=100", "If-Unmodified-Since: Thu, 01 Jan 2026 03:04:05 GMT")
	for _, line := range []string{"Accept: text/html, */*;q=0.1", "Cookie: a=1; b=2", "Cookie: a=1\r\nCookie: b=2", "X-Custom: one\r\nX-Custom: two", "Authorization: Basic YTpi",
		"Connection: X-Dropped\r\nX-Dropped: 1", "Keep-Alive: timeout=9", "Proxy-Authorization: Basic YTpi", "X-Custom:", "X-Custom: \t spaced \t", "User-Agent: test/1", "X-Custom: caf\xc3\xa9"} {
		add("GET", "/lines?size=3", line)
	}
	for _, head := range []string{"Location:/elsewhere", "Location:http://other.example/", "Set-Cookie:a=1&head=Set-Cookie:b=2", "Retry-After:9", "Www-Authenticate:Basic", "Etag:%22x%22", "Vary:Accept",
		"Connection:X-Secret&head=X-Secret:1", "Keep-Alive:timeout=3", "Cache-Control:no-store", "Content-Type:text/event-stream", "Content-Encoding:br", "Date:Thu,%2001%20Jan%202026%2003:04:05%20GMT", "Server:origin/1"} {
		add("GET", "/heads?size=4&head="+head)
		add("GET", "/status/302?size=4&head="+head)
	}
	for _, target := range []string{"/", "/?", "/a//b", "/a%2Fb", "/a%20b", "/ä", "/a;b=c", "/a?b=c?d", "/a?%zz", "/a/", "/~user/", "/a+b", "/a%00b", "/%41", "/a'(b)*c"} {
		add("GET", target)
	}
	add("GET", "/hints?early=1&size=5")
	add("POST", "/hints?early=1&size=5", "Content-Length: 2", "", "ab")
	add("POST", "/trail", "Transfer-Encoding: chunked", "Trailer: X-Up", "", "2\r\nab\r\n0\r\nX-Up: 7\r\n")
	add("POST", "/go", "Expect: 100-continue", "Content-Length: 2", "", "ab")
	return all
}

// exchangeResult is the response to a request.
type exchangeResult struct {
	status  int
	interim []int
	header  http.Header
	body    string
	trailer http.Header
	err     error
}

// exchange sends one request in wire format and reads the response.
func exchange(addr, text string) (x exchangeResult) {
	c, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		return exchangeResult{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	line, rest, _ := strings.Cut(text, "\r\n")
	method, _, _ := strings.Cut(line, " ")
	go io.WriteString(c, line+"\r\nHost: fleet.example\r\nConnection: close\r\n"+rest+"\r\n")
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			x.err = err
			return x
		}
		if resp.StatusCode >= 200 {
			body, err := io.ReadAll(resp.Body)
			x.status, x.header, x.body, x.trailer, x.err = resp.StatusCode, resp.Header, string(body), resp.Trailer, err
			x.header.Set("Content-Length", fmt.Sprint(resp.ContentLength))
			return x
		}
		if resp.StatusCode != http.StatusContinue { // 100 Continue may come from the server or the proxy
			x.interim = append(x.interim, resp.StatusCode)
		}
	}
}

// intendedDifferences lists the intended differences from httputil.ReverseProxy: a text that the
// request contains, and the reason.
var intendedDifferences = []struct{ request, reason string }{
	{"/a%00b", "servers disagree on a target with an escaped control character, so the proxy rejects it"},
	{"/a%2Fb", "servers disagree on an escaped slash in the first segment of a path, so the proxy rejects it"},
	{"/a?%zz", "an invalid query is forwarded unchanged; ReverseProxy removes it"},
	{"bytes=2-3,5-7", "the server generates a new boundary for each response"},
	{"/trail", "request trailers are forwarded; ReverseProxy announces them but does not send them"},
	{"/\xc3\xa4", "a target must not contain non-ASCII bytes (RFC 3986), so the proxy rejects it; ReverseProxy escapes them"},
}

// TestMatchesReverseProxy sends a corpus of requests to one server through httputil.ReverseProxy
// and through an HTTP service, and checks that the responses are the same.
func TestMatchesReverseProxy(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(originHandler))
	defer srv.Close()
	to, _ := url.Parse(srv.URL)
	proxy := &httputil.ReverseProxy{Rewrite: func(p *httputil.ProxyRequest) { p.SetURL(to); p.Out.Host = p.In.Host }, FlushInterval: -1}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	proxy.Transport = transport
	proxy.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	reference := httptest.NewServer(proxy)
	defer reference.Close()
	_, addr := serveHTTP(t, httpConfig("", strings.TrimPrefix(srv.URL, "http://")))
	corpus := exchangeCorpus()
	if len(corpus) < 200 {
		t.Fatalf("%d exchanges", len(corpus))
	}
	// Headers that each proxy generates itself or that belong to the connection.
	ignored := []string{"Date", "Via", "Keep-Alive", "Connection", "Content-Length"}
	differs := func(text, key string) bool { // a buffered chunked body is sent with its length
		if key == "Retry-After" { // added to the response if all servers failed a safe request
			return strings.Contains(text, "/status/5")
		}
		return key == "X-Length" && strings.Contains(text, "Transfer-Encoding: chunked")
	}
	for _, text := range corpus {
		name := strings.SplitN(text, "\r\n", 2)[0]
		if slices.ContainsFunc(intendedDifferences, func(d struct{ request, reason string }) bool { return strings.Contains(text, d.request) }) {
			continue
		}
		want, got := exchange(strings.TrimPrefix(reference.URL, "http://"), text), exchange(addr, text)
		if want.err != nil {
			t.Errorf("%s: ReverseProxy: %v", name, want.err)
			continue
		}
		if got.err != nil || got.status != want.status || got.body != want.body || !slices.Equal(got.interim, want.interim) {
			t.Errorf("%.200q:\n got %d %v %.60q %v\nwant %d %v %.60q", text, got.status, got.interim, got.body, got.err, want.status, want.interim, want.body)
			continue
		}
		for _, h := range []struct{ got, want http.Header }{{got.header, want.header}, {got.trailer, want.trailer}} {
			for _, key := range append(slices.Collect(keys(h.got)), slices.Collect(keys(h.want))...) {
				if !differs(text, key) && !slices.Contains(ignored, textproto.CanonicalMIMEHeaderKey(key)) && !slices.Equal(h.got[key], h.want[key]) {
					t.Errorf("%.200q: %s is %q, want %q", text, key, h.got[key], h.want[key])
				}
			}
		}
		if got.header.Get("Date") == "" || !strings.Contains(got.header.Get("Via"), "quillfront") {
			t.Errorf("%s: Date %q, Via %q", name, got.header.Get("Date"), got.header.Get("Via"))
		}
	}
	t.Logf("%d exchanges, %d intended differences", len(corpus), len(intendedDifferences))
}

// keys returns an iterator over the names of the headers in h.
func keys(h http.Header) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range h {
			if !yield(k) {
				return
			}
		}
	}
}
