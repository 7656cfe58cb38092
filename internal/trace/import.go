package trace

import (
	"bufio"
	"bytes"
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// File is one recorded file.
type File struct {
	Name   string
	Open   func() (io.ReadCloser, error) // it is opened twice
	HAR    bool
	Parser LineParser // of a log
}

// RecordError is a record that cannot be used.
type RecordError struct {
	File   string
	Line   int
	Reason string
}

// Skew is by how much a file's clock is held to be ahead of the first file's, and by what.
type Skew struct {
	File      string
	Offset    time.Duration
	Shared    int           // requests that both have logged
	Spread    time.Duration // within which half of them lie
	Reference string        // the file that it was compared with; empty: none, it is taken as it is
}

// Report is what an import has found.
type Report struct {
	Records, Entries, Duplicates int // read; kept; the same request in several files
	Unreadable                   int // that could not be read
	Unclassified                 int // that no rule gives a class
	Errors                       []RecordError
	Skews                        []Skew
	Retries                      map[string]int // by rule
	BackwardJumps                int            // times that went back by more than lines are out of order
	WholeSeconds                 int            // records whose times are whole seconds, which were spread over them
	HAR                          HARNotes
	From, To                     time.Time
}

const (
	// mostFaults bounds those that are told one by one.
	mostFaults = 20
	// mostLogLine bounds a line of a log.
	mostLogLine = 1 << 20
	// outOfOrder is how much later than it came a request may be logged: servers log at its end.
	outOfOrder = 2 * time.Minute
	// mostHeld bounds the records that are held to be put in order, of one file.
	mostHeld = 1 << 20
	// mostIDs bounds the ids by which clocks are compared, of one file.
	mostIDs = 1 << 16
	// leastShared is how many requests two files must share for their clocks to be compared.
	leastShared = 5
)

// Import makes a trace of files, in the order of arrivals. An error ends it; what single records lack does not.
func Import(files []File, rules Rules, out io.Writer) (*Report, error) {
	rep := &Report{Retries: map[string]int{}}
	if len(files) == 0 {
		return nil, errors.New("no files")
	}
	skews, err := skewsOf(files, rules)
	if err != nil {
		return nil, err
	}
	rep.Skews = skews
	var sources merge
	for i, f := range files {
		s := &source{file: f, rules: &rules, rep: rep, ahead: skews[i].Offset}
		if err := s.open(); err != nil {
			return nil, fmt.Errorf("%s: %w", f.Name, err)
		}
		defer s.close()
		if s.next() {
			sources = append(sources, s)
		}
	}
	heap.Init(&sources)
	var w *Writer
	marks := newMarker(rules)
	seen := newRecent(outOfOrder)
	for len(sources) > 0 {
		s := sources[0]
		r, at := s.now, s.at
		if s.next() {
			heap.Fix(&sources, 0)
		} else {
			heap.Pop(&sources)
		}
		if r.id != "" && !seen.add("id "+r.id, at) { // boxes log each attempt; clients sent one
			rep.Duplicates++
			continue
		}
		class, path, key, err := rules.classify(r.method, r.host, r.target)
		if err != nil {
			if errors.Is(err, errNoClass) {
				rep.Unclassified++
			} else {
				rep.fault(RecordError{s.file.Name, r.line, err.Error()})
			}
			continue
		}
		if w == nil {
			if w, err = NewWriter(out, Header{Origin: at.UTC(), Notes: notes(skews)}); err != nil {
				return nil, err
			}
			rep.From = at
		}
		e := Entry{
			At: max(at.Sub(rep.From).Microseconds(), w.at), Class: class, Method: r.method, Path: path, Key: orKey(r.key, key), Tenant: r.tenant, Cost: max(r.cost, 0),
			Size: max(r.size, 0), Body: r.body, Client: nameOf(r.client), Status: r.status,
		}
		if r.key == "" { // what a path tells tells what is asked for, not a try apart from another
			e.Key = ""
		}
		marks.mark(&e, w.n+1, at)
		if e.RetryOf != 0 {
			rep.Retries[e.Rule]++
		}
		if _, err := w.Write(e); err != nil {
			return nil, err
		}
		rep.Entries++
		rep.To = at
	}
	if w == nil {
		return rep, errors.New("no record could be used")
	}
	return rep, w.Close()
}

func orKey(logged, fromPath string) string {
	if logged != "" {
		return logged
	}
	return fromPath
}

func notes(skews []Skew) (all []string) {
	for _, s := range skews {
		if s.Offset != 0 {
			all = append(all, fmt.Sprintf("the clock of %s was held to be ahead by %v, by %d requests shared with %s", s.File, s.Offset, s.Shared, s.Reference))
		}
	}
	return all
}

// nameOf returns a name for a client that does not tell its address.
func nameOf(client string) string {
	if client == "" {
		return ""
	}
	h := sha256.Sum256([]byte("quillfront trace " + client))
	return hex.EncodeToString(h[:6])
}

func (r *Report) fault(f RecordError) {
	r.Unreadable++
	if len(r.Errors) < mostFaults {
		r.Errors = append(r.Errors, f)
	}
}

// logged is a record with where it stood.
type logged struct {
	record
	line int
}

// source gives the records of one file in the order of their arrivals.
type source struct {
	file  File
	rules *Rules
	rep   *Report // nil: nothing is told
	ahead time.Duration

	closer io.Closer
	lines  *bufio.Reader
	har    []record // of a HAR
	line   int
	held   arrivals
	latest time.Time // arrival that was read
	passed time.Time // that was given out
	local  time.Time // of times without a zone
	run    []logged  // of one second, whose times are whole seconds
	ended  bool

	now logged
	at  time.Time
}

func (s *source) open() error {
	f, err := s.file.Open()
	if err != nil {
		return err
	}
	s.closer = f
	if s.file.HAR {
		var notes HARNotes
		s.har, notes, err = readHAR(f, s.file.Name, s.rules.KeepBodies, func(n int, why error) { s.fault(n, why) })
		if err == nil && s.rep != nil {
			h := &s.rep.HAR
			h.Entries += notes.Entries
			h.Pages += notes.Pages
			h.Aborted += notes.Aborted
			h.Redirects += notes.Redirects
			h.Bodies += notes.Bodies
			h.Truncated += notes.Truncated
		}
		return err
	}
	plain, err := inflate(f)
	if err != nil {
		return err
	}
	s.lines = bufio.NewReaderSize(plain, 64<<10)
	return nil
}

func (s *source) close() { s.closer.Close() }

func (s *source) fault(line int, why error) {
	if s.rep != nil {
		s.rep.fault(RecordError{s.file.Name, line, why.Error()})
	}
}

// read returns the next record as it stands in the file.
func (s *source) read() (logged, bool) {
	for {
		s.line++
		if s.file.HAR {
			if s.line > len(s.har) {
				return logged{}, false
			}
			return logged{s.har[s.line-1], s.line}, true
		}
		line, err := s.readLine()
		if err != nil && len(line) == 0 {
			if err != io.EOF {
				s.fault(s.line, err)
			}
			return logged{}, false
		}
		text := strings.TrimRight(string(line), "\r\n")
		if strings.TrimSpace(text) == "" {
			continue
		}
		if err == errLong {
			s.fault(s.line, err)
			continue
		}
		r, perr := s.file.Parser.parse(text)
		if perr != nil {
			s.fault(s.line, perr)
			continue
		}
		if r.lacksEnd {
			s.localTime(&r)
		}
		return logged{r, s.line}, true
	}
}

// localTime reads a time without a zone in the hour that the clock shows twice when summer time ends: it is the first one that does not
// go back by more than lines are out of order.
func (s *source) localTime(r *record) {
	const clock = "2006-01-02 15:04:05"
	for _, d := range []time.Duration{-time.Hour, 0, time.Hour} {
		if t := r.end.Add(d); t.Format(clock) == r.end.Format(clock) && !t.Before(s.local.Add(-outOfOrder)) {
			r.end = t
			break
		}
	}
	if r.end.After(s.local) {
		s.local = r.end
	}
}

var errLong = fmt.Errorf("it is longer than %d bytes", mostLogLine)

// readLine returns the next line, and errLong with the begin of one that is too long.
func (s *source) readLine() ([]byte, error) {
	var line []byte
	long := false
	for {
		part, err := s.lines.ReadSlice('\n')
		if len(line)+len(part) <= mostLogLine {
			line = append(line, part...)
		} else {
			long = true
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if long {
			return append(line, '!'), errLong
		}
		if err == io.EOF && len(line) > 0 {
			return line, nil
		}
		return line, err
	}
}

// next makes the next arrival s.now, and reports whether there is one.
func (s *source) next() bool {
	for !s.ended && (len(s.held) == 0 || s.latest.Sub(s.held[0].at) < outOfOrder && len(s.held) < mostHeld) {
		r, ok := s.read()
		if !ok {
			s.ended = true
			s.flush()
			break
		}
		if s.rep != nil {
			s.rep.Records++
		}
		if r.took < 0 && r.end.Nanosecond() == 0 && !s.file.HAR {
			if len(s.run) > 0 && !s.run[0].end.Equal(r.end) || len(s.run) >= mostHeld {
				s.flush()
			}
			s.run = append(s.run, r)
			continue
		}
		s.hold(r, r.arrival())
	}
	if len(s.held) == 0 {
		return false
	}
	a := heap.Pop(&s.held).(arrival)
	s.now = a.logged
	if s.at = a.at; s.at.Before(s.passed) { // a leap back: what comes is not moved before what has been given out
		if s.rep != nil {
			s.rep.BackwardJumps++
		}
		s.at = s.passed
	}
	s.passed = s.at
	return true
}

// flush spreads the records of a second, whose log tells no more, over it.
func (s *source) flush() {
	for i, r := range s.run {
		at := r.end.Add(time.Second * time.Duration(2*i+1) / time.Duration(2*len(s.run)))
		if len(s.run) == 1 {
			at = r.end
		} else if s.rep != nil {
			s.rep.WholeSeconds++
		}
		s.hold(r, at)
	}
	s.run = s.run[:0]
}

func (s *source) hold(r logged, at time.Time) {
	at = at.Add(-s.ahead)
	heap.Push(&s.held, arrival{r, at})
	if at.After(s.latest) {
		s.latest = at
	}
}

type arrival struct {
	logged
	at time.Time
}

type arrivals []arrival

func (h arrivals) Len() int { return len(h) }
func (h arrivals) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].line < h[j].line
}
func (h arrivals) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *arrivals) Push(x any)   { *h = append(*h, x.(arrival)) }
func (h *arrivals) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = arrival{}
	*h = old[:len(old)-1]
	return a
}

