package services

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// singlePoolConfig returns an operator's file with one HTTP service, one route and one pool of one
// server. extra is added to the [[pools]] table.
func singlePoolConfig(pool, addr, extra string) string {
	return fmt.Sprintf("[[pools]]\nname = %q\nservers = [{id = \"s\", addr = %q}]\n%s\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\naim = \"8s\"\ndeadline = \"9s\"\n"+
		"[[routes]]\nname = \"all\"\nclass = \"any\"\npool = %q\n[[http]]\nname = \"front\"\nlisten = \"127.0.0.1:0\"\nstall = \"9s\"\nhead_time = \"9s\"\n", pool, addr, extra, pool)
}

// reload checks the text of an operator's file and applies it to s.
func reload(t *testing.T, s *Services, text string) {
	t.Helper()
	o := loadConfig(t, t.TempDir(), text)
	if err := s.Check(o.Services, o.Routes); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Reload(o.Services, o.Routes); err != nil {
		t.Fatal(err)
	}
}

// startNamedServer starts a server that responds with its name.
func startNamedServer(t *testing.T, name string) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		io.WriteString(w, name)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// get requests / and returns status and body.
func get(t *testing.T, c *http.Client, addr string) (int, string) {
	resp, err := c.Get("http://" + addr)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// TestRetireFailsRequestWithoutServer checks that a request that waits for a usable server in a
// retired pool is refused when the grace period of the pool ends, long before its own deadline.
// Until then it is reported as pending.
func TestRetireFailsRequestWithoutServer(t *testing.T) {
	text := strings.Replace(singlePoolConfig("old", "127.0.0.1:1", ""), "}]", ", drain = true}]", 1)
	s, addr := serveHTTP(t, text)
	start, done := time.Now(), make(chan int, 1)
	go func() {
		status, _ := get(t, newClient(t), addr)
		done <- status
	}()
	for len(s.PendingRequests(0)) == 0 {
		time.Sleep(time.Millisecond)
	}
	reload(t, s, singlePoolConfig("new", startNamedServer(t, "new"), ""))
	if status, body := get(t, newClient(t), addr); status != 200 || body != "new" {
		t.Errorf("status %d %q from the new pool", status, body)
	}
	if all := s.PendingRequests(0); len(all) != 1 || all[0].Pool != "old" || all[0].Description != "GET /" || !strings.Contains(all[0].String(), "a list") {
		t.Errorf("pending requests: %+v", all)
	}
	if status := <-done; status != http.StatusServiceUnavailable || time.Since(start) > retireGracePeriod+3*time.Second {
		t.Errorf("status %d after %v", status, time.Since(start))
	}
	for until := time.Now().Add(testTimeout); s.RetirementStats() != (RetirementStats{Pools: 1, Cut: 1}); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%+v", s.RetirementStats())
		}
	}
}

// TestRetireDuringLoadQuery checks that a request that waits for a load report when its pool is
// retired is still sent to that pool, and is retried there if its attempt fails.
func TestRetireDuringLoadQuery(t *testing.T) {
	queried, respond := make(chan struct{}, 9), make(chan struct{})
	load := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, q *http.Request) {
		queried <- struct{}{}
		<-respond
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nTEXT queue=0")
	})
	_, port, _ := net.SplitHostPort(load)
	var attempts atomic.Int32
	resetFirst := func(c net.Conn, r *bufio.Reader, q *http.Request) {
		if attempts.Add(1) == 1 {
			resetConn(c)
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nold")
	}
	text := singlePoolConfig("old", startScriptedServer(t, resetFirst), "load_port = "+port)
	s, addr := serveHTTP(t, strings.Replace(text, "}]", fmt.Sprintf("}, {id = \"t\", addr = %q}]", startScriptedServer(t, resetFirst)), 1))
	done := make(chan string, 1)
	go func() {
		status, body := get(t, newClient(t), addr)
		done <- fmt.Sprint(status, body)
	}()
	<-queried
	reload(t, s, singlePoolConfig("new", startNamedServer(t, "new"), ""))
	close(respond)
	if got := <-done; got != "200old" || attempts.Load() != 2 {
		t.Errorf("%s after %d attempts", got, attempts.Load())
	}
}

