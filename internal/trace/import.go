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

// File is one input file of an import.
type File struct {
	Name   string
	Open   func() (io.ReadCloser, error) // called up to twice
	HAR    bool
	Parser LineParser // of a log; unused for HAR
}

// RecordError describes a record that cannot be used.
type RecordError struct {
	File   string
	Line   int
	Reason string
}

// Skew is the estimated offset of a file's clock from the clock of the first file, and its basis.
type Skew struct {
	File      string
	Offset    time.Duration
	Shared    int           // requests logged in both files
	Spread    time.Duration // interquartile range of the differences
	Reference string        // file it was compared with; empty: none, not corrected
}

// Report is the result of an import.
type Report struct {
	Records, Entries, Duplicates int // read; written; seen again in the logs
	Unreadable                   int // records that could not be read
	Unclassified                 int // records that no class rule matches
	Errors                       []RecordError
	Skews                        []Skew
	Retries                      map[string]int // by rule
	BackwardJumps                int            // times that went back by more than reorderWindow
	WholeSeconds                 int            // records in whole seconds, spread over them
	HAR                          HARNotes
	From, To                     time.Time
}

const (
	// maxErrors is the maximum number of errors that are reported individually.
	maxErrors = 20
	// maxLogLine is the maximum length of a line of a log, in bytes.
	maxLogLine = 1 << 20
	// reorderWindow is how long after its arrival a request may be logged: servers log at its end.
	reorderWindow = 2 * time.Minute
	// maxPending is the maximum number of records of one file that are buffered for sorting.
	maxPending = 1 << 20
	// maxIDs is the maximum number of request ids of one file that are used to compare clocks.
	maxIDs = 1 << 16
	// minShared is the minimum number of shared requests for comparing the clocks of two files.
	minShared = 5
)

// Import converts files to a trace in order of arrival. Records that cannot be used are counted in
// the report and do not end the import.
func Import(files []File, rules Rules, out io.Writer) (*Report, error) {
	rep := &Report{Retries: map[string]int{}}
	if len(files) == 0 {
		return nil, errors.New("no input files")
	}
	skews, err := estimateSkews(files, rules)
	if err != nil {
		return nil, err
	}
	rep.Skews = skews
	var sources readerHeap
	for i, f := range files {
		s := &fileReader{file: f, rules: &rules, rep: rep, offset: skews[i].Offset}
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
	marker := newRetryMarker(rules)
	seen := newRecentNames(reorderWindow)
	for len(sources) > 0 {
		s := sources[0]
		r, at := s.now, s.at
		if s.next() {
			heap.Fix(&sources, 0)
		} else {
			heap.Pop(&sources)
		}
		// Servers log each attempt of a request that the client sent once.
		if r.id != "" && !seen.add("id "+r.id, at) {
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
			At: max(at.Sub(rep.From).Microseconds(), w.at), Class: class, Method: r.method, Path: path, Key: keyOr(r.key, key), Tenant: r.tenant, Cost: max(r.cost, 0),
			Size: max(r.size, 0), Body: r.body, Client: pseudonym(r.client), Status: r.status,
		}
		if r.key == "" { // a key from the path identifies the resource, not the request
			e.Key = ""
		}
		marker.mark(&e, w.n+1, at)
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
		return rep, errors.New("no usable record")
	}
	return rep, w.Close()
}

func keyOr(logged, fromPath string) string {
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

// pseudonym returns a name for a client that does not reveal its address.
func pseudonym(client string) string {
	if client == "" {
		return ""
	}
	h := sha256.Sum256([]byte("quillfront trace " + client))
	return hex.EncodeToString(h[:6])
}

func (r *Report) fault(f RecordError) {
	r.Unreadable++
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, f)
	}
}

// numberedRecord is a record with its line in the file.
type numberedRecord struct {
	record
	line int
}

// fileReader yields the records of one file in order of arrival.
type fileReader struct {
	file   File
	rules  *Rules
	rep    *Report // nil: nothing is reported
	offset time.Duration

	closer       io.Closer
	lines        *bufio.Reader
	har          []record // records of a HAR file
	line         int
	pending      arrivalHeap
	latest       time.Time        // latest arrival read
	lastReturned time.Time        // latest arrival returned
	latestLocal  time.Time        // latest time without a zone
	sameSecond   []numberedRecord // records logged in the same whole second
	ended        bool

	now numberedRecord
	at  time.Time
}