// merge is sources by their next arrivals.
type merge []*source

func (h merge) Len() int { return len(h) }
func (h merge) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].file.Name < h[j].file.Name
}
func (h merge) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *merge) Push(x any)   { *h = append(*h, x.(*source)) }
func (h *merge) Pop() any {
	old := *h
	s := old[len(old)-1]
	*h = old[:len(old)-1]
	return s
}

// skewsOf compares the clocks of files by the requests that they share: the median of the differences of their arrivals. A file that
// shares too few with any is taken as it is.
func skewsOf(files []File, rules Rules) ([]Skew, error) {
	skews := make([]Skew, len(files))
	ids := make([]map[uint64]time.Time, len(files))
	for i, f := range files {
		skews[i].File = f.Name
		if len(files) == 1 || f.HAR {
			continue
		}
		m, err := idsOf(f, rules)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f.Name, err)
		}
		ids[i] = m
	}
	known := make([]bool, len(files))
	known[0] = true
	for range files {
		best, by, least := -1, -1, leastShared-1
		var diffs []time.Duration
		for i := range files {
			for j := range files {
				if known[i] || !known[j] {
					continue
				}
				if d := differences(ids[i], ids[j]); len(d) > least {
					best, by, least, diffs = i, j, len(d), d
				}
			}
		}
		if best < 0 {
			break
		}
		slices.Sort(diffs)
		n := len(diffs)
		known[best] = true
		ahead := diffs[n/2] + skews[by].Offset
		if ahead.Abs() > rules.MaxSkew {
			continue
		}
		skews[best] = Skew{File: files[best].Name, Offset: ahead, Shared: n, Spread: diffs[n*3/4] - diffs[n/4], Reference: files[by].Name}
	}
	return skews, nil
}

