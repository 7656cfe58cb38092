package index

import "time"

// TimerQueue is an indexed binary heap of keys, each with the time at which it is due. A caller
// pops the keys that are due instead of scanning all of them. Schedule, Remove and PopDue take
// logarithmic time in the number of keys, Earliest constant time. The zero value is empty.
type TimerQueue[K comparable] struct {
	heap     []timer[K]
	position map[K]int32 // of each key in heap
}

// timer is a key in the heap and the time at which it is due.
type timer[K comparable] struct {
	at  time.Duration
	key K
}

// Len returns the number of keys.
func (q *TimerQueue[K]) Len() int { return len(q.heap) }

// TimeOf returns the time at which key is due, and reports whether key is in the queue.
func (q *TimerQueue[K]) TimeOf(key K) (at time.Duration, ok bool) {
	i, ok := q.position[key]
	if !ok {
		return 0, false
	}
	return q.heap[i].at, true
}

// Schedule sets the time at which key is due, replacing an earlier one.
func (q *TimerQueue[K]) Schedule(key K, at time.Duration) {
	i, ok := q.position[key]
	if !ok {
		if q.position == nil {
			q.position = map[K]int32{}
		}
		i = int32(len(q.heap))
		q.heap = append(q.heap, timer[K]{at, key})
		q.position[key] = i
		q.siftUp(int(i))
		return
	}
	previous := q.heap[i].at
	if q.heap[i].at = at; at < previous {
		q.siftUp(int(i))
	} else {
		q.siftDown(int(i))
	}
}

// Remove removes key and reports whether it was in the queue.
func (q *TimerQueue[K]) Remove(key K) bool {
	i, ok := q.position[key]
	if !ok {
		return false
	}
	last := len(q.heap) - 1
	q.swap(int(i), last)
	q.heap[last] = timer[K]{}
	q.heap = q.heap[:last]
	delete(q.position, key)
	if int(i) < last {
		q.siftUp(int(i))
		q.siftDown(int(i))
	}
	return true
}

// Earliest returns the key that is due first. ok is false if the queue is empty.
func (q *TimerQueue[K]) Earliest() (key K, at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return key, 0, false
	}
	return q.heap[0].key, q.heap[0].at, true
}

// PopDue removes and returns the earliest key if it is due at now. ok is false if no key is due.
func (q *TimerQueue[K]) PopDue(now time.Duration) (key K, ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return key, false
	}
	key = q.heap[0].key
	q.Remove(key)
	return key, true
}

func (q *TimerQueue[K]) swap(i, j int) {
	if i == j {
		return
	}
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.position[q.heap[i].key], q.position[q.heap[j].key] = int32(i), int32(j)
}

func (q *TimerQueue[K]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if q.heap[parent].at <= q.heap[i].at {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *TimerQueue[K]) siftDown(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if q.heap[child].at < q.heap[smallest].at {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		q.swap(i, smallest)
		i = smallest
	}
}
