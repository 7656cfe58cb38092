package quillfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"os"
	"strings"
	"testing"
	"time"
)

// newTestServer answers with the status that the path tells, a trailer, and what it was sent.
func newTestServer(name string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		status := http.StatusOK
		fmt.Sscanf(q.URL.Path, "/status/%d", &status)
		if q.URL.Path == "/echo" {
			http.NewResponseController(w).EnableFullDuplex()
			w.(http.Flusher).Flush()
			copyAndFlush(w, q.Body, true)
			return
		}
		if q.URL.Path == "/silent" {
			<-q.Context().Done()
			return
		}
		w.Header().Set("Link", "</a>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("X-Server", name)
		w.Header().Set("X-Id", q.Header.Get("X-Request-ID"))
		body, _ := io.ReadAll(q.Body)
		w.WriteHeader(status)
		if status != http.StatusNoContent && status != http.StatusNotModified {
			fmt.Fprintf(w, "%s %s %d", q.Method, q.Host, len(body))
			w.(http.Flusher).Flush()
			w.Header().Set("X-Sum", "7")
		}
	}))
}

func writePoolsFile(t *testing.T, path, a, b string, weight int) {
	t.Helper()
	text := ""
	for name, addr := range map[string]string{"a": a, "b": b} {
		text += fmt.Sprintf("[[pools]]\nname = %q\nservers = [{addr = %q}]\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\naim = \"8s\"\ndeadline = \"9s\"\n",
			name, strings.TrimPrefix(addr, "http://"))
	}
	text += fmt.Sprintf("[[routes]]\nname = \"all\"\nhosts = [\"shop.example\"]\nclass = \"any\"\nsplit = {a = %d, b = %d}\noverride_header = \"X-Pool\"\n", 100-weight, weight)
	text += "[[routes]]\nname = \"hasty\"\nhosts = [\"hasty.example\"]\nclass = \"any\"\npool = \"a\"\ntimeout = \"200ms\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestPools: a round tripper, a handler and a middleware by routes give every final answer as it is, stream both ways, and go by the file as it
// is when it is read again.
func TestPools(t *testing.T) {
	a, b := newTestServer("a"), newTestServer("b")
	defer a.Close()
	defer b.Close()
	path := t.TempDir() + "/pools.toml"
	writePoolsFile(t, path, a.URL, b.URL, 0)
	p, err := OpenPools(path, 100)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	other := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { io.WriteString(w, "other") })
	front := httptest.NewServer(p.Middleware()(other))
	defer front.Close()
	tr := &http.Transport{DisableCompression: true}
	defer tr.CloseIdleConnections()
	for name, form := range map[string]http.RoundTripper{"round tripper": p.RoundTripper(), "handler": fixedAddrTransport{tr, strings.TrimPrefix(front.URL, "http://")}} {
		client := &http.Client{Transport: form, Timeout: 20 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		for _, status := range []int{200, 201, 204, 301, 304, 400, 404, 409, 422, 500} {
			for _, method := range []string{"GET", "HEAD", "PUT", "POST", "DELETE", "OPTIONS"} {
				var hints []int
				ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
					if h.Get("Link") == "</a>" {
						hints = append(hints, code)
					}
					return nil
				}})
				var body io.Reader
				if method == "PUT" {
					body = strings.NewReader("hello")
				}
				q, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://shop.example/status/%d", status), body)
				resp, err := client.Do(q)
				if err != nil {
					t.Fatalf("%s: %s %d: %v", name, method, status, err)
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				want := fmt.Sprintf("%s shop.example %d", method, map[string]int{"PUT": 5}[method])
				bare := method == "HEAD" || status == 204 || status == 304
				if bare {
					want = ""
				}
				if resp.StatusCode != status || string(text) != want || err != nil || resp.Header.Get("X-Id") == "" || len(hints) == 0 || !bare && resp.Trailer.Get("X-Sum") != "7" {
					t.Errorf("%s: %s: %d %q %v, hints %v, trailer %v; want %d %q", name, method, resp.StatusCode, text, err, hints, resp.Trailer, status, want)
				}
			}
		}
		r, w := io.Pipe() // what is echoed comes back while more is sent
		q, _ := http.NewRequest("POST", "http://shop.example/echo", r)
		resp, err := client.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			io.WriteString(w, "ping")
			buf := make([]byte, 4)
			if _, err := io.ReadFull(resp.Body, buf); err != nil || string(buf) != "ping" {
				t.Fatalf("%s: %q, %v", name, buf, err)
			}
		}
		w.Close()
		if rest, err := io.ReadAll(resp.Body); len(rest) > 0 || err != nil {
			t.Errorf("%s: %q, %v", name, rest, err)
		}
		resp.Body.Close()
		ctx, cancel := context.WithCancel(context.Background())
		q, _ = http.NewRequestWithContext(ctx, "GET", "http://shop.example/silent", nil)
		time.AfterFunc(50*time.Millisecond, cancel)
		if _, err := client.Do(q); !errors.Is(err, context.Canceled) {
			t.Errorf("%s: a request that was called off: %v", name, err)
		}
	}
	get := func(pool string) string {
		q, _ := http.NewRequest("GET", "http://shop.example/", nil)
		if pool != "" {
			q.Header.Set("X-Pool", pool)
		}
		resp, err := p.RoundTripper().RoundTrip(q)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.Header.Get("X-Server")
	}
	if get("") != "a" || get("b") != "b" {
		t.Error("the split or its override does not hold")
	}
	writePoolsFile(t, path, a.URL, b.URL, 100)
	if err := p.Reload(); err != nil || get("") != "b" {
		t.Errorf("after the weights have moved: %v", err)
	}
	os.WriteFile(path, []byte("[[routes]]\n"), 0o600)
	if err := p.Reload(); err == nil || get("") != "b" {
		t.Errorf("a file that cannot be used: %v", err)
	}
	var refused *RequestError
	q, _ := http.NewRequest("GET", "http://nobody.example/", nil)
	if _, err := p.RoundTripper().RoundTrip(q); !errors.As(err, &refused) || refused.Status != 404 {
		t.Errorf("no route: %v", err)
	}
	q, _ = http.NewRequest("POST", "http://hasty.example/silent", nil)
	var failed *FailedError
	if _, err := p.RoundTripper().RoundTrip(q); !errors.As(err, &failed) {
		t.Errorf("a server that says nothing: %v", err)
	}
	resp, err := http.Get(front.URL + "/x")
	if err != nil {
		t.Fatal(err)
	}
	if text, _ := io.ReadAll(resp.Body); string(text) != "other" {
		t.Errorf("what no route takes went to %q", text)
	}
	resp.Body.Close()
	if err := p.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	q, _ = http.NewRequest("GET", "http://shop.example/", nil)
	if _, err := p.RoundTripper().RoundTrip(q); !errors.Is(err, ErrClosed) {
		t.Errorf("after the end: %v", err)
	}
}

