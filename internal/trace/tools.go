package trace

import (
	"container/heap"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"time"
)

// Cut copies what came from from up to to, counted from the trace's origin. A retry whose first was cut away stays a retry.
func Cut(in io.Reader, out io.Writer, from, to time.Duration) (int, error) {
	if to <= from || from < 0 {
		return 0, fmt.Errorf("from %v up to %v is nothing", from, to)
	}
	r, err := NewReader(in)
	if err != nil {
		return 0, err
	}
	h := r.Header
	h.Origin = h.Origin.Add(from)
	w, err := NewWriter(out, h)
	if err != nil {
		return 0, err
	}
	numbers := map[int]int{}
	for n := 1; ; n++ {
		e, err := r.Next()
		if err == io.EOF {
			return w.n, w.Close()
		}
		if err != nil {
			return w.n, err
		}
		switch at := time.Duration(e.At) * time.Microsecond; {
		case at < from:
			continue
		case at >= to:
			return w.n, w.Close()
		}
		e.At -= from.Microseconds()
		if e.RetryOf > 0 {
			if e.RetryOf = numbers[e.RetryOf]; e.RetryOf == 0 {
				e.RetryOf, e.Rule = -1, Orphan
			}
		} else {
			numbers[n] = w.n + 1
		}
		if _, err := w.Write(e); err != nil {
			return w.n, err
		}
	}
}

// spread is over how long the copies of a client are spread: less than anybody's pace, more than a burst.
const spread = 200 * time.Millisecond

// Scale copies a trace at a multiple of its rate. Each client is left out, or is there once or several times, as whole: its order, its pace and
// its retries stay. Copies have names and keys of their own.
func Scale(in io.Reader, out io.Writer, factor float64) (int, error) {
	if !(factor > 0 && factor <= 1000) {
		return 0, fmt.Errorf("a factor of %v is outside 0 to 1000", factor)
	}
	r, err := NewReader(in)
	if err != nil {
		return 0, err
	}
	h := r.Header
	h.Notes = append(h.Notes, fmt.Sprintf("scaled by %g", factor))
	w, err := NewWriter(out, h)
	if err != nil {
		return 0, err
	}
	s := &scaler{factor: factor, groups: map[int]string{}, numbers: map[copyOf]int{}}
	for n := 1; ; n++ {
		e, err := r.Next()
		if err != nil && err != io.EOF {
			return w.n, err
		}
		end := err == io.EOF
		for len(s.held) > 0 && (end || s.held[0].At+spread.Microseconds() < e.At) {
			if err := s.write(w); err != nil {
				return w.n, err
			}
		}
		if end {
			return w.n, w.Close()
		}
		s.add(e, n)
	}
}

type copyOf struct{ number, copy int }

// scaler makes copies of entries, by their clients.
type scaler struct {
	factor  float64
	groups  map[int]string // of entries without a client that others are retries of
	numbers map[copyOf]int // of firsts in what is written
	held    copies
	made    int
}

// hash is a number from 0 to 1 that follows from a name.
func hash(name string) float64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	return float64(v>>11) / (1 << 53)
}

func (s *scaler) add(e Entry, n int) {
	group := e.Client
	if group == "" {
		if group = s.groups[e.RetryOf]; e.RetryOf <= 0 || group == "" {
			group = fmt.Sprint("entry ", n)
		}
		s.groups[n] = group
	}
	count := int(math.Floor(s.factor))
	if hash(group) < s.factor-math.Floor(s.factor) {
		count++
	}
	for i := range count {
		c := e
		if i > 0 {
			c.At += int64(hash(fmt.Sprint(group, i)) * float64(spread.Microseconds()))
			if c.Key != "" {
				c.Key += fmt.Sprintf("+%d", i)
			}
			if c.Client != "" {
				c.Client += fmt.Sprintf("+%d", i)
			}
		}
		s.made++
		heap.Push(&s.held, held{c, copyOf{n, i}, s.made})
	}
}

func (s *scaler) write(w *Writer) error {
	h := heap.Pop(&s.held).(held)
	if h.RetryOf > 0 {
		if h.RetryOf = s.numbers[copyOf{h.RetryOf, h.of.copy}]; h.RetryOf == 0 {
			h.RetryOf, h.Rule = -1, Orphan
		}
	}
	n, err := w.Write(h.Entry)
	if h.RetryOf == 0 {
		s.numbers[h.of] = n
	}
	return err
}

type held struct {
	Entry
	of   copyOf
	made int
}

type copies []held

func (h copies) Len() int { return len(h) }
func (h copies) Less(i, j int) bool {
	return h[i].At < h[j].At || h[i].At == h[j].At && h[i].made < h[j].made
}
func (h copies) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *copies) Push(x any)   { *h = append(*h, x.(held)) }
func (h *copies) Pop() any {
	old := *h
	v := old[len(old)-1]
	old[len(old)-1] = held{}
	*h = old[:len(old)-1]
	return v
}

// Summary is what a trace holds.
type Summary struct {
	Header    Header
	Entries   int
	Duration  time.Duration
	Classes   map[string]int
	Retries   map[string]int // by rule
	Clients   int            // as many as are counted, at most mostClients
	Gaps      []Gap          // the longest, in the order of their times
	PerSecond []int          // entries a second
}

// Gap is a time without any arrival.
type Gap struct{ From, Duration time.Duration }

const (
	mostClients = 1 << 20
	mostGaps    = 5
	mostSeconds = 7 * 86400
)

// Summarize reads a trace to its end.
func Summarize(in io.Reader) (*Summary, error) {
	r, err := NewReader(in)
	if err != nil {
		return nil, err
	}
	s := &Summary{Header: r.Header, Classes: map[string]int{}, Retries: map[string]int{}}
	clients := map[string]bool{}
	last := time.Duration(0)
	for {
		e, err := r.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return s, err
		}
		at := time.Duration(e.At) * time.Microsecond
		if at >= mostSeconds*time.Second {
			return s, errors.New("it lasts more than a week")
		}
		s.Entries++
		s.Classes[e.Class]++
		if e.RetryOf != 0 {
			s.Retries[e.Rule]++
		}
		if e.Client != "" && len(clients) < mostClients {
			clients[e.Client] = true
		}
		for len(s.PerSecond) <= int(at/time.Second) {
			s.PerSecond = append(s.PerSecond, 0)
		}
		s.PerSecond[at/time.Second]++
		s.gap(Gap{last, at - last})
		last, s.Duration = at, at
	}
	s.Clients = len(clients)
	return s, nil
}

// gap notes a time without arrivals if it is among the longest.
func (s *Summary) gap(g Gap) {
	if g.Duration <= 0 {
		return
	}
	if len(s.Gaps) < mostGaps {
		s.Gaps = append(s.Gaps, g)
		return
	}
	least := 0
	for i := range s.Gaps {
		if s.Gaps[i].Duration < s.Gaps[least].Duration {
			least = i
		}
	}
	if g.Duration > s.Gaps[least].Duration {
		s.Gaps = append(append(s.Gaps[:least:least], s.Gaps[least+1:]...), g)
	}
}

// Downsample sums counts a second up to at most n counts.
func Downsample(seconds []int, n int) []int {
	if len(seconds) <= n {
		return seconds
	}
	out := make([]int, n)
	for i, c := range seconds {
		out[i*n/len(seconds)] += c
	}
	return out
}