func (s *fileReader) open() error {
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

func (s *fileReader) close() { s.closer.Close() }

func (s *fileReader) fault(line int, why error) {
	if s.rep != nil {
		s.rep.fault(RecordError{s.file.Name, line, why.Error()})
	}
}

// read returns the next record in file order.
func (s *fileReader) read() (numberedRecord, bool) {
	for {
		s.line++
		if s.file.HAR {
			if s.line > len(s.har) {
				return numberedRecord{}, false
			}
			return numberedRecord{s.har[s.line-1], s.line}, true
		}
		line, err := s.readLine()
		if err != nil && len(line) == 0 {
			if err != io.EOF {
				s.fault(s.line, err)
			}
			return numberedRecord{}, false
		}
		text := strings.TrimRight(string(line), "\r\n")
		if strings.TrimSpace(text) == "" {
			continue
		}
		if err == errLineTooLong {
			s.fault(s.line, err)
			continue
		}
		r, perr := s.file.Parser.parse(text)
		if perr != nil {
			s.fault(s.line, perr)
			continue
		}
		if r.lacksZone {
			s.localTime(&r)
		}
		return numberedRecord{r, s.line}, true
	}
}

// localTime resolves a time without a zone in the hour that repeats when daylight saving time ends:
// it takes the first candidate that does not go back by more than reorderWindow.
func (s *fileReader) localTime(r *record) {
	const clock = "2006-01-02 15:04:05"
	for _, d := range []time.Duration{-time.Hour, 0, time.Hour} {
		if t := r.timestamp.Add(d); t.Format(clock) == r.timestamp.Format(clock) && !t.Before(s.latestLocal.Add(-reorderWindow)) {
			r.timestamp = t
			break
		}
	}
	if r.timestamp.After(s.latestLocal) {
		s.latestLocal = r.timestamp
	}
}

var errLineTooLong = fmt.Errorf("it is longer than %d bytes", maxLogLine)

// readLine returns the next line, or the start of a line that is too long with errLineTooLong.
func (s *fileReader) readLine() ([]byte, error) {
	var line []byte
	long := false
	for {
		part, err := s.lines.ReadSlice('\n')
		if len(line)+len(part) <= maxLogLine {
			line = append(line, part...)
		} else {
			long = true
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if long {
			return append(line, '!'), errLineTooLong
		}
		if err == io.EOF && len(line) > 0 {
			return line, nil
		}
		return line, err
	}
}

// next advances s.now and s.at to the next arrival and reports whether there is one.
func (s *fileReader) next() bool {
	for !s.ended && (len(s.pending) == 0 || s.latest.Sub(s.pending[0].at) < reorderWindow && len(s.pending) < maxPending) {
		r, ok := s.read()
		if !ok {
			s.ended = true
			s.flush()
			break
		}
		if s.rep != nil {
			s.rep.Records++
		}
		if r.took < 0 && r.timestamp.Nanosecond() == 0 && !s.file.HAR {
			if len(s.sameSecond) > 0 && !s.sameSecond[0].timestamp.Equal(r.timestamp) || len(s.sameSecond) >= maxPending {
				s.flush()
			}
			s.sameSecond = append(s.sameSecond, r)
			continue
		}
		s.hold(r, r.arrival())
	}
	if len(s.pending) == 0 {
		return false
	}
	a := heap.Pop(&s.pending).(arrival)
	s.now = a.numberedRecord
	// If the clock went back, arrivals are not moved before those already returned.
	if s.at = a.at; s.at.Before(s.lastReturned) {
		if s.rep != nil {
			s.rep.BackwardJumps++
		}
		s.at = s.lastReturned
	}
	s.lastReturned = s.at
	return true
}

// flush spreads records logged with a resolution of a second evenly over their second.
func (s *fileReader) flush() {
	for i, r := range s.sameSecond {
		at := r.timestamp.Add(time.Second * time.Duration(2*i+1) / time.Duration(2*len(s.sameSecond)))
		if len(s.sameSecond) == 1 {
			at = r.timestamp
		} else if s.rep != nil {
			s.rep.WholeSeconds++
		}
		s.hold(r, at)
	}
	s.sameSecond = s.sameSecond[:0]
}

func (s *fileReader) hold(r numberedRecord, at time.Time) {
	at = at.Add(-s.offset)
	heap.Push(&s.pending, arrival{r, at})
	if at.After(s.latest) {
		s.latest = at
	}
}

type arrival struct {
	numberedRecord
	at time.Time
}

type arrivalHeap []arrival

func (h arrivalHeap) Len() int { return len(h) }
func (h arrivalHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].line < h[j].line
}
func (h arrivalHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *arrivalHeap) Push(x any)   { *h = append(*h, x.(arrival)) }
func (h *arrivalHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = arrival{}
	*h = old[:len(old)-1]
	return a
}

// readerHeap is a heap of readers ordered by their next arrivals.
type readerHeap []*fileReader

func (h readerHeap) Len() int { return len(h) }
func (h readerHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].file.Name < h[j].file.Name
}
func (h readerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *readerHeap) Push(x any)   { *h = append(*h, x.(*fileReader)) }
func (h *readerHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	*h = old[:len(old)-1]
	return s
}