// fixedAddrTransport sends requests for any host to one address.
type fixedAddrTransport struct {
	*http.Transport
	addr string
}

func (o fixedAddrTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	r := q.Clone(q.Context())
	r.Host, r.URL.Host = q.URL.Host, o.addr
	return o.Transport.RoundTrip(r)
}

// TestPoolsReloadUnderBody: a request whose body is still coming when a reload takes its pool out goes by the new file.
func TestPoolsReloadUnderBody(t *testing.T) {
	old, fresh := newTestServer("old"), newTestServer("new")
	defer old.Close()
	defer fresh.Close()
	path := t.TempDir() + "/pools.toml"
	file := func(name, addr string) {
		text := fmt.Sprintf("[[pools]]\nname = %q\nservers = [{addr = %q}]\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\naim = \"8s\"\ndeadline = \"9s\"\n[[routes]]\nname = \"all\"\nclass = \"any\"\npool = %q\n",
			name, strings.TrimPrefix(addr, "http://"), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	file("old", old.URL)
	p, err := OpenPools(path, 100)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	body, more := io.Pipe()
	q, _ := http.NewRequest("POST", "http://shop.example/", body)
	q.ContentLength = 6
	go func() {
		io.WriteString(more, "abc") // returns once it has been read: the request is on its way
		file("new", fresh.URL)
		if err := p.Reload(); err != nil {
			t.Error(err)
		}
		io.WriteString(more, "def")
		more.Close()
	}()
	resp, err := p.RoundTripper().RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || resp.Header.Get("X-Server") != "new" || string(text) != "POST shop.example 6" {
		t.Errorf("%d of %s: %q", resp.StatusCode, resp.Header.Get("X-Server"), text)
	}
}
