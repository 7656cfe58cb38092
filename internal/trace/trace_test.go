package trace

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func parserOf(t testing.TB, f Format) LineParser {
	t.Helper()
	p, err := NewParser(f, time.UTC)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

const nginx = `$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "$http_referer" "$http_user_agent" $request_time $msec $http_x_request_id`

// TestFormats: a line of each format gives its request.
func TestFormats(t *testing.T) {
	at := time.Date(2026, 3, 14, 5, 6, 7, 0, time.UTC)
	for name, tt := range map[string]struct {
		f    Format
		line string
		want record
	}{
		"common": {Format{Name: "common"}, `10.1.2.3 - - [14/Mar/2026:15:06:07 +1000] "GET /check/7?a=1 HTTP/1.1" 200 512`,
			record{end: at, began: true, took: -1, size: -1, method: "GET", target: "/check/7?a=1", status: 200, client: "10.1.2.3"}},
		"combined, a quote in what the client sent": {Format{Name: "combined"}, `::1 - - [14/Mar/2026:05:06:07 +0000] "POST /order/1 HTTP/1.1" 503 - "-" "a \"b\" c"`,
			record{end: at, began: true, took: -1, size: -1, method: "POST", target: "/order/1", status: 503, client: "::1"}},
		"nginx": {Format{Nginx: nginx}, `2001:db8::7 - bob [14/Mar/2026:05:06:09 +0000] "GET /check/8 HTTP/1.1" 200 77 "-" "-" 0.250 1773464767.500 abc-1`,
			record{end: at.Add(500 * time.Millisecond), took: 250 * time.Millisecond, size: -1, method: "GET", target: "/check/8", status: 200, client: "2001:db8::7", id: "abc-1"}},
		"Apache's own": {Format{Apache: `%a %{usec}t %m %U %>s %D %{Idempotency-Key}i %{Content-Length}i`}, `10.0.0.1 1773464767000000 POST /order/9 200 1500 k-1 44`,
			record{end: at, began: true, took: 1500 * time.Microsecond, size: 44, method: "POST", target: "/order/9", status: 200, client: "10.0.0.1", key: "k-1"}},
		"JSON": {Format{Name: "json", Fields: "time=ts,method=req.method,target=req.uri,status=code,took_ms=ms,request_id=id,size=req.len"},
			`{"ts":"2026-03-14T05:06:08Z","code":201,"ms":1000,"id":"x","req":{"method":"PUT","uri":"/a/b","len":5},"other":[1,{"a":2}]}`,
			record{end: at.Add(time.Second), took: time.Second, size: 5, method: "PUT", target: "/a/b", status: 201, id: "x"}},
	} {
		got, err := parserOf(t, tt.f).parse(tt.line)
		got.end = got.end.UTC()
		if err != nil || !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s:\n got %+v, %v\nwant %+v", name, got, err, tt.want)
		}
	}
	for format, want := range map[string]string{"$request": "no time", "$time_local $status": "no request", "plain": "names no variable", "[$time_local]$request $status$msec": "nothing between"} {
		if _, err := ParseNginx(format, time.UTC); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", format, err)
		}
	}
	for _, format := range []string{"%h", "%t %", "%{x", "%{%d}t %r"} {
		if _, err := ParseApache(format, time.UTC); err == nil {
			t.Errorf("%q is taken", format)
		}
	}
	if _, err := ParseJSON("time=a,what=b", false, time.UTC); err == nil {
		t.Error("an unknown name is taken")
	}
}

// memory is a file.
func memory(name string, b []byte, log LineParser) File {
	return File{Name: name, Open: func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b)), nil }, HAR: strings.HasSuffix(name, ".har"), Parser: log}
}

func load(t testing.TB, rules Rules, files ...File) ([]Entry, *Report) {
	t.Helper()
	var b bytes.Buffer
	rep, err := Import(files, rules, &b)
	if err != nil {
		t.Fatal(err)
	}
	return entries(t, b.Bytes()), rep
}