// TestRetireReleasesGuarantees checks that retired pools, each with a streaming response still
// open, give up their guarantee of descriptors, so that new pools are served.
func TestRetireReleasesGuarantees(t *testing.T) {
	finish := make(chan struct{})
	release := sync.OnceFunc(func() { close(finish) })
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/stream" {
			io.WriteString(w, "a")
			w.(http.Flusher).Flush()
			<-finish
		}
	}))
	defer srv.Close()
	defer release()
	server := strings.TrimPrefix(srv.URL, "http://")
	s, addr := serveHTTP(t, singlePoolConfig("p0", server, ""))
	client := newClient(t)
	for i := range 4 {
		resp, err := client.Get("http://" + addr + "/stream")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Fatalf("status %d with %d retired pools that have an open stream", resp.StatusCode, i)
		}
		reload(t, s, singlePoolConfig(fmt.Sprint("p", i+1), server, ""))
		if status, _ := get(t, client, addr); status != 200 {
			t.Errorf("status %d with %d retired pools that have an open stream", status, i+1)
		}
	}
}

// TestReloadWhileReadingBody checks that a request whose body is still being read when its pool or
// its class is replaced is routed by the new table.
func TestReloadWhileReadingBody(t *testing.T) {
	old, fresh := startNamedServer(t, "old"), startNamedServer(t, "new")
	for _, tt := range []struct{ name, text, want string }{
		{"another pool", singlePoolConfig("new", fresh, ""), "new"},
		{"another class", strings.Replace(singlePoolConfig("old", old, ""), "[[http]]", "timeout = \"5s\"\n[[http]]", 1), "old"},
	} {
		s, addr := serveHTTP(t, singlePoolConfig("old", old, ""))
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n01234")
		for s.httpPools.bodyBytesInUse() == 0 { // the body is being read
			time.Sleep(time.Millisecond)
		}
		reload(t, s, tt.text)
		io.WriteString(c, "56789")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(tt.name, err)
		}
		if body, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != tt.want {
			t.Errorf("%s: %d %q, want 200 %q", tt.name, resp.StatusCode, body, tt.want)
		}
		resp.Body.Close()
		for until := time.Now().Add(testTimeout); s.httpPools.bodyBytesInUse() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%s: %d bytes of bodies are still in use", tt.name, s.httpPools.bodyBytesInUse())
			}
		}
	}
}

// bodyBytesInUse returns the bytes that request bodies use in all pools, including retiring ones.
func (s *httpPoolSet) bodyBytesInUse() (sum int64) {
	for _, p := range s.all() {
		used, _ := p.bodyShare.Used()
		sum += used
	}
	return sum
}

// TestDrainWaitsForRetiredPools checks that Drain also waits for requests of pools that were
// retired before.
func TestDrainWaitsForRetiredPools(t *testing.T) {
	arrived, respond := make(chan struct{}), make(chan struct{})
	slow := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, q *http.Request) {
		close(arrived)
		<-respond
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	})
	s, addr := serveHTTP(t, singlePoolConfig("old", slow, ""))
	done := make(chan int, 1)
	go func() {
		status, _ := get(t, newClient(t), addr)
		done <- status
	}()
	<-arrived
	reload(t, s, singlePoolConfig("new", startNamedServer(t, "new"), ""))
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		if err := (&HTTPPools{s.httpPools}).Drain(t.Context()); err != nil {
			t.Error(err)
		}
	}()
	select {
	case <-drained:
		t.Error("Drain returned while a request was open")
	case <-time.After(50 * time.Millisecond):
	}
	close(respond)
	<-drained
	if status := <-done; status != 200 {
		t.Error(status)
	}
}

// TestReloadKeepsRemovedStream checks that a stream service that was removed from the file keeps
// serving, also new connections, until the next start.
func TestReloadKeepsRemovedStream(t *testing.T) {
	web := singlePoolConfig("web", startNamedServer(t, "web"), "")
	text := web + fmt.Sprintf("[[pools]]\nname = \"meters\"\nservers = [{addr = %q}]\n[[pools.classes]]\nname = \"meter\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n"+
		"[[streams]]\nname = \"meters\"\nlisten = \"127.0.0.1:0\"\npool = \"meters\"\nclass = \"meter\"\n", startEchoServer(t))
	s, _ := serveHTTP(t, text)
	for range 3 {
		c, err := net.Dial("tcp", s.Addr("meters"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		got := make([]byte, 5)
		if io.WriteString(c, "level"); err == nil {
			_, err = io.ReadFull(c, got)
		}
		if err != nil || string(got) != "level" {
			t.Fatalf("%q, %v", got, err)
		}
		o := loadConfig(t, t.TempDir(), web)
		if restart, err := s.Reload(o.Services, o.Routes); err != nil || !restart {
			t.Errorf("restart %v, %v", restart, err)
		}
	}
}