// estimateSkews estimates clock skews from requests that files share, as the median difference of
// their arrivals. A file that shares too few requests with every other file is not corrected.
func estimateSkews(files []File, rules Rules) ([]Skew, error) {
	skews := make([]Skew, len(files))
	ids := make([]map[uint64]time.Time, len(files))
	for i, f := range files {
		skews[i].File = f.Name
		if len(files) == 1 || f.HAR {
			continue
		}
		m, err := sampleIDs(f, rules)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f.Name, err)
		}
		ids[i] = m
	}
	known := make([]bool, len(files))
	known[0] = true
	for range files {
		best, by, least := -1, -1, minShared-1
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

// sampleIDs returns the arrivals of a file's requests by the hash of their ids. Sampling by hash
// bounds their number and selects the same ids in each file.
func sampleIDs(f File, rules Rules) (map[uint64]time.Time, error) {
	s := &fileReader{file: f, rules: &rules}
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
		if _, exists := ids[id]; !exists {
			ids[id] = r.arrival()
		}
		if len(ids) > maxIDs {
			every *= 2
			for id := range ids {
				if (id>>32)%every != 0 {
					delete(ids, id)
				}
			}
		}
	}
}

// recentNames remembers names for a limited time.
type recentNames struct {
	keep  time.Duration
	at    map[string]int // number of times a name occurs in order
	order []timedName
}

type timedName struct {
	name string
	at   time.Time
}

func newRecentNames(keep time.Duration) *recentNames {
	return &recentNames{keep: keep, at: map[string]int{}}
}

// add remembers a name and reports whether it is new.
func (r *recentNames) add(name string, at time.Time) bool {
	n := 0
	for n < len(r.order) && at.Sub(r.order[n].at) > r.keep {
		delete(r.at, r.order[n].name)
		n++
	}
	if n > 0 {
		r.order = r.order[n:] // a later append reallocates and frees the dropped prefix
	}
	if r.at[name] > 0 {
		return false
	}
	r.at[name] = 1
	r.order = append(r.order, timedName{name, at})
	return true
}

// retryMarker detects retries.
type retryMarker struct {
	rules Rules
	first map[string]firstTry
	order []timedName
}

type firstTry struct {
	number int
	at     time.Time
	failed bool // the response was missing or an error
}

func newRetryMarker(r Rules) *retryMarker {
	return &retryMarker{rules: r, first: map[string]firstTry{}}
}

// The rules that classify an entry as a retry.
const (
	SameKey                 = "same key"
	SameRequestAfterFailure = "same client, path and size, the first had failed"
	SameRequest             = "same client, path and size"
	Orphan                  = "its first is not in this part"
)

// mark detects whether an entry is a retry of an earlier one. A shared key is certain. Without a
// key it compares client, path and size, with less confidence, and least if the earlier one
// succeeded.
func (m *retryMarker) mark(e *Entry, number int, at time.Time) {
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
	m.first[name] = firstTry{number, at, failed}
	m.order = append(m.order, timedName{name, at})
}

// Sparkline renders counts as a line of block characters, scaled to the largest count.
func Sparkline(counts []int) string {
	most := slices.Max(append([]int{1}, counts...))
	var b bytes.Buffer
	for _, n := range counts {
		b.WriteRune([]rune(" ▁▂▃▄▅▆▇█")[int(math.Ceil(float64(n)*8/float64(most)))])
	}
	return b.String()
}
