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

// singlePoolConfig is a file with one pool of that name and one server, and text in the pool's table; what is in it counts as safe.
func singlePoolConfig(pool, addr, text string) string {
	return fmt.Sprintf("[[pools]]\nname = %q\nservers = [{id = \"s\", addr = %q}]\n%s\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\naim = \"8s\"\ndeadline = \"9s\"\n"+
		"[[routes]]\nname = \"all\"\nclass = \"any\"\npool = %q\n[[http]]\nname = \"front\"\nlisten = \"127.0.0.1:0\"\nstall = \"9s\"\nhead_time = \"9s\"\n", pool, addr, text, pool)
}

// reload has s take over a file.
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

// startNamedServer is a server that tells its name.
func startNamedServer(t *testing.T, name string) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		io.WriteString(w, name)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// get asks for / and returns status and body.
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

// TestRetireFailsRequestWithoutServer: a request that waits for a list with a server, in a pool that is taken out, is refused once the pool's time is up,
// long before its own; until then it is told what it waits for.
func TestRetireFailsRequestWithoutServer(t *testing.T) {
	text := strings.Replace(singlePoolConfig("old", "127.0.0.1:1", ""), "}]", ", drain = true}]", 1)
	s, addr := serveHTTP(t, text)
	began, done := time.Now(), make(chan int, 1)
	go func() {
		status, _ := get(t, newClient(t), addr)
		done <- status
	}()
	for len(s.PendingRequests(0)) == 0 {
		time.Sleep(time.Millisecond)
	}
	reload(t, s, singlePoolConfig("new", startNamedServer(t, "new"), ""))
	if status, body := get(t, newClient(t), addr); status != 200 || body != "new" {
		t.Errorf("%d %q of the new pool", status, body)
	}
	if all := s.PendingRequests(0); len(all) != 1 || all[0].Pool != "old" || all[0].Description != "GET /" || !strings.Contains(all[0].String(), "a list") {
		t.Errorf("what waits: %+v", all)
	}
	if status := <-done; status != http.StatusServiceUnavailable || time.Since(began) > retireGracePeriod+3*time.Second {
		t.Errorf("%d after %v", status, time.Since(began))
	}
	for until := time.Now().Add(testTimeout); s.RetirementStats() != (RetirementStats{Pools: 1, Cut: 1}); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%+v", s.RetirementStats())
		}
	}
}

// TestRetireDuringLoadQuery: a request that waits for a load report when its pool is taken out is still sent there, and one whose attempt fails
// then is tried again there.
func TestRetireDuringLoadQuery(t *testing.T) {
	asked, tell := make(chan struct{}, 9), make(chan struct{})
	load := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, q *http.Request) {
		asked <- struct{}{}
		<-tell
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nTEXT queue=0")
	})
	_, port, _ := net.SplitHostPort(load)
	var came atomic.Int32
	resets := func(c net.Conn, r *bufio.Reader, q *http.Request) {
		if came.Add(1) == 1 {
			resetConn(c)
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nold")
	}
	text := singlePoolConfig("old", startScriptedServer(t, resets), "load_port = "+port)
	s, addr := serveHTTP(t, strings.Replace(text, "}]", fmt.Sprintf("}, {id = \"t\", addr = %q}]", startScriptedServer(t, resets)), 1))
	done := make(chan string, 1)
	go func() {
		status, body := get(t, newClient(t), addr)
		done <- fmt.Sprint(status, body)
	}()
	<-asked
	reload(t, s, singlePoolConfig("new", startNamedServer(t, "new"), ""))
	close(tell)
	if got := <-done; got != "200old" || came.Load() != 2 {
		t.Errorf("%s after %d attempts", got, came.Load())
	}
}

// TestRetireReleasesGuarantees: pools that are taken out while a stream of each goes on keep nothing of the descriptors but what they use.
func TestRetireReleasesGuarantees(t *testing.T) {
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/stream" {
			io.WriteString(w, "a")
			w.(http.Flusher).Flush()
			<-hold
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
			t.Fatalf("%d with %d pools that have streams", resp.StatusCode, i)
		}
		reload(t, s, singlePoolConfig(fmt.Sprint("p", i+1), server, ""))
		if status, _ := get(t, client, addr); status != 200 {
			t.Errorf("%d with %d pools that have streams", status, i+1)
		}
	}
}

// TestReloadWhileReadingBody: a request whose body is still on its way when its pool, or its class, is taken out goes by the new table.
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
		for s.httpPools.bodyBytesInUse() == 0 { // it is being read
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
				t.Fatalf("%s: %d bytes of bodies are left", tt.name, s.httpPools.bodyBytesInUse())
			}
		}
	}
}

// bodyBytesInUse is what bodies hold of all pools, those that end among them.
func (s *httpPoolSet) bodyBytesInUse() (sum int64) {
	for _, p := range s.all() {
		used, _ := p.bodyShare.Used()
		sum += used
	}
	return sum
}

// TestDrainWaitsForRetiredPools: a drain waits for requests of pools that were taken out before, too.
func TestDrainWaitsForRetiredPools(t *testing.T) {
	came, goOn := make(chan struct{}), make(chan struct{})
	slow := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, q *http.Request) {
		close(came)
		<-goOn
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	})
	s, addr := serveHTTP(t, singlePoolConfig("old", slow, ""))
	done := make(chan int, 1)
	go func() {
		status, _ := get(t, newClient(t), addr)
		done <- status
	}()
	<-came
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
		t.Error("drained with a request that is open")
	case <-time.After(50 * time.Millisecond):
	}
	close(goOn)
	<-drained
	if status := <-done; status != 200 {
		t.Error(status)
	}
}

// TestReloadKeepsRemovedStream: a stream whose pool is no longer in the file goes on with it until the next start, and so do new ones.
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
