package fronttest

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"testing"
	"time"

	"quillfront"
	"quillfront/policy"
)

// The forms of the library that the soak plays beside the fronts of the program.
const (
	handlerForm   = "handler"   // Balancer.Handler
	transportForm = "transport" // Balancer.RoundTripper, behind a reverse proxy that flushes at once
)

// startLibrary starts a form of the library in this process. It has no signals and no log.
func startLibrary(t testing.TB, form string, o options) *front {
	t.Helper()
	o = o.withDefaults()
	effects := map[policy.Effect]quillfront.Effect{policy.Safe: quillfront.Safe, policy.Keyed: quillfront.Keyed, policy.Unsafe: quillfront.Unsafe}
	config := quillfront.Config{Reports: quillfront.Never, Limits: quillfront.Limits{Connections: o.sockets, BodyBytes: int64(o.memoryMB) << 17}}
	for _, c := range o.classes() {
		config.Classes = append(config.Classes, quillfront.Class{Name: c.Name, Effect: effects[c.Effect], KeyWindow: c.KeyTTL, Aim: c.Aim, Deadline: c.Deadline})
	}
	var servers []quillfront.Server
	for i, addr := range o.servers {
		servers = append(servers, quillfront.Server{ID: fmt.Sprint("s", i), Addr: addr})
	}
	config.Servers = quillfront.Static(servers...)
	b, err := quillfront.New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.Close() })
	handler := b.Handler()
	if form == transportForm {
		handler = reverseProxy(b.RoundTripper())
	}
	server := httptest.NewServer(handler)
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // aborted answers
	t.Cleanup(server.Close)
	return &front{t: t, kind: form, addr: server.Listener.Addr().String()}
}

// reverseProxy returns a handler that sends each request through a RoundTripper and passes the answer
// on as it comes.
func reverseProxy(through http.RoundTripper) http.Handler {
	target := &url.URL{Scheme: "http", Host: "fleet"}
	return &httputil.ReverseProxy{
		Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(target) },
		Transport:     through,
		FlushInterval: -1,
		ErrorLog:      log.New(io.Discard, "", 0),
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, err error) {
			w.WriteHeader(http.StatusBadGateway)
		},
	}
}

// TestHandlerEarlyAnswerToSlowReader guards against a long early answer that is reset after it was
// written, while a client that is still sending its request reads it.
func TestHandlerEarlyAnswerToSlowReader(t *testing.T) {
	fleet := startScriptedFleet(t, 2)
	f := startLibrary(t, handlerForm, options{servers: fleet.addrs})
	plan := &answerPlan{shape: "lumps", framing: inChunks, pieces: lumps(300_000, 2, 200*time.Millisecond), early: true}
	x := &exchange{class: "pay", wait: time.Second, plan: fleet.add(plan), bodySize: 128 << 10, writeRate: 64 << 10, readRate: 100 << 10}
	x.run(f)
	if x.status != http.StatusOK || !x.whole {
		t.Error(x.describe(plan, fleet.attemptsOf(x.plan)))
	}
}
