package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// BenchmarkAccuracy tells how far reported percentiles are from the injected ones, in 2 % or 1 ms, whichever is more (1 is the aim), and
// the lag, at several rates, over 5 s each; and the processor time of a request, that of the server in this process included.
func BenchmarkAccuracy(b *testing.B) {
	for _, rate := range []float64{300, 1300, 6500} {
		for _, kind := range []string{"constant", "bimodal", "log-normal"} {
			b.Run(fmt.Sprintf("%s/%v", kind, rate), func(b *testing.B) {
				const last = 5 * time.Second
				rng := rand.New(rand.NewPCG(5, 10))
				delays := make([]time.Duration, int(rate*last.Seconds())+10)
				for i := range delays {
					switch kind {
					case "constant":
						delays[i] = 20 * time.Millisecond
					case "bimodal":
						delays[i] = 10 * time.Millisecond
						if rng.Float64() < 0.1 {
							delays[i] = 150 * time.Millisecond
						}
					default:
						delays[i] = time.Duration(15 * math.Exp(0.6*rng.NormFloat64()) * float64(time.Millisecond))
					}
				}
				for range b.N {
					var next atomic.Int64
					srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
						i, from := next.Add(1)-1, time.Now()
						time.Sleep(delays[i])
						delays[i] = time.Since(from) // a sleep is longer than it was to be
					}))
					rep, used := sendEven(b, srv.URL, rate, last)
					srv.Close()
					sorted := slices.Clone(delays[:next.Load()])
					slices.Sort(sorted)
					worst := 0.0
					for _, percent := range []float64{50, 90, 99, 99.9} {
						want := sorted[int(math.Ceil(percent/100*float64(len(sorted))))-1]
						got := rep.Classes["c"].Corrected.Percentile(percent)
						worst = max(worst, float64((got-want).Abs())/max(0.02*float64(want), float64(time.Millisecond)))
					}
					b.ReportMetric(worst, "of-aim")
					b.ReportMetric(float64(rep.Lag.Percentile(50).Microseconds()), "lag-p50-us")
					b.ReportMetric(float64(rep.Lag.Percentile(99).Microseconds()), "lag-p99-us")
					b.ReportMetric(float64(rep.Lag.Percentile(100).Microseconds()), "lag-max-us")
					b.ReportMetric(float64(rep.Late+rep.OverLimit), "unsent")
					b.ReportMetric(float64(used.Microseconds())/float64(next.Load()), "cpu-us/request")
				}
			})
		}
	}
}

// sendEven sends at a rate for that long, and returns the account of it with the processor time that this process has used.
func sendEven(b *testing.B, url string, rate float64, last time.Duration) (*Report, time.Duration) {
	b.Helper()
	p := &Plan{EvenlySpaced: true, Stages: constant(rate, last), Classes: []Class{{Name: "c", Share: 1}}}
	g, err := New(Options{Target: url, Classes: p.Classes, IDPrefix: "b"})
	if err != nil {
		b.Fatal(err)
	}
	s, stop := p.NewSource()
	defer stop()
	before := cpu()
	rep := g.Run(context.Background(), s)
	return rep, cpu() - before
}

func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkBeside sends as fast as a closed loop of net/http clients does, and at fixed rates by the generator, to a server that
// answers at once in this process. A closed loop tells what the machine can do; it waits for each answer, so its percentiles hide
// every standstill of the server's.
func BenchmarkBeside(b *testing.B) {
	const last = 3 * time.Second
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	b.Run("closed-loop", func(b *testing.B) {
		const clients = 64
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
		defer client.CloseIdleConnections()
		for range b.N {
			took := make([][]time.Duration, clients)
			until, before := time.Now().Add(last), cpu()
			var work sync.WaitGroup
			for i := range clients {
				work.Go(func() {
					for began := time.Now(); began.Before(until); began = time.Now() {
						resp, err := client.Get(srv.URL)
						if err != nil {
							b.Error(err)
							return
						}
						resp.Body.Close()
						took[i] = append(took[i], time.Since(began))
					}
				})
			}
			work.Wait()
			all := slices.Concat(took...)
			slices.Sort(all)
			b.ReportMetric(float64(len(all))/last.Seconds(), "requests/s")
			b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64((cpu()-before).Microseconds())/float64(len(all)), "cpu-us/request")
		}
	})
	for _, rate := range []float64{5000, 10_000, 20_000} {
		b.Run(fmt.Sprintf("generator/%v", rate), func(b *testing.B) {
			for range b.N {
				rep, used := sendEven(b, srv.URL, rate, last)
				b.ReportMetric(float64(rep.Lag.Percentile(99).Microseconds()), "lag-p99-us")
				b.ReportMetric(float64(rep.Classes["c"].Corrected.Percentile(50).Microseconds()), "p50-us")
				b.ReportMetric(float64(rep.Classes["c"].Corrected.Percentile(99).Microseconds()), "p99-us")
				b.ReportMetric(float64(rep.Late+rep.OverLimit), "unsent")
				b.ReportMetric(float64(used.Microseconds())/(rate*last.Seconds()), "cpu-us/request")
			}
		})
	}
}