func entries(t rapid.TB, b []byte) (all []Entry) {
	t.Helper()
	r, err := NewReader(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	for {
		e, err := r.Next()
		if err == io.EOF {
			return all
		}
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, e)
	}
}

func usual() Rules {
	r, _ := LoadRules("")
	r.InferRetries = []string{"order"}
	return r
}

func zipped(b []byte) []byte {
	var z bytes.Buffer
	w := gzip.NewWriter(&z)
	w.Write(b)
	w.Close()
	return z.Bytes()
}

// line is a line of the JSON format of these tests.
func line(at time.Time, took time.Duration, method, target string, status int, more string) string {
	return fmt.Sprintf(`{"t":%d,"took":%d,"m":%q,"u":%q,"s":%d%s}`+"\n", at.UnixMicro(), took.Microseconds(), method, target, status, more)
}

var jsonFormat = Format{Name: "json", Fields: "time_us=t,took_us=took,method=m,target=u,status=s,request_id=id,key=key,addr=addr,size=size"}

// TestMerge: several files, lines out of order as servers log at a request's end, clocks that are wrong, requests that two boxes logged: one
// arrival each, in order, near the times that they had.
func TestMerge(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 10))
	begin := time.Date(2026, 3, 14, 5, 0, 0, 0, time.UTC)
	skew := []time.Duration{0, 3 * time.Second, -90 * time.Second}
	type event struct {
		end  time.Time
		text string
	}
	logs := make([][]event, 3)
	var want []time.Duration
	at := time.Duration(0)
	for i := range 3000 {
		at += time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond))
		want = append(want, at)
		boxes := []int{rng.IntN(3)}
		if i%4 == 0 { // sent to a second box as well
			boxes = append(boxes, (boxes[0]+1+rng.IntN(2))%3)
		}
		for n, b := range boxes {
			took := time.Duration(rng.ExpFloat64() * float64(300*time.Millisecond))
			end := begin.Add(at + took + time.Duration(n)*2*time.Millisecond)
			logs[b] = append(logs[b], event{end, line(end.Add(skew[b]), took, "GET", fmt.Sprint("/check/", i), 200, fmt.Sprintf(`,"id":"r%d"`, i))})
		}
	}
	var files []File
	for b, l := range logs {
		var text bytes.Buffer
		for len(l) > 0 { // by their ends
			first := 0
			for i := range min(len(l), 400) {
				if l[i].end.Before(l[first].end) {
					first = i
				}
			}
			text.WriteString(l[first].text)
			l = append(l[:first], l[first+1:]...)
		}
		content := text.Bytes()
		if b == 1 {
			content = zipped(content)
		}
		files = append(files, memory(fmt.Sprint("box", b), content, parserOf(t, jsonFormat)))
	}
	got, rep := load(t, usual(), files...)
	if len(got) != len(want) || rep.Duplicates != 750 || rep.Unreadable > 0 {
		t.Fatalf("%d arrivals of %d, %+v", len(got), len(want), rep)
	}
	far := 0
	for i, e := range got {
		if d := time.Duration(e.At)*time.Microsecond - (want[i] - want[0]); d.Abs() > 5*time.Millisecond {
			far++
		}
	}
	if far > len(got)/100 {
		t.Errorf("%d of %d arrivals are more than 5 ms off", far, len(got))
	}
	for i, s := range rep.Skews[1:] {
		if (s.Offset-skew[i+1]).Abs() > 5*time.Millisecond || s.Shared < 100 || s.Reference == "" {
			t.Errorf("%+v, want %v", s, skew[i+1])
		}
	}
}

