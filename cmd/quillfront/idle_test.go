package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quillfront/internal/conformance"
	"quillfront/internal/standin"
)

var idleRace = flag.Int("idlerace", 0, "number of connections that TestIdleRace measures; 0 skips it")

// postAfterIdle sends a POST with a net/http client, waits, and sends a second one. The client
// notices when an idle connection is closed, and does not resend what it may not. With honors it
// also opens a new connection if the wait is at least the announced timeout less a second, as the
// http.Agent of Node does. It reports whether the second request was answered, and whether it used
// the first connection.
func postAfterIdle(addr string, wait time.Duration, honors bool, id string) (answered, reused bool, err error) {
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	post := func(id string) (*http.Response, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/pay/k", strings.NewReader("body"))
		if err != nil {
			return nil, err
		}
		q.Header.Set("X-Request-ID", id)
		resp, err := tr.RoundTrip(q)
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return resp, err
	}
	resp, err := post(id + "-1")
	if err != nil {
		return false, false, fmt.Errorf("first request: %w", err)
	}
	time.Sleep(wait)
	if text, ok := strings.CutPrefix(resp.Header.Get("Keep-Alive"), "timeout="); ok && honors {
		if n, err := strconv.Atoi(text); err != nil || wait >= time.Duration(n-1)*time.Second {
			tr.CloseIdleConnections()
		}
	}
	_, err = post(id + "-2")
	return err == nil, reused, nil
}

// startIdleFleet starts a daemon that may hold many connections, with one stand-in server, and
// returns its address.
func startIdleFleet(t *testing.T) string {
	f, err := standin.NewFleet(conformance.Classes(), 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if _, err := f.Start(standin.ServerConfig{ID: "a", Cores: 64}); err != nil {
		t.Fatal(err)
	}
	known := f.Discovery.List()
	return startSidecar(t, string(standin.PlatformConfig{Seed: 1, Sockets: 4096, CachedList: &known, Classes: conformance.Classes(), ListPushed: true, NoProbes: true}.JSON())).addr
}

// TestIdleRace counts the second POSTs that are lost because the connection is being closed. They
// are sent 2.06 to 2.15 s after the first, by clients that honor Keep-Alive and by others. It is a
// manual measurement.
func TestIdleRace(t *testing.T) {
	if *idleRace == 0 {
		t.Skip("a manual measurement; run with -idlerace 300")
	}
	for _, honors := range []bool{true, false} {
		addr := startIdleFleet(t)
		var lost, reused atomic.Int64
		var clients sync.WaitGroup
		for i := range *idleRace {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				ok, same, err := postAfterIdle(addr, 2060*time.Millisecond+rand.N(90*time.Millisecond), honors, fmt.Sprintf("%v-%d", honors, i))
				if err != nil {
					t.Error(err)
				}
				if !ok {
					lost.Add(1)
				}
				if same {
					reused.Add(1)
				}
			})
		}
		clients.Wait()
		t.Logf("honors Keep-Alive %v: %d of %d second requests lost, %d sent on the first connection", honors, lost.Load(), *idleRace, reused.Load())
	}
}

// TestKeepAliveTimeoutHonored checks that a client that honors the announced timeout loses no
// request, and that it reuses its connection within that timeout.
func TestKeepAliveTimeoutHonored(t *testing.T) {
	addr := startIdleFleet(t)
	var reuses atomic.Int64
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			ok, same, err := postAfterIdle(addr, time.Duration(i)*200*time.Millisecond, true, fmt.Sprint("kept-", i))
			if err != nil || !ok {
				t.Errorf("second request after %d ms: answered %v, %v", i*200, ok, err)
			}
			if same {
				reuses.Add(1)
			}
		})
	}
	clients.Wait()
	if n := reuses.Load(); n != 5 { // the waits from 0 to 800 ms
		t.Errorf("%d connections were reused, want 5", n)
	}
	// An answer that closes its connection announces no Keep-Alive timeout.
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/healthz", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if v := resp.Header.Get("Keep-Alive"); v != "" {
		t.Errorf("an answer that closes its connection has Keep-Alive %q", v)
	}
}