func differences(a, b map[uint64]time.Time) (d []time.Duration) {
	for id, at := range a {
		if other, ok := b[id]; ok {
			d = append(d, at.Sub(other))
		}
	}
	return d
}

// idsOf returns when the requests of a file came, of as many ids as may be held: the same ones of each file.
func idsOf(f File, rules Rules) (map[uint64]time.Time, error) {
	s := &source{file: f, rules: &rules}
	if err := s.open(); err != nil {
		return nil, err
	}
	defer s.close()
	ids, every := map[uint64]time.Time{}, uint64(1)
	for {
		r, ok := s.read()
		if !ok {
			return ids, nil
		}
		if r.id == "" {
			continue
		}
		h := fnv.New64a()
		h.Write([]byte(r.id))
		id := h.Sum64()
		if (id>>32)%every != 0 {
			continue
		}
		if _, there := ids[id]; !there {
			ids[id] = r.arrival()
		}
		if len(ids) > mostIDs {
			every *= 2
			for id := range ids {
				if (id>>32)%every != 0 {
					delete(ids, id)
				}
			}
		}
	}
}

// recent remembers names for a time.
type recent struct {
	keep  time.Duration
	at    map[string]int // how often a name stands in order
	order []named
}

type named struct {
	name string
	at   time.Time
}