// TestClocks: whole seconds are spread over, a leap back moves nothing before what has come, and the hour that the clock shows twice is read
// in its order.
func TestClocks(t *testing.T) {
	common := parserOf(t, Format{Name: "common"})
	var b strings.Builder
	for s, n := range []int{4, 1, 2} {
		for i := range n {
			fmt.Fprintf(&b, "a - - [14/Mar/2026:05:00:%02d +0000] \"GET /check/%d HTTP/1.1\" 200 5\n", s, i)
		}
	}
	got, rep := load(t, usual(), memory("log", []byte(b.String()), common))
	var at []int64
	for _, e := range got {
		at = append(at, e.At/1000)
	}
	if fmt.Sprint(at) != "[0 250 500 750 875 2125 2625]" || rep.WholeSeconds != 6 {
		t.Errorf("arrivals at %v ms, %d spread", at, rep.WholeSeconds)
	}
	zone, err := time.LoadLocation("Australia/Sydney")
	if err != nil {
		t.Skip("no time zones here")
	}
	p, err := ParseJSON("time=t,method=m,target=u", true, zone)
	if err != nil {
		t.Fatal(err)
	}
	b.Reset()
	for _, s := range []string{"01:30:00.5", "02:15:00.5", "02:45:00.5", "02:15:00.5", "02:45:00.5", "03:15:00.5"} { // summer time ends at 3:00
		fmt.Fprintf(&b, `{"t":"2026-04-05 %s","m":"GET","u":"/check/1"}`+"\n", s)
	}
	got, rep = load(t, usual(), memory("log", []byte(b.String()), p))
	at = nil
	for _, e := range got {
		at = append(at, e.At/1e6/60)
	}
	if fmt.Sprint(at) != "[0 45 75 105 135 165]" || rep.BackwardJumps > 0 {
		t.Errorf("arrivals at %v min, %d leaps", at, rep.BackwardJumps)
	}
	b.Reset()
	begin := time.Date(2026, 3, 14, 5, 0, 0, 0, time.UTC)
	for i, s := range []int{0, 200, 400, 30, 401} {
		b.WriteString(line(begin.Add(time.Duration(s)*time.Second), time.Millisecond, "GET", fmt.Sprint("/check/", i), 200, ""))
	}
	if got, rep = load(t, usual(), memory("log", []byte(b.String()), parserOf(t, jsonFormat))); len(got) != 5 || rep.BackwardJumps != 1 {
		t.Errorf("%d arrivals, %d leaps", len(got), rep.BackwardJumps)
	}
}

// TestBadLines: what cannot be read is counted with its place and reason, and the rest is read.
func TestBadLines(t *testing.T) {
	at := time.Date(2026, 3, 14, 5, 0, 0, 0, time.UTC)
	good := line(at, time.Millisecond, "GET", "/check/1", 200, "")
	text := "\x1d}\n" + good + `{"t":1,"m":"GE` + "\n\n" + strings.Repeat("x", mostLogLine+5) + "\n" + strings.Replace(line(at, 0, "GET", "/check/here", 200, ""), "here", "\xff\xfe", 1) +
		`{"t":"x","m":"GET","u":"/a","s":200}` + "\n" + `{"m":"GET","u":"/a"}` + "\n" + line(at, 0, "GET", "nothing", 200, "") + strings.TrimSuffix(good, "}\n")
	got, rep := load(t, usual(), memory("log", []byte(text), parserOf(t, jsonFormat)))
	if len(got) != 2 || rep.Unreadable != 7 || len(rep.Errors) != 7 {
		t.Errorf("%d arrivals, %d faults: %+v", len(got), rep.Unreadable, rep.Errors)
	}
	if f := rep.Errors[2]; f.Line != 5 || !strings.Contains(f.Reason, "longer") {
		t.Errorf("%+v", f)
	}
	if _, err := Import([]File{memory("log", []byte("x\n"), parserOf(t, jsonFormat))}, usual(), io.Discard); err == nil {
		t.Error("a log without any record is a trace")
	}
}

