package orders

import (
	"container/list"
	"sync"

	"quillfront/store"
)

// EntryStore stores encoded ledger entries by key. Its methods are safe for concurrent use.
type EntryStore interface {
	// Get returns the value of a key.
	Get(key string) (value []byte, ok bool, err error)
	// Put stores a value. If durable is set, the value is as durable as the store can make it when
	// Put returns. Otherwise a power loss may lose it.
	Put(key string, value []byte, durable bool) error
	// CheckWritable writes a placeholder to find out whether the store accepts writes.
	CheckWritable() error
	// Close closes the store.
	Close() error
}

// MemoryStore is an EntryStore in memory, which is lost when the process ends. When it exceeds its
// size limit it drops the least recently written entries.
type MemoryStore struct {
	maxBytes int

	mu      sync.Mutex
	bytes   int
	entries map[string]*list.Element
	byWrite *list.List // of *memoryEntry, least recently written first
}

type memoryEntry struct {
	key   string
	value []byte
}

// entryOverhead is the approximate memory use of an entry in addition to its key and value.
const entryOverhead = 200

// NewMemoryStore returns an empty MemoryStore that uses at most about maxBytes bytes.
func NewMemoryStore(maxBytes int) *MemoryStore {
	return &MemoryStore{maxBytes: maxBytes, entries: map[string]*list.Element{}, byWrite: list.New()}
}

// Get implements EntryStore.
func (m *MemoryStore) Get(key string) ([]byte, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e != nil {
		return e.Value.(*memoryEntry).value, true, nil
	}
	return nil, false, nil
}

// Put implements EntryStore. It never fails: the oldest entries are dropped instead.
func (m *MemoryStore) Put(key string, value []byte, _ bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e != nil {
		p := e.Value.(*memoryEntry)
		m.bytes += len(value) - len(p.value)
		p.value = value
		m.byWrite.MoveToBack(e)
	} else {
		m.entries[key] = m.byWrite.PushBack(&memoryEntry{key, value})
		m.bytes += len(key) + len(value) + entryOverhead
	}
	for m.bytes > m.maxBytes && m.byWrite.Len() > 1 {
		e := m.byWrite.Front()
		p := e.Value.(*memoryEntry)
		m.byWrite.Remove(e)
		delete(m.entries, p.key)
		m.bytes -= len(p.key) + len(p.value) + entryOverhead
	}
	return nil
}

// Len returns the number of entries.
func (m *MemoryStore) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byWrite.Len()
}

// CheckWritable implements EntryStore.
func (m *MemoryStore) CheckWritable() error { return nil }

// Close implements EntryStore.
func (m *MemoryStore) Close() error { return nil }

// DiskStore is an EntryStore in a store.Store.
type DiskStore struct {
	Store      *store.Store
	Durability store.Durability // of entries that are put as durable
}

// probeKey is the key that CheckWritable writes. It cannot be an order's key, which begins with the
// name of a class.
const probeKey = "\x00try"

// Get implements EntryStore.
func (s DiskStore) Get(key string) ([]byte, bool, error) {
	value, _, ok, err := s.Store.Get([]byte(key))
	return value, ok, err
}

// Put implements EntryStore.
func (s DiskStore) Put(key string, value []byte, durable bool) error {
	d := store.Buffered
	if durable {
		d = s.Durability
	}
	return s.Store.Put([]byte(key), value, d)
}

// CheckWritable implements EntryStore.
func (s DiskStore) CheckWritable() error { return s.Store.Put([]byte(probeKey), nil, store.Synced) }

// Close implements EntryStore.
func (s DiskStore) Close() error { return s.Store.Close() }
