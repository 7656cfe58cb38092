package orders

import (
	"container/list"
	"sync"

	"quillfront/store"
)

// EntryStore keeps entries by their keys. Its methods may be called from many goroutines at once.
type EntryStore interface {
	// Get returns what is kept under a key.
	Get(key string) (value []byte, ok bool, err error)
	// Put keeps a value. A firm one is as durable as the book can make it when Put returns; others may be lost by a cut.
	Put(key string, value []byte, firm bool) error
	// CheckWritable writes something of no meaning, to find out whether writing works again.
	CheckWritable() error
	Close() error
}

// MemoryStore is a book that lasts as long as the process and has a bound: what was written first goes first.
type MemoryStore struct {
	most int

	mu      sync.Mutex
	bytes   int
	entries map[string]*list.Element
	order   *list.List // of *page, by their latest writing
}

type page struct {
	key   string
	value []byte
}

// perPage is what a page costs beside its key and value, about.
const perPage = 200

// NewMemoryStore returns a book of at most that many bytes.
func NewMemoryStore(most int) *MemoryStore {
	return &MemoryStore{most: most, entries: map[string]*list.Element{}, order: list.New()}
}

// Get is a method of Book.
func (m *MemoryStore) Get(key string) ([]byte, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e != nil {
		return e.Value.(*page).value, true, nil
	}
	return nil, false, nil
}

// Put is a method of Book. It never fails: the oldest entries make room.
func (m *MemoryStore) Put(key string, value []byte, _ bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e != nil {
		p := e.Value.(*page)
		m.bytes += len(value) - len(p.value)
		p.value = value
		m.order.MoveToBack(e)
	} else {
		m.entries[key] = m.order.PushBack(&page{key, value})
		m.bytes += len(key) + len(value) + perPage
	}
	for m.bytes > m.most && m.order.Len() > 1 {
		e := m.order.Front()
		p := e.Value.(*page)
		m.order.Remove(e)
		delete(m.entries, p.key)
		m.bytes -= len(p.key) + len(p.value) + perPage
	}
	return nil
}

// Len returns how many entries there are.
func (m *MemoryStore) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.order.Len()
}

// CheckWritable is a method of Book.
func (m *MemoryStore) CheckWritable() error { return nil }

// Close is a method of Book.
func (m *MemoryStore) Close() error { return nil }

// DiskStore is a book in a store.
type DiskStore struct {
	Store      *store.Store
	Durability store.Durability // of firm entries
}

// tryKey is no order's: those begin with the name of a class.
const tryKey = "\x00try"

// Get is a method of Book.
func (s DiskStore) Get(key string) ([]byte, bool, error) {
	value, _, ok, err := s.Store.Get([]byte(key))
	return value, ok, err
}

// Put is a method of Book.
func (s DiskStore) Put(key string, value []byte, firm bool) error {
	d := store.Buffered
	if firm {
		d = s.Durability
	}
	return s.Store.Put([]byte(key), value, d)
}

// CheckWritable is a method of Book.
func (s DiskStore) CheckWritable() error { return s.Store.Put([]byte(tryKey), nil, store.Synced) }

// Close is a method of Book.
func (s DiskStore) Close() error { return s.Store.Close() }