// TestRetryMarks: by key for sure, by client, path and size less so, over files, and not beyond the time that is told.
func TestRetryMarks(t *testing.T) {
	at := time.Date(2026, 3, 14, 5, 0, 0, 0, time.UTC)
	l := func(s int, target string, status int, more string) string {
		return line(at.Add(time.Duration(s)*time.Second), time.Millisecond, "POST", target, status, more)
	}
	first := l(0, "/order/1", 503, `,"key":"k1","addr":"a"`) + l(2, "/order/2", 500, `,"addr":"b","size":9`) + l(4, "/order/3", 200, `,"addr":"b","size":9`) + l(5, "/check/1", 500, `,"addr":"b"`)
	second := l(1, "/order/1", 200, `,"key":"k1","addr":"z"`) + l(3, "/order/2", 200, `,"addr":"b","size":9`) + l(6, "/order/3", 200, `,"addr":"b","size":9`) +
		l(7, "/check/1", 200, `,"addr":"b"`) + l(8, "/order/2", 200, `,"addr":"c","size":9`) + l(60, "/order/2", 200, `,"addr":"b","size":9`) + l(61, "/order/1", 200, `,"key":"k1"`)
	got, rep := load(t, usual(), memory("one", []byte(first), parserOf(t, jsonFormat)), memory("two", []byte(second), parserOf(t, jsonFormat)))
	type mark struct {
		of   int
		sure float64
	}
	var marks []mark
	for _, e := range got {
		marks = append(marks, mark{e.RetryOf, e.Confidence})
		if strings.Contains(fmt.Sprint(e), "addr") || e.Client == "a" || e.Client == "b" {
			t.Errorf("%+v tells its client's address", e)
		}
	}
	want := []mark{{0, 0}, {1, 1}, {0, 0}, {3, 0.9}, {0, 0}, {0, 0}, {5, 0.5}, {0, 0}, {0, 0}, {0, 0}, {0, 0}}
	if !reflect.DeepEqual(marks, want) {
		t.Errorf("marks %v, want %v", marks, want)
	}
	if rep.Retries[SameKey] != 1 || rep.Retries[SameRequestAfterFailure] != 1 || rep.Retries[SameRequest] != 1 {
		t.Errorf("%v", rep.Retries)
	}
}

const har = "\xef\xbb\xbf" + `{"log":{"version":"1.2","creator":{"name":"x"},"pages":[{"id":"p"},{"id":"q"}],"entries":[
{"startedDateTime":"2026-03-14T15:00:02.500+10:00","time":12,"request":{"method":"GET","url":"https://app.example/check/7?token=secret&day=3","headers":[{"name":"Cookie","value":"sid=1"}],"bodySize":0},"response":{"status":200}},
{"startedDateTime":"2026-03-14T05:00:01Z","time":12,"request":{"method":"POST","url":"https://app.example/order/1","headers":[{"name":"Idempotency-Key","value":"k1"},{"name":"Authorization","value":"Bearer x"}],"bodySize":5,"postData":{"text":"aGVsbG8=","encoding":"base64"}},"response":{"status":0}},
{"startedDateTime":"2026-03-14T05:00:01.200Z","time":12,"request":{"method":"POST","url":"https://app.example/order/1","headers":[{"name":"Idempotency-Key","value":"k1"}],"bodySize":500,"postData":{"text":"part"}},"response":{"status":302,"redirectURL":"/check/1"}},
{"startedDateTime":"yesterday","request":{"method":"GET","url":"https://app.example/check/1"},"response":{"status":200}},
{"startedDateTime":"2026-03-14T05:00:03Z","request":{"method":7},"response":{"status":200}},
{"startedDateTime":"2026-03-14T05:00:04Z","request":{"method":"GET","url":"https://app.example/logo.png"},"response":{"status":200,"content":{"text":"xxxx"}}}]}}`

