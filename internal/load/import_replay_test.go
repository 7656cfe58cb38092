package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"quillfront/internal/trace"
)

// box is a server that writes an access log of its own format, by a clock of its own, and loses some lines.
type box struct {
	mu   sync.Mutex
	log  bytes.Buffer
	skew time.Duration
	line func(end time.Time, took time.Duration, q *http.Request, status int) string
	lose *rand.Rand
}

func (b *box) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	from := time.Now()
	io.Copy(io.Discard, q.Body)
	status := 200
	if q.Header.Get("X-Retried") == "" && strings.HasSuffix(q.URL.Path, "3") { // some first tries fail
		status = 500
		w.WriteHeader(status)
	}
	end := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lose.Float64() > 0.01 {
		b.log.WriteString(b.line(end.Add(b.skew), end.Sub(from), q, status))
	}
}

// TestMorning: a morning that the generator has made, logged by three boxes in three formats with clocks that are wrong and lines that are lost,
// is imported, replayed, and held beside the original: the mix, the times, and the retries with their links.
func TestMorning(t *testing.T) {
	boxes := []*box{
		{line: func(end time.Time, took time.Duration, q *http.Request, status int) string {
			return fmt.Sprintf("10.0.0.1 - - [%s] \"%s %s HTTP/1.1\" %d 5 \"-\" \"-\" %.6f %.6f %s %s\n", end.UTC().Format("02/Jan/2006:15:04:05 -0700"), q.Method, q.URL.Path, status,
				took.Seconds(), float64(end.UnixMicro())/1e6, q.Header.Get("X-Request-ID"), dash(q.Header.Get("Idempotency-Key")))
		}},
		{skew: 4 * time.Second, line: func(end time.Time, took time.Duration, q *http.Request, status int) string {
			return fmt.Sprintf("10.0.0.1 %d \"%s %s HTTP/1.1\" %d %d %s %s\n", end.Add(-took).UnixMicro(), q.Method, q.URL.Path, status, took.Microseconds(), q.Header.Get("X-Request-ID"),
				dash(q.Header.Get("Idempotency-Key")))
		}},
		{skew: -time.Minute, line: func(end time.Time, took time.Duration, q *http.Request, status int) string {
			return fmt.Sprintf(`{"ts":%d,"us":%d,"m":%q,"u":%q,"s":%d,"id":%q,"key":%q}`+"\n", end.UnixMicro(), took.Microseconds(), q.Method, q.URL.Path, status, q.Header.Get("X-Request-ID"),
				q.Header.Get("Idempotency-Key"))
		}},
	}
	for i, b := range boxes {
		b.lose = rand.New(rand.NewPCG(uint64(i), 10))
	}
	var next int
	var mu sync.Mutex
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		next++
		first, second := boxes[next%3], boxes[(next+1)%3]
		shared := next%10 == 0
		mu.Unlock()
		if shared { // sent to a second box first, which answers nothing that counts
			second.ServeHTTP(httptest.NewRecorder(), q)
		}
		first.ServeHTTP(w, q)
	}))
	defer srv.Close()
	p := &Plan{Seed: 4, Stages: Chain{{Shape: "ramp", Duration: 3 * time.Second, From: 100, To: 300}}, Limits: loose, Classes: []Class{
		{Name: "check", Share: 2}, {Name: "order", Share: 1, Method: "POST", IdempotencyKey: true, BodySize: 20, Retry: Retry{Max: 1, Wait: 50 * time.Millisecond}},
	}}
	original := send(t, p, srv.URL)
	var files []trace.File
	for i, f := range []trace.Format{
		{Nginx: `$remote_addr - - [$time_local] "$request" $status $body_bytes_sent "$http_referer" "$http_user_agent" $request_time $msec $http_x_request_id $http_idempotency_key`},
		{Apache: `%h %{usec}t "%r" %>s %D %{X-Request-ID}i %{Idempotency-Key}i`},
		{Name: "json", Fields: "time_us=ts,took_us=us,method=m,target=u,status=s,request_id=id,key=key"},
	} {
		log, err := trace.NewParser(f, time.UTC)
		if err != nil {
			t.Fatal(err)
		}
		text := boxes[i].log.Bytes()
		files = append(files, trace.File{Name: fmt.Sprint("box", i), Open: func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(text)), nil }, Parser: log})
	}
	rules, err := trace.LoadRules("")
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	rep, err := trace.Import(files, rules, &b)
	if err != nil || rep.Unreadable > 0 {
		t.Fatalf("%+v, %v", rep, err)
	}
	for i, s := range rep.Skews {
		if d := s.Offset - boxes[i].skew; d.Abs() > 30*time.Millisecond {
			t.Errorf("%+v, want %v", s, boxes[i].skew)
		}
	}
	tries, retries := 0, 0
	for _, c := range original.Classes {
		tries += c.Tries
		retries += c.Retries
	}
	// One line in a hundred is lost, and with it, of a retry whose first it was, the link.
	if d := math.Abs(float64(rep.Entries)/float64(tries) - 0.99); d > 0.01 || retries < 10 || rep.Retries[trace.SameKey] < retries-4 || rep.Retries[trace.SameKey] > retries {
		t.Errorf("%d arrivals and %d retries of %d and %d", rep.Entries, rep.Retries[trace.SameKey], tries, retries)
	}
	classes, _, err := TraceClasses(bytes.NewReader(b.Bytes()), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	replay, err := NewReplay(bytes.NewReader(b.Bytes()), classes, 1)
	if err != nil {
		t.Fatal(err)
	}
	g, err := New(Options{Target: srv.URL, Classes: classes, Limits: loose, IDPrefix: "again"})
	if err != nil {
		t.Fatal(err)
	}
	again := g.Run(context.Background(), replay)
	c := replay.Compare(again)
	t.Logf("arrivals late by p99 %v", c.ArrivalError.Percentile(99))
	if c.MaxDifference > 0.5 || c.Retries[0] != rep.Retries[trace.SameKey] || c.Retries[1] != c.Retries[0] {
		t.Errorf("%+v", c)
	}
	part := func(r *Report) float64 {
		return float64(r.Classes["order"].Tries) / float64(r.Classes["order"].Tries+r.Classes["check"].Tries)
	}
	if d := math.Abs(part(original) - part(again)); d > 0.01 {
		t.Errorf("orders are %.3f of the original and %.3f of the replay", part(original), part(again))
	}
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// TestReplayHAR: a HAR capture is imported and replayed with its mix, times and retries.
func TestReplayHAR(t *testing.T) {
	var b bytes.Buffer
	b.WriteString(`{"log":{"entries":[`)
	begin := time.Date(2026, 3, 14, 5, 0, 0, 0, time.UTC)
	retries := 0
	for i := range 300 {
		if i > 0 {
			b.WriteByte(',')
		}
		method, path, key, status := "GET", fmt.Sprint("/check/", i), "", 200
		if i%4 == 1 {
			method, path, key = "POST", fmt.Sprint("/order/", i), fmt.Sprint("k", i)
			if i%12 == 5 { // the order before it, again
				path, key = fmt.Sprint("/order/", i-4), fmt.Sprint("k", i-4)
				retries++
			}
		}
		fmt.Fprintf(&b, `{"startedDateTime":%q,"request":{"method":%q,"url":"https://app.example%s","headers":[{"name":"Idempotency-Key","value":%q}],"bodySize":%d},"response":{"status":%d}}`,
			begin.Add(time.Duration(i)*7*time.Millisecond).Format(time.RFC3339Nano), method, path, key, i%4, status)
	}
	b.WriteString(`]}}`)
	rules, err := trace.LoadRules("")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	rep, err := trace.Import([]trace.File{{Name: "a.har", HAR: true, Open: func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b.Bytes())), nil }}}, rules, &out)
	if err != nil || rep.Entries != 300 || rep.Retries[trace.SameKey] != retries || retries < 20 {
		t.Fatalf("%+v, %v", rep, err)
	}
	classes, last, err := TraceClasses(bytes.NewReader(out.Bytes()), time.Second)
	if err != nil || last != 299*7*time.Millisecond {
		t.Fatalf("%v, %v", last, err)
	}
	replay, err := NewReplay(&out, classes, 1)
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	g, err := New(Options{Target: srv.URL, Classes: classes, Limits: loose, IDPrefix: "h"})
	if err != nil {
		t.Fatal(err)
	}
	c := replay.Compare(g.Run(context.Background(), replay))
	t.Logf("arrivals late by p99 %v", c.ArrivalError.Percentile(99))
	if c.MaxDifference > 0.5 || c.Retries != [2]int{retries, retries} || c.ArrivalError.Percentile(99) > 200*time.Millisecond || c.Statuses["check"][200] != 225 {
		t.Errorf("%+v, late by p99 %v", c, c.ArrivalError.Percentile(99))
	}
}
