package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// sample says how many bytes of a response had been given at a time.
type sample struct {
	at       Time
	received int64
}

// response returns the progress of an attempt from what its server had given by times after the send.
func response(attempt int, sentAt Time, expected int64, given ...sample) ResponseProgress {
	p := ResponseProgress{Attempt: attempt, SentAt: sentAt, Expected: expected}
	for _, s := range given {
		p.Record(sentAt+s.at, s.received)
	}
	return p
}

// TestChooseResponse checks the choice in cases that callers have met.
func TestChooseResponse(t *testing.T) {
	const unknown = -1
	lump := func(i int64) sample { return sample{Time(i-1)*1800*ms + 30*ms, i * 37_500} }
	for _, tt := range []struct {
		name        string
		now, latest Time
		responses   []ResponseProgress
		want        int
		ok          bool
	}{
		{"the only one", 1400 * ms, 1500 * ms, []ResponseProgress{response(0, 0, unknown, sample{20 * ms, 100})}, 0, true},
		{"the same lumps, begun later", 1400 * ms, 1480 * ms, []ResponseProgress{response(0, 0, unknown, lump(1)), response(1, 500*ms, unknown, lump(1)), response(2, 1040*ms, unknown, lump(1))}, 0, true},
		{"a late end", 1400 * ms, 1480 * ms, []ResponseProgress{response(0, 0, 40_000, sample{20 * ms, 39_000}), response(1, 600*ms, 40_000, sample{25 * ms, 39_000})}, 0, true},
		{"noise of the machine", 1400 * ms, 1480 * ms, []ResponseProgress{response(0, 0, unknown, sample{40 * ms, 37_500}), response(1, 1040*ms, unknown, sample{2 * ms, 37_500})}, 0, true},
		{"a server that is ten times as fast", 1400 * ms, 1480 * ms, []ResponseProgress{response(0, 0, 200_000, sample{400 * ms, 10_000}, sample{1390 * ms, 30_000}), response(1, 1000*ms, 200_000, sample{30 * ms, 10_000}, sample{390 * ms, 29_000})}, 1, true},
		{"further on", 1400 * ms, 1480 * ms, []ResponseProgress{response(0, 0, unknown, sample{20 * ms, 10_000}), response(1, 600*ms, unknown, sample{20 * ms, 10_000}, sample{90 * ms, 20_000})}, 1, true},
		{"a head alone", 1400 * ms, 1480 * ms, []ResponseProgress{response(0, 0, unknown), response(1, 600*ms, unknown, sample{90 * ms, 20_000})}, 1, true},
		{"about to get ahead of one that stands still", 1400 * ms, 1480 * ms, []ResponseProgress{response(0, 0, unknown, sample{300 * ms, 36_000}), response(1, 1100*ms, unknown, sample{150 * ms, 18_000}, sample{290 * ms, 35_000})}, 0, false},
		{"too late to get ahead", 1400 * ms, 1401 * ms, []ResponseProgress{response(0, 0, unknown, sample{300 * ms, 36_000}), response(1, 1100*ms, unknown, sample{150 * ms, 18_000}, sample{290 * ms, 35_000})}, 0, true},
	} {
		if got, ok := ChooseResponse(tt.now, tt.latest, tt.responses); got != tt.want || ok != tt.ok {
			t.Errorf("%s: chose %d, %v, want %d, %v", tt.name, got, ok, tt.want, tt.ok)
		}
	}
}

// schedule is how a server gives a response: after which time how many bytes. Its end follows the last
// one after a pause.
type schedule struct {
	given    []sample
	duration time.Duration
}

func drawSchedule(t *rapid.T) schedule {
	var s schedule
	var at Time
	var received int64
	for range rapid.IntRange(1, 60).Draw(t, "pieces") {
		at += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * ms
		received += int64(rapid.IntRange(1, 20_000).Draw(t, "size"))
		s.given = append(s.given, sample{at, received})
	}
	s.duration = at + time.Duration(rapid.IntRange(1, 500).Draw(t, "end"))*ms
	return s
}

// size returns the length of the response.
func (s schedule) size() int64 { return s.given[len(s.given)-1].received }

// at returns the progress, at a time, of an attempt whose server takes pace times as long.
func (s schedule) at(now Time, attempt int, sentAt Time, expected int64, pace float64) ResponseProgress {
	p := ResponseProgress{Attempt: attempt, SentAt: sentAt, Expected: expected}
	for _, g := range s.given {
		if at := sentAt + time.Duration(pace*float64(g.at)); at <= now {
			p.Record(at, g.received)
		}
	}
	return p
}

