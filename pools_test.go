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

// newTestServer starts a server that answers with an early hint, the status named in the path, a
// description of the request, and a trailer.
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

// writePoolsFile writes an operator's file with pools a and b. Route all sends weight percent of
// the requests to b.
func writePoolsFile(t *testing.T, path, a, b string, weight int) {
	t.Helper()
	text := ""
	for name, addr := range map[string]string{"a": a, "b": b} {
		text += fmt.Sprintf("[[pools]]\nname = %q\nservers = [{addr = %q}]\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\naim = \"8s\"\ndeadline = \"9s\"\n",
			name, strings.TrimPrefix(addr, "http://"))
	}
	text += fmt.Sprintf("[[routes]]\nname = \"all\"\nhosts = [\"shop.example\"]\nclass = \"any\"\nsplit = {a = %d, b = %d}\noverride_header = \"X-Pool\"\n", 100-weight, weight)
	text += "[[routes]]\nname = \"short\"\nhosts = [\"short.example\"]\nclass = \"any\"\npool = \"a\"\ntimeout = \"200ms\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestPools checks that the RoundTripper, the Handler and the Middleware of Pools pass on every
// final answer with its status and trailers, stream in both directions, and use the reloaded file.
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
				var hintCodes []int
				ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
					if h.Get("Link") == "</a>" {
						hintCodes = append(hintCodes, code)
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
				if resp.StatusCode != status || string(text) != want || err != nil || resp.Header.Get("X-Id") == "" || len(hintCodes) == 0 || !bare && resp.Trailer.Get("X-Sum") != "7" {
					t.Errorf("%s: %s: %d %q %v, hints %v, trailer %v; want %d %q", name, method, resp.StatusCode, text, err, hintCodes, resp.Trailer, status, want)
				}
			}
		}
		r, w := io.Pipe() // parts of the body are echoed while more are sent
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
			t.Errorf("%s: a canceled request: %v", name, err)
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
		t.Error("the split or its override is not applied")
	}
	writePoolsFile(t, path, a.URL, b.URL, 100)
	if err := p.Reload(); err != nil || get("") != "b" {
		t.Errorf("after the weights have changed: %v", err)
	}
	os.WriteFile(path, []byte("[[routes]]\n"), 0o600)
	if err := p.Reload(); err == nil || get("") != "b" {
		t.Errorf("an invalid file: %v", err)
	}
	var refused *RequestError
	q, _ := http.NewRequest("GET", "http://nobody.example/", nil)
	if _, err := p.RoundTripper().RoundTrip(q); !errors.As(err, &refused) || refused.Status != 404 {
		t.Errorf("no route: %v", err)
	}
	q, _ = http.NewRequest("POST", "http://short.example/silent", nil)
	var failed *FailedError
	if _, err := p.RoundTripper().RoundTrip(q); !errors.As(err, &failed) {
		t.Errorf("a server that does not answer: %v", err)
	}
	resp, err := http.Get(front.URL + "/x")
	if err != nil {
		t.Fatal(err)
	}
	if text, _ := io.ReadAll(resp.Body); string(text) != "other" {
		t.Errorf("a request without a route was answered with %q", text)
	}
	resp.Body.Close()
	if err := p.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	q, _ = http.NewRequest("GET", "http://shop.example/", nil)
	if _, err := p.RoundTripper().RoundTrip(q); !errors.Is(err, ErrClosed) {
		t.Errorf("after Shutdown: %v", err)
	}
}

// fixedAddrTransport sends all requests to one address, whatever their host.
type fixedAddrTransport struct {
	*http.Transport
	addr string
}

func (o fixedAddrTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	r := q.Clone(q.Context())
	r.Host, r.URL.Host = q.URL.Host, o.addr
	return o.Transport.RoundTrip(r)
}

// TestPoolsReloadDuringUpload checks that a request whose pool is removed by a reload, while the
// body is still being received, is routed by the new file.
func TestPoolsReloadDuringUpload(t *testing.T) {
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
		io.WriteString(more, "abc") // returns when it has been read: the request has been routed
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
