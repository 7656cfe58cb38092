package gin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/goleak"

	"quillfront"
	fleetgin "quillfront/middleware/gin"
)

func TestMain(m *testing.M) {
	gin.SetMode(gin.ReleaseMode)
	goleak.VerifyTestMain(m)
}

// startApp starts a server, a Balancer for it, and a Gin application with routes of its own. mount
// adds the Balancer to the application.
func startApp(t *testing.T, server http.HandlerFunc, mount func(r *gin.Engine, b *quillfront.Balancer)) (url string, b *quillfront.Balancer) {
	t.Helper()
	backend := httptest.NewServer(server)
	t.Cleanup(backend.Close)
	b, err := quillfront.New(quillfront.Config{
		Classes: []quillfront.Class{
			{Name: "read", Effect: quillfront.Safe, Aim: 9 * time.Second, Deadline: 10 * time.Second},
			{Name: "pay", Effect: quillfront.Unsafe, Aim: 9 * time.Second, Deadline: 10 * time.Second},
		},
		Servers: quillfront.Static(quillfront.Server{Addr: backend.Listener.Addr().String()}),
		Reports: quillfront.Never,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	r := gin.New()
	r.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, err any) { c.AbortWithStatus(http.StatusTeapot) }))
	mount(r, b)
	r.GET("/own/:name", func(c *gin.Context) { c.String(http.StatusOK, "own "+c.Param("name")) })
	r.GET("/panics", func(*gin.Context) { panic("the app's") })
	srv := httptest.NewServer(r)
	t.Cleanup(srv.Close)
	return srv.URL, b
}

var lastID atomic.Int64

// send sends a request with a fresh request ID and returns its answer. The status is 0 on an error.
func send(t *testing.T, ctx context.Context, method, url, body string) (status int, text string) {
	t.Helper()
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("X-Request-ID", fmt.Sprintf("g%d", lastID.Add(1)))
	q.Close = true
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(got)
}

// echo answers with the method, the target and the body of the request.
func echo(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	fmt.Fprintf(w, "%s %s %s", q.Method, q.RequestURI, body)
}

// TestRoutes checks that requests of known classes go to the servers, with Middleware as with
// Fleet, and that the application handles all others as before, including panics.
func TestRoutes(t *testing.T) {
	for name, mount := range map[string]func(*gin.Engine, *quillfront.Balancer){
		"Middleware": func(r *gin.Engine, b *quillfront.Balancer) { r.Use(fleetgin.Middleware(b, nil)) },
		"Fleet": func(r *gin.Engine, b *quillfront.Balancer) {
			r.Any("/read/*rest", fleetgin.Fleet(b))
			r.Any("/pay/*rest", fleetgin.Fleet(b))
		},
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := startApp(t, echo, mount)
			for _, tt := range []struct {
				method, path, body string
				status             int
				want               string
			}{
				{"GET", "/read/k%2Fx?y=1", "", 200, "GET /read/k%2Fx?y=1 "},
				{"POST", "/pay/k", "body", 200, "POST /pay/k body"},
				{"GET", "/own/x", "", 200, "own x"},
				{"GET", "/panics", "", 418, ""},
				{"GET", "/nowhere", "", 404, "404 page not found"},
				{"POST", "/read/k", "x", 405, "the method is not that of the class\n"},
			} {
				if status, text := send(t, t.Context(), tt.method, url+tt.path, tt.body); status != tt.status || text != tt.want {
					t.Errorf("%s %s: %d %q, want %d %q", tt.method, tt.path, status, text, tt.status, tt.want)
				}
			}
		})
	}
}

// TestOneAnswer checks that only the Balancer answers a request that was refused or has failed, and
// that an unsafe request that may have run is not sent again.
func TestOneAnswer(t *testing.T) {
	var sent atomic.Int64
	url, _ := startApp(t, func(w http.ResponseWriter, q *http.Request) {
		sent.Add(1)
		if strings.HasPrefix(q.URL.Path, "/pay") {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}, func(r *gin.Engine, b *quillfront.Balancer) {
		r.Use(fleetgin.Middleware(b, nil))
		r.GET("/read/k", func(c *gin.Context) { c.String(http.StatusOK, "the app must not answer") })
	})
	if status, text := send(t, t.Context(), "POST", url+"/pay/k", "x"); status != http.StatusBadGateway || text != "" {
		t.Errorf("failed: %d %q", status, text)
	}
	if n := sent.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
	if status, text := send(t, t.Context(), "GET", url+"/read/k", ""); status != http.StatusServiceUnavailable || text != "" {
		t.Errorf("refused: %d %q", status, text)
	}
}

// TestClientDisconnects checks that a client that disconnects cancels its attempt and its request.
func TestClientDisconnects(t *testing.T) {
	arrived, canceled := make(chan struct{}), make(chan struct{})
	url, b := startApp(t, func(_ http.ResponseWriter, q *http.Request) {
		close(arrived)
		<-q.Context().Done()
		close(canceled)
	}, func(r *gin.Engine, b *quillfront.Balancer) { r.Use(fleetgin.Middleware(b, nil)) })
	ctx, leave := context.WithCancel(t.Context())
	go func() { <-arrived; leave() }()
	if status, _ := send(t, ctx, "GET", url+"/read/k", ""); status != 0 {
		t.Errorf("answer %d to a client that has disconnected", status)
	}
	select {
	case <-canceled:
	case <-time.After(20 * time.Second):
		t.Error("the attempt was not canceled")
	}
	for end := time.Now().Add(20 * time.Second); b.Snapshot().Open > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request is still open")
		}
	}
}

// TestPools checks that a request that matches a route goes to its pool, that the answer's status
// is passed on, and that all other requests go to the application.
func TestPools(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, q.Method)
	}))
	defer backend.Close()
	path := t.TempDir() + "/pools.toml"
	text := fmt.Sprintf("[[pools]]\nname = \"web\"\nservers = [{addr = %q}]\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\naim = \"8s\"\ndeadline = \"9s\"\n"+
		"[[routes]]\nname = \"shop\"\npath = \"/shop/{rest...}\"\nclass = \"any\"\npool = \"web\"\n", backend.Listener.Addr().String())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p, err := quillfront.OpenPools(path, 100)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	r := gin.New()
	r.Use(fleetgin.Routes(p))
	r.GET("/own/:name", func(c *gin.Context) { c.String(http.StatusOK, "own "+c.Param("name")) })
	srv := httptest.NewServer(r)
	defer srv.Close()
	defer http.DefaultClient.CloseIdleConnections()
	for _, tt := range []struct {
		method, path, want string
		status             int
	}{{"PUT", "/shop/a", "PUT", 201}, {"GET", "/own/x", "own x", 200}, {"GET", "/none", "404 page not found", 404}} {
		if status, text := send(t, context.Background(), tt.method, srv.URL+tt.path, ""); status != tt.status || text != tt.want {
			t.Errorf("%s: %d %q, want %d %q", tt.path, status, text, tt.status, tt.want)
		}
	}
}
