package quillfront_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"quillfront"
)

// startServer starts one of the servers behind the Balancer.
func startServer(answer func(w http.ResponseWriter, q *http.Request)) (s quillfront.Server, stop func()) {
	srv := httptest.NewServer(http.HandlerFunc(answer))
	return quillfront.Server{Addr: srv.Listener.Addr().String()}, srv.Close
}

// classes are the request classes of the examples.
var classes = []quillfront.Class{
	{Name: "allocation-check", Effect: quillfront.Safe, Aim: 600 * time.Millisecond, Deadline: 3 * time.Second, Worth: 2},
	{Name: "delivery-order", Effect: quillfront.Keyed, KeyWindow: 1500 * time.Millisecond, Aim: 600 * time.Millisecond,
		Deadline: 2500 * time.Millisecond, Worth: 10, LateShare: 0.5},
}

// A Balancer is used as the transport of an http.Client.
func Example() {
	server, stop := startServer(func(w http.ResponseWriter, q *http.Request) { fmt.Fprintf(w, "12 ML left at %s", q.URL.Path) })
	defer stop()
	b, err := quillfront.New(quillfront.Config{
		Classes: classes, Servers: quillfront.Static(server), Reports: quillfront.Never,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer b.Shutdown(context.Background())
	client := &http.Client{Transport: b.RoundTripper()}
	resp, err := client.Get("http://fleet/allocation-check/farm-7")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	fmt.Println(string(text))
	// Output: 12 ML left at /allocation-check/farm-7
}

// After a refusal it is safe to retry, after the delay that the error holds. A failed request may
// have run.
func ExampleRefusedError() {
	server, stop := startServer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Processed", "1") // overloaded: the request was not processed
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	defer stop()
	b, err := quillfront.New(quillfront.Config{
		Classes: classes, Servers: quillfront.Static(server), Reports: quillfront.Never,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer b.Close()
	q, _ := http.NewRequest(http.MethodPost, "http://fleet/delivery-order/outlet-3", strings.NewReader("2 ML"))
	q.Header.Set("Idempotency-Key", "5c0f6e1a")
	_, err = b.RoundTripper().RoundTrip(q)
	var refused *quillfront.RefusedError
	if errors.As(err, &refused) {
		fmt.Println("refused; come back later:", refused.RetryAfter > 0)
	}
	// Output: refused; come back later: true
}

// The middleware sends the requests of known classes to the servers, and all others to the
// application's own handler.
func ExampleBalancer_Middleware() {
	server, stop := startServer(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "from the fleet") })
	defer stop()
	b, err := quillfront.New(quillfront.Config{
		Classes: classes, Servers: quillfront.Static(server), Reports: quillfront.Never,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer b.Close()
	app := http.NewServeMux()
	app.HandleFunc("/about", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "from the app") })
	h := b.Middleware(nil)(app)
	for _, path := range []string{"/allocation-check/farm-7", "/about"} {
		w, q := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil)
		q.Header.Set("X-Request-ID", path)
		h.ServeHTTP(w, q)
		fmt.Println(w.Body)
	}
	// Output:
	// from the fleet
	// from the app
}

// The application provides the server list through a channel.
func ExamplePush() {
	server, stop := startServer(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	defer stop()
	lists := make(chan []quillfront.Server, 1)
	b, err := quillfront.New(quillfront.Config{
		Classes: classes, Servers: quillfront.Push(lists), Reports: quillfront.Never,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer b.Close()
	lists <- []quillfront.Server{server} // requests sent earlier wait for the first list
	resp, err := (&http.Client{Transport: b.RoundTripper()}).Get("http://fleet/allocation-check/farm-7")
	if err != nil {
		fmt.Println(err)
		return
	}
	resp.Body.Close()
	fmt.Println(resp.Status, len(b.Snapshot().Servers))
	// Output: 200 OK 1
}
