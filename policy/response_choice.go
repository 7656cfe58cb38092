package policy

import "time"

// This file decides which of several attempts whose responses are arriving is passed on to the client.
// A response that is complete is not decided on: it is delivered at once.

const (
	// paceNoise is added to times that are compared, so that the delays of a busy machine do not pass
	// for the pace of a server.
	paceNoise = 100 * time.Millisecond
	// flowingPause is how long a response that flows may pause.
	flowingPause = 100 * time.Millisecond
	// progressMarks is the number of sizes at which the progress of a response is recorded: all up to
	// 16 MiB, beyond which only the last bytes count.
	progressMarks = 48
)

// progressMark returns a size in bytes: 1, 2, 3, 4, 6, 8, 12, 16 and so on. They are the same for all
// responses, so that these can be compared.
func progressMark(i int) int64 {
	if i > 0 && i%2 == 0 {
		return 3 << (i/2 - 1)
	}
	return 1 << ((i + 1) / 2)
}

// ResponseProgress is how far the response of an attempt has come. The zero value is that of a response
// whose body has not begun.
type ResponseProgress struct {
	Attempt  int   // index of the attempt
	SentAt   Time  // when the request had been sent
	Expected int64 // length of the body in bytes; negative: unknown

	received   int64 // bytes of the body so far
	receivedAt Time  // when the last of them came
	reachedAt  [progressMarks]Time
	marks      int // how many marks have been reached
}

// Record notes that so many bytes of the body have been received by a time. The calls have to be in
// order of time.
func (p *ResponseProgress) Record(now Time, received int64) {
	if received <= p.received {
		return
	}
	p.received, p.receivedAt = received, now
	for p.marks < progressMarks && progressMark(p.marks) <= received {
		p.reachedAt[p.marks] = now
		p.marks++
	}
}

// Received returns how many bytes of the body have been received.
func (p *ResponseProgress) Received() int64 { return p.received }

// lastAt returns when the last bytes were received, or when the request was sent.
func (p *ResponseProgress) lastAt() Time {
	if p.received == 0 {
		return p.SentAt
	}
	return p.receivedAt
}

// flows reports whether bytes have been received just now.
func (p *ResponseProgress) flows(now Time) bool { return now-p.lastAt() <= flowingPause }

// timeToMark returns how long the server took for the bytes up to a mark that has been reached.
func (p *ResponseProgress) timeToMark(i int) time.Duration { return p.reachedAt[i] - p.SentAt }

// expectedTime returns how long the server is expected to take for the whole response. Of one whose
// length is unknown it is expected that as much time is to come as has passed.
func (p *ResponseProgress) expectedTime(now Time) time.Duration {
	age := now - p.SentAt
	if p.Expected >= 0 && p.received > 0 {
		return max(age, time.Duration(float64(p.receivedAt-p.SentAt)*float64(p.Expected)/float64(p.received)))
	}
	return 2 * age
}

// ChooseResponse returns the attempt whose response is expected to end first. The responses have to be in
// the order in which their requests were sent. ok is false if it is better to wait: the response that is
// furthest on stands still, and another that flows is expected to get ahead of it by latest, the last
// time at which a response can be passed on.
//
// Servers answer the same request with the same bytes, so that of two responses at the same pace the
// older one ends first, however long it stands still: the other comes to the same pause later. A younger
// one ends first only if it has more bytes already, or if its server has given the bytes that both have
// so much faster that this, where the older one flows at the same pace to its end, makes up for the later
// start.
func ChooseResponse(now, latest Time, responses []ResponseProgress) (attempt int, ok bool) {
	if len(responses) == 0 {
		return 0, false
	}
	best := &responses[0]
	for i := range responses[1:] {
		if younger := &responses[i+1]; younger.endsBefore(best, now) {
			best = younger
		}
	}
	if !best.flows(now) {
		for i := range responses {
			if p := &responses[i]; p != best && p.passesBy(best.received, now, latest) {
				return best.Attempt, false
			}
		}
	}
	return best.Attempt, true
}

// endsBefore reports whether p is expected to end before older, whose request was sent before.
func (p *ResponseProgress) endsBefore(older *ResponseProgress, now Time) bool {
	if p.received > older.received {
		return true
	}
	common := min(p.marks, older.marks)
	if common == 0 {
		return false
	}
	own, its := p.timeToMark(common-1), older.timeToMark(common-1)
	if !older.flows(now) { // pauses say nothing about the pace
		return p.SentAt+own-its < older.SentAt
	}
	whole := older.expectedTime(now)
	pace := float64(own+paceNoise) / float64(its+paceNoise)
	return p.SentAt+time.Duration(pace*float64(whole)) < older.SentAt+whole
}

// passesBy reports whether p flows and is expected to have more than n bytes by a time.
func (p *ResponseProgress) passesBy(n int64, now, by Time) bool {
	if p.received == 0 || !p.flows(now) {
		return false
	}
	elapsed := max(p.receivedAt-p.SentAt, 1)
	missing := max(n-p.received, 0) + 1
	return now+time.Duration(float64(missing)*float64(elapsed)/float64(p.received)) < by
}

// copyCanEndFirst reports whether a second attempt that is sent now can get ahead of one that was sent at
// sentAt and got its last bytes at lastAt: it is expected to take as long to the same point, and the
// client waits until answerBy.
func copyCanEndFirst(now, sentAt, lastAt, answerBy Time) bool {
	return now+(lastAt-sentAt) < answerBy
}
