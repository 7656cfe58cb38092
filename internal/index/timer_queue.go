package index

import "time"

// TimerQueue keeps a time for each of its keys, and knows the earliest: what changes at a time is advanced to now rather than walked. Put and Remove
// take time logarithmic in the number of keys, the earliest none. The zero value is empty.
type TimerQueue[K comparable] struct {
	heap  []timer[K]
	where map[K]int32
}

type timer[K comparable] struct {
	at  time.Duration
	key K
}

// Len is how many keys there are.
func (d *TimerQueue[K]) Len() int { return len(d.heap) }

// TimeOf returns a key's time.
func (d *TimerQueue[K]) TimeOf(key K) (at time.Duration, has bool) {
	i, has := d.where[key]
	if !has {
		return 0, false
	}
	return d.heap[i].at, true
}

// Schedule gives a key its time, in place of the one before.
func (d *TimerQueue[K]) Schedule(key K, at time.Duration) {
	i, has := d.where[key]
	if !has {
		if d.where == nil {
			d.where = map[K]int32{}
		}
		i = int32(len(d.heap))
		d.heap = append(d.heap, timer[K]{at, key})
		d.where[key] = i
		d.up(int(i))
		return
	}
	before := d.heap[i].at
	if d.heap[i].at = at; at < before {
		d.up(int(i))
	} else {
		d.down(int(i))
	}
}

// Remove takes a key out, and reports whether it was there.
func (d *TimerQueue[K]) Remove(key K) bool {
	i, has := d.where[key]
	if !has {
		return false
	}
	last := len(d.heap) - 1
	d.swap(int(i), last)
	d.heap[last] = timer[K]{}
	d.heap = d.heap[:last]
	delete(d.where, key)
	if int(i) < last {
		d.up(int(i))
		d.down(int(i))
	}
	return true
}

// Earliest returns the key whose time is the earliest.
func (d *TimerQueue[K]) Earliest() (key K, at time.Duration, has bool) {
	if len(d.heap) == 0 {
		return key, 0, false
	}
	return d.heap[0].key, d.heap[0].at, true
}

// PopDue takes a key out whose time has come at now; has is false where none is left.
func (d *TimerQueue[K]) PopDue(now time.Duration) (key K, has bool) {
	if len(d.heap) == 0 || d.heap[0].at > now {
		return key, false
	}
	key = d.heap[0].key
	d.Remove(key)
	return key, true
}

func (d *TimerQueue[K]) swap(i, j int) {
	if i == j {
		return
	}
	d.heap[i], d.heap[j] = d.heap[j], d.heap[i]
	d.where[d.heap[i].key], d.where[d.heap[j].key] = int32(i), int32(j)
}

func (d *TimerQueue[K]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if d.heap[parent].at <= d.heap[i].at {
			return
		}
		d.swap(i, parent)
		i = parent
	}
}

func (d *TimerQueue[K]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(d.heap); child++ {
			if d.heap[child].at < d.heap[least].at {
				least = child
			}
		}
		if least == i {
			return
		}
		d.swap(i, least)
		i = least
	}
}