// TestChoiceAtEqualPace checks that, of responses whose servers give the same bytes at the same pace with
// any pauses, none ends before the one that is chosen, and so not the one begun last.
func TestChoiceAtEqualPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t)
		expected := int64(-1)
		if rapid.Bool().Draw(t, "known") {
			expected = s.size()
		}
		now := time.Duration(rapid.Int64Range(0, int64(s.duration)-1).Draw(t, "now"))
		var responses []ResponseProgress
		var sentAt Time
		for i := range rapid.IntRange(1, 4).Draw(t, "attempts") {
			responses = append(responses, s.at(now, i, sentAt, expected, 1))
			sentAt = time.Duration(rapid.Int64Range(int64(sentAt), int64(max(now, sentAt))).Draw(t, "sent"))
		}
		chosen, ok := ChooseResponse(now, now, responses)
		if !ok {
			t.Fatal("nothing is chosen at the last time")
		}
		if chosen != 0 && responses[0].Received() > 0 {
			t.Fatalf("attempt %d is chosen, which ends %v later than the first", chosen, responses[chosen].SentAt)
		}
	})
}

// TestChoiceAtAnyPace checks that, of two responses of known length that flow steadily, each at a pace of
// its own, the chosen one ends after the other by no more than paceNoise for each part, as long as the
// part that both have, of the whole.
func TestChoiceAtAnyPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const pieces = 200
		size := int64(rapid.IntRange(pieces, 1<<20).Draw(t, "size"))
		s := schedule{duration: time.Duration(rapid.IntRange(100, 5000).Draw(t, "duration")) * ms}
		for i := range int64(pieces) {
			s.given = append(s.given, sample{s.duration * time.Duration(i+1) / pieces, size * (i + 1) / pieces})
		}
		paces := [2]float64{1, rapid.Float64Range(0.02, 5).Draw(t, "pace")}
		sent := [2]Time{0, time.Duration(rapid.Int64Range(0, int64(s.duration)-1).Draw(t, "sent"))}
		var ends [2]Time
		for i := range ends {
			ends[i] = sent[i] + time.Duration(paces[i]*float64(s.duration))
		}
		now := time.Duration(rapid.Int64Range(int64(sent[1]), int64(min(ends[0], ends[1]))).Draw(t, "now"))
		responses := []ResponseProgress{s.at(now, 0, sent[0], size, paces[0]), s.at(now, 1, sent[1], size, paces[1])}
		common := min(responses[0].Received(), responses[1].Received())
		if common == 0 {
			return
		}
		chosen, _ := ChooseResponse(now, now, responses)
		// The last mark is at two thirds of the common bytes at least, and a piece late.
		piece := time.Duration(max(1, paces[1]) * float64(s.duration) / pieces)
		bound := time.Duration(1.5 * float64(paceNoise+2*piece) * float64(size) / float64(common))
		if late := ends[chosen] - ends[1-chosen]; late > bound {
			t.Fatalf("attempt %d is chosen and ends %v later than the other; %v allowed, %d of %d bytes common", chosen, late, bound, common, size)
		}
	})
}

// TestLateCopy checks that no second attempt is begun for a response that stands still if it is expected
// to come to the same point only after the client's time.
func TestLateCopy(t *testing.T) {
	for _, tt := range []struct {
		lastAt Time // of the first attempt, which was sent at 0
		sends  int
	}{{300 * ms, 1}, {1400 * ms, 0}} {
		cfg := testConfig()
		cfg.MayDuplicate, cfg.MayCancel = true, true
		b, rec := newTestBalancer(t, cfg, 3)
		startRequest(t, b, rec, "safe") // it has 2 s
		b.ResponseStalled(tt.lastAt+500*ms, 1, 0, tt.lastAt, rec)
		if got := len(b.requests[1].attempts) - 1; got != tt.sends {
			t.Errorf("%d further attempts after a standstill at %v, want %d", got, tt.lastAt, tt.sends)
		}
	}
}

// TestProgressMarks checks that the marks rise, each to 1.5 times the one before it at least once they
// are far apart, and that bytes beyond the last one still count.
func TestProgressMarks(t *testing.T) {
	for i := 1; i < progressMarks; i++ {
		if a, b := progressMark(i-1), progressMark(i); b <= a || 2*b > 4*a {
			t.Errorf("mark %d is %d, the next one %d", i-1, a, b)
		}
	}
	var p ResponseProgress
	for i := range int64(40) {
		if p.Record(Time(i), 1<<i); p.Received() != 1<<i || p.lastAt() != Time(i) {
			t.Fatalf("%d bytes at %v after %d", p.Received(), p.lastAt(), int64(1)<<i)
		}
	}
	if last := progressMark(progressMarks - 1); last != 16<<20 || p.marks != progressMarks {
		t.Errorf("the last mark is %d, %d are reached", last, p.marks)
	}
}