// TestHAR: entries by their times, with redirects, aborted ones, bodies that are in base64 or truncated; no secrets.
func TestHAR(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rules.toml")
	if err := os.WriteFile(path, []byte("keep_query = [\"day\"]\nkeep_bodies = true\n[[classes]]\nclass = \"order\"\nmethod = \"post\"\npath = \"/order/.*\"\n[[classes]]\nclass = \"check\"\nhost = \"app.example\"\npath = \"/check/(?P<key>.*)\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	rules, err := LoadRules(path)
	if err != nil {
		t.Fatal(err)
	}
	got, rep := load(t, rules, memory("a.har", []byte(har), nil))
	if len(got) != 3 || rep.Unclassified != 1 || rep.Unreadable != 2 || rep.HAR != (HARNotes{Entries: 4, Pages: 2, Aborted: 1, Redirects: 1, Bodies: 2, Truncated: 1}) {
		t.Fatalf("%d arrivals, %+v", len(got), rep)
	}
	if e := got[0]; string(e.Body) != "hello" || e.Key != "k1" || e.Status != 0 || e.Class != "order" {
		t.Errorf("%+v", e)
	}
	if e := got[1]; e.At != 200_000 || e.RetryOf != 1 || e.Size != 500 || e.Body != nil || e.Status != 302 {
		t.Errorf("%+v", e)
	}
	if e := got[2]; e.Path != "/check/7?day=3" || e.At != 1_500_000 {
		t.Errorf("%+v", e)
	}
	text, _ := json.Marshal(got)
	for _, secret := range []string{"secret", "Bearer", "sid"} {
		if bytes.Contains(text, []byte(secret)) {
			t.Errorf("%s is kept", secret)
		}
	}
	if got, rep := load(t, rules, memory("cut.har", []byte(har[:len(har)-300]), nil)); len(got) != 3 || rep.Unreadable != 1 {
		t.Errorf("cut: %d arrivals, %+v", len(got), rep.Errors)
	}
	for _, bad := range []string{"", "[]", "{}", `{"log":[]}`, `{"log":{"entries":{}}}`} {
		if _, err := Import([]File{memory("b.har", []byte(bad), nil)}, rules, io.Discard); err == nil {
			t.Errorf("%q is a HAR", bad)
		}
	}
}

// TestLargeHAR: a capture of 200 MB is read in little memory.
func TestLargeHAR(t *testing.T) {
	if testing.Short() {
		t.Skip("it takes some seconds")
	}
	const entry, n = 1 << 20, 200
	body := strings.Repeat("y", entry)
	r, w := io.Pipe()
	go func() {
		io.WriteString(w, `{"log":{"entries":[`)
		for i := range n {
			if i > 0 {
				io.WriteString(w, ",")
			}
			fmt.Fprintf(w, `{"startedDateTime":"2026-03-14T05:%02d:%02dZ","request":{"method":"GET","url":"http://x/check/%d"},"response":{"status":200,"content":{"text":"%s"}}}`, i/60, i%60, i, body)
		}
		io.WriteString(w, `]}}`)
		w.Close()
	}()
	records, notes, err := readHAR(r, "c", false, func(int, error) { t.Error("a fault") })
	if err != nil || len(records) != n || notes.Entries != n {
		t.Fatalf("%d entries, %v", len(records), err)
	}
}

// TestRoundTrip: what is written is read; what is cut, of another kind, or out of order is an error that says where.
func TestRoundTrip(t *testing.T) {
	var b bytes.Buffer
	w, err := NewWriter(&b, Header{Origin: time.Unix(1e9, 0).UTC(), Notes: []string{"a note"}})
	if err != nil {
		t.Fatal(err)
	}
	want := []Entry{{At: 0, Class: "a", Method: "GET", Path: "/a/1"}, {At: 5, Class: "b", Method: "POST", Path: "/b", Key: "k", Body: []byte{0, 255}, RetryOf: 1, Rule: SameKey, Confidence: 1}}
	for _, e := range want {
		if _, err := w.Write(e); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.Write(Entry{At: 4, Class: "a", Path: "/"}); err == nil {
		t.Error("an entry before the last is taken")
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if got := entries(t, b.Bytes()); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
	const head = `{"format":"quillfront trace","version":1,"origin":"2026-01-01T00:00:00Z"}` + "\n"
	for name, text := range map[string]string{
		"empty": "", "another": "{}\n", "newer": strings.Replace(head, ":1,", ":2,", 1), "no class": head + `{"at_us":0,"path":"/"}`, "no path": head + `{"at_us":0,"class":"a"}`,
		"out of order": head + `{"at_us":5,"class":"a","path":"/"}` + "\n" + `{"at_us":4,"class":"a","path":"/"}`, "a retry of itself": head + `{"at_us":5,"class":"a","path":"/","of":1}`,
		"no JSON": head + "x",
	} {
		r, err := NewReader(strings.NewReader(text))
		for err == nil {
			_, err = r.Next()
		}
		if !errors.Is(err, ErrFormat) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := NewReader(bytes.NewReader(b.Bytes()[:b.Len()-9])); err == nil {
		r, _ := NewReader(bytes.NewReader(b.Bytes()[:b.Len()-9]))
		for err == nil {
			_, err = r.Next()
		}
		if err == io.EOF {
			t.Error("a trace that is cut is whole")
		}
	}
}

// written makes a trace of random entries.
func written(t *rapid.T, n int) []byte {
	var b bytes.Buffer
	w, _ := NewWriter(&b, Header{})
	at := int64(0)
	firsts := []int{0}
	for i := range n {
		at += int64(rapid.IntRange(0, 400_000).Draw(t, "gap"))
		e := Entry{At: at, Class: "c", Method: "POST", Path: fmt.Sprint("/c/", i), Client: rapid.SampledFrom([]string{"", "a", "b", "c", "d"}).Draw(t, "client")}
		if of := rapid.SampledFrom(firsts).Draw(t, "of"); of > 0 && rapid.Bool().Draw(t, "again") {
			e.RetryOf, e.Rule, e.Client = of, SameKey, "a"
		}
		if m, err := w.Write(e); err != nil {
			t.Fatal(err)
		} else if e.RetryOf == 0 && e.Client == "a" {
			firsts = append(firsts, m)
		}
	}
	w.Close()
	return b.Bytes()
}

// TestCutAndScale: cutting keeps what lies within, scaling keeps each client's order and retries, and no retry becomes a fresh order.
func TestCutAndScale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := written(t, rapid.IntRange(1, 40).Draw(t, "n"))
		in := entries(t, all)
		from := time.Duration(rapid.IntRange(0, 4000).Draw(t, "from")) * time.Millisecond
		to := from + time.Duration(rapid.IntRange(1, 6000).Draw(t, "for"))*time.Millisecond
		var b bytes.Buffer
		if _, err := Cut(bytes.NewReader(all), &b, from, to); err != nil {
			t.Fatal(err)
		}
		i := 0
		cut := entries(t, b.Bytes())
		for _, e := range in {
			if at := time.Duration(e.At) * time.Microsecond; at < from || at >= to {
				continue
			}
			c := cut[i]
			if c.Path != e.Path || c.At != e.At-from.Microseconds() || (c.RetryOf != 0) != (e.RetryOf != 0) {
				t.Fatalf("%+v became %+v", e, c)
			}
			if c.RetryOf > 0 && cut[c.RetryOf-1].Path != in[e.RetryOf-1].Path {
				t.Fatalf("%+v is a retry of another", c)
			}
			i++
		}
		if i != len(cut) {
			t.Fatalf("%d of %d", len(cut), i)
		}
		factor := rapid.Float64Range(0.2, 4).Draw(t, "factor")
		b.Reset()
		if _, err := Scale(bytes.NewReader(all), &b, factor); err != nil {
			t.Fatal(err)
		}
		scaled := entries(t, b.Bytes())
		order := map[string][]string{}
		for _, e := range in {
			if e.Client != "" {
				order[e.Client] = append(order[e.Client], e.Path)
			}
		}
		got := map[string][]string{}
		for _, e := range scaled {
			if e.Client != "" {
				got[e.Client] = append(got[e.Client], e.Path)
			}
			if e.RetryOf > 0 && scaled[e.RetryOf-1].Client != e.Client {
				t.Fatalf("%+v is a retry of another client's", e)
			}
		}
		for client, paths := range got {
			first, _, _ := strings.Cut(client, "+")
			if !reflect.DeepEqual(paths, order[first]) {
				t.Fatalf("client %s: %v, recorded %v", client, paths, order[first])
			}
		}
		retries := func(l []Entry) (n int) {
			for _, e := range l {
				if e.RetryOf != 0 {
					n++
				}
			}
			return n
		}
		if factor == 1 && retries(scaled) != retries(in) {
			t.Fatal("retries are lost")
		}
	})
}

// TestScaleRate: by 2.5 there are two and a half times as many, over the same time.
func TestScaleRate(t *testing.T) {
	var b, out bytes.Buffer
	w, _ := NewWriter(&b, Header{})
	for i := range 4000 {
		w.Write(Entry{At: int64(i) * 1000, Class: "c", Method: "GET", Path: "/c/x", Client: fmt.Sprint("client", i%500)})
	}
	w.Close()
	n, err := Scale(&b, &out, 2.5)
	if err != nil || n < 9500 || n > 10_500 {
		t.Errorf("%d, %v", n, err)
	}
	s, err := Summarize(&out)
	if err != nil || s.Entries != n || s.Duration > 4300*time.Millisecond || s.Clients < 1200 {
		t.Errorf("%+v, %v", s, err)
	}
}

func FuzzLogLine(f *testing.F) {
	f.Add(`10.1.2.3 - - [14/Mar/2026:15:06:07 +1000] "GET /check/7 HTTP/1.1" 200 512 "-" "a \"b"`, 0)
	f.Add(`{"t":1,"m":"GET","u":"/x"}`, 1)
	f.Add(`::1 - bob [14/Mar/2026:05:06:09 +0000] "GET /check/8 HTTP/1.1" 200 77 "-" "-" 0.250 1773464767.500 abc-1`, 2)
	parsers := []LineParser{parserOf(f, Format{Name: "combined"}), parserOf(f, jsonFormat), parserOf(f, Format{Nginx: nginx})}
	rules := usual()
	f.Fuzz(func(t *testing.T, line string, kind int) {
		r, err := parsers[uint(kind)%3].parse(line)
		if err != nil {
			return
		}
		if r.took < -1 || r.size < -1 {
			t.Errorf("%+v", r)
		}
		rules.classify(r.method, r.host, r.target)
	})
}

func FuzzHAR(f *testing.F) {
	f.Add([]byte(har))
	f.Fuzz(func(t *testing.T, b []byte) {
		records, _, _ := readHAR(bytes.NewReader(b), "c", true, func(int, error) {})
		for _, r := range records {
			if r.end.IsZero() && r.method == "" {
				t.Errorf("%+v", r)
			}
		}
	})
}

func FuzzTrace(f *testing.F) {
	f.Add([]byte(`{"format":"quillfront trace","version":1}` + "\n" + `{"at_us":0,"class":"a","path":"/"}` + "\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := NewReader(bytes.NewReader(b))
		if err != nil {
			return
		}
		for last := int64(0); ; {
			e, err := r.Next()
			if err != nil {
				return
			}
			if e.At < last {
				t.Fatal("out of order")
			}
			last = e.At
		}
	})
}

// BenchmarkImport tells how fast a log is read.
func BenchmarkImport(b *testing.B) {
	var text bytes.Buffer
	at := time.Date(2026, 3, 14, 5, 0, 0, 0, time.UTC)
	for i := range 100_000 {
		t := at.Add(time.Duration(i) * time.Millisecond)
		fmt.Fprintf(&text, "10.0.0.%d - - [%s] \"GET /check/%d HTTP/1.1\" 200 77 \"-\" \"-\" 0.250 %.3f id-%d\n", i%250, t.Format("02/Jan/2006:15:04:05 -0700"), i, float64(t.UnixMicro())/1e6, i)
	}
	log, err := NewParser(Format{Nginx: nginx}, time.UTC)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(text.Len()))
	for range b.N {
		if _, err := Import([]File{memory("log", text.Bytes(), log)}, usual(), io.Discard); err != nil {
			b.Fatal(err)
		}
	}
}