func newRecent(keep time.Duration) *recent { return &recent{keep: keep, at: map[string]int{}} }

// add reports whether a name is new, and remembers it.
func (r *recent) add(name string, at time.Time) bool {
	n := 0
	for n < len(r.order) && at.Sub(r.order[n].at) > r.keep {
		delete(r.at, r.order[n].name)
		n++
	}
	if n > 0 {
		r.order = r.order[n:] // what is appended leaves the rest behind
	}
	if r.at[name] > 0 {
		return false
	}
	r.at[name] = 1
	r.order = append(r.order, named{name, at})
	return true
}

// marker finds retries.
type marker struct {
	rules Rules
	first map[string]seen
	order []named
}

type seen struct {
	number int
	at     time.Time
	failed bool // its answer was not one of success
}

func newMarker(r Rules) *marker { return &marker{rules: r, first: map[string]seen{}} }

// The rules by which an entry is held for a retry.
const (
	SameKey                 = "same key"
	SameRequestAfterFailure = "same client, path and size, the first had failed"
	SameRequest             = "same client, path and size"
	Orphan                  = "its first is not in this part"
)

// mark decides whether an entry is a retry of one before it: by its key, for sure; by its client, path and size where no key is logged,
// less so, and the less if the first one was answered.
func (m *marker) mark(e *Entry, number int, at time.Time) {
	n := 0
	for n < len(m.order) && at.Sub(m.order[n].at) > m.rules.RetryWindow {
		delete(m.first, m.order[n].name)
		n++
	}
	if n > 0 {
		m.order = m.order[n:]
	}
	name := ""
	switch {
	case e.Key != "":
		name = "key " + e.Class + " " + e.Key
	case e.Client != "" && slices.Contains(m.rules.InferRetries, e.Class):
		name = fmt.Sprintf("order %s %s %s %d", e.Class, e.Client, e.Path, e.Size)
	default:
		return
	}
	failed := e.Status == 0 || e.Status >= 500 || e.Status == 429 || e.Status == 408 || e.Status == 499
	if first, ok := m.first[name]; ok {
		e.RetryOf = first.number
		switch {
		case e.Key != "":
			e.Rule, e.Confidence = SameKey, 1
		case first.failed:
			e.Rule, e.Confidence = SameRequestAfterFailure, 0.9
		default:
			e.Rule, e.Confidence = SameRequest, 0.5
		}
		first.failed = failed
		m.first[name] = first
		return
	}
	m.first[name] = seen{number, at, failed}
	m.order = append(m.order, named{name, at})
}

// Sparkline returns counts as a line of blocks, the tallest of which is the most.
func Sparkline(counts []int) string {
	most := slices.Max(append([]int{1}, counts...))
	var b bytes.Buffer
	for _, n := range counts {
		b.WriteRune([]rune(" ▁▂▃▄▅▆▇█")[int(math.Ceil(float64(n)*8/float64(most)))])
	}
	return b.String()
}
