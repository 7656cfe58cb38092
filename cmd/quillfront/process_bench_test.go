package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// BenchmarkProcess runs the daemon as a separate process on one core, with 16 clients that send
// their next request as soon as they are answered, so that its core is saturated. It reports the
// 99th percentile of latency and the processor time of the daemon per request. If QUILLFRONT_BESIDE
// names the program of another build, that is measured too, alternating with this one.
func BenchmarkProcess(b *testing.B) {
	programs := []string{"this"}
	if os.Getenv("QUILLFRONT_BESIDE") != "" {
		programs = []string{"this", "beside", "this", "beside"}
	}
	for i, p := range programs {
		b.Run(fmt.Sprintf("%s-%d", p, i), func(b *testing.B) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				io.Copy(io.Discard, q.Body)
				w.Write(bytes.Repeat([]byte("x"), 1000))
			}))
			defer srv.Close()
			path := filepath.Join(b.TempDir(), "config.json")
			text := standin.PlatformConfig{
				Seed: 1, ListPushed: true, NoProbes: true, Sockets: 1024,
				CachedList: &engine.List{Seq: 1, Full: true, Servers: []engine.Server{{ID: "a", Addr: srv.Listener.Addr().String()}}},
				Classes: []policy.Class{{
					Name: "order", Effect: policy.Keyed, KeyTTL: time.Second, Aim: 9 * time.Second, Deadline: 10 * time.Second, Worth: 1,
				}},
			}.JSON()
			if err := os.WriteFile(path, text, 0o600); err != nil {
				b.Fatal(err)
			}
			cmd := exec.Command(os.Args[0])
			if p == "beside" {
				cmd = exec.Command(os.Getenv("QUILLFRONT_BESIDE"))
			}
			cmd.Env = append(os.Environ(), "QUILLFRONT_IS_SIDECAR=1", "GW_CONFIG="+path)
			log, err := cmd.StderrPipe()
			if err != nil {
				b.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				b.Fatal(err)
			}
			addr := ""
			for lines := bufio.NewScanner(log); addr == "" && lines.Scan(); {
				if m := readyPattern.FindStringSubmatch(lines.Text()); m != nil {
					addr = m[1]
				}
			}
			go io.Copy(io.Discard, log)
			runClients(b, "http://"+addr)
			b.StopTimer()
			cmd.Process.Signal(os.Interrupt)
			cmd.Wait()
			b.ReportMetric(float64((cmd.ProcessState.UserTime()+cmd.ProcessState.SystemTime()).Microseconds())/float64(b.N), "daemon-cpu-us/op")
		})
	}
}

// runClients sends b.N requests from 16 clients.
func runClients(b *testing.B, base string) {
	const clients = 16
	tr := &http.Transport{MaxIdleConnsPerHost: clients, DisableCompression: true}
	defer tr.CloseIdleConnections()
	var n atomic.Int64
	run := time.Now().UnixNano() // processes of one sidecar remember IDs over a restart
	times := make([][]time.Duration, clients)
	var running sync.WaitGroup
	b.ResetTimer()
	for i := range clients {
		running.Go(func() {
			for {
				id := n.Add(1)
				if id > int64(b.N) {
					return
				}
				q, err := http.NewRequest(http.MethodPost, base+"/order/k", strings.NewReader(strings.Repeat("y", 200)))
				if err != nil {
					b.Error(err)
					return
				}
				name := fmt.Sprint(run, "-", id)
				q.Header["X-Request-Id"], q.Header["Idempotency-Key"] = []string{name}, []string{name}
				began := time.Now()
				resp, err := tr.RoundTrip(q)
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Errorf("answer %d", resp.StatusCode)
					return
				}
				times[i] = append(times[i], time.Since(began))
			}
		})
	}
	running.Wait()
	merged := slices.Concat(times...)
	slices.Sort(merged)
	if len(merged) > 0 {
		b.ReportMetric(float64(merged[len(merged)*99/100].Microseconds()), "p99-us")
	}
}
