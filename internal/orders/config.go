package orders

import (
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"quillfront/store"
)

// Durability says when an intent counts as noted, which is before its attempt is sent.
type Durability string

// The levels.
const (
	Sync     Durability = "sync"     // once it is on the disk: it survives a power cut
	Batched  Durability = "batched"  // once the system has it: it survives the process, and a power cut after Config.SyncEvery
	Buffered Durability = "buffered" // once the system has it, which writes it when it likes
)

// compactRate is how many bytes a second compaction may copy beside writes.
const compactRate = 8 << 20

// Config says where and how orders are noted. Zero values take the defaults.
type Config struct {
	Dir        string        // a directory that outlasts the process; empty: in memory, for the process's life
	Durability Durability    // sync
	SyncEvery  time.Duration // batched: 10 ms, 1 ms to 1 min
	Retention  time.Duration // how long an order is known: 24 h, 1 s to a year
	ByClass    map[string]time.Duration
	MostBytes  int64 // of the directory: 256 MiB; in memory 16 MiB. At least 1 MiB
	MostOrders int   // with Dir: 1,000,000
}

// ErrConfig is matched by what is wrong with a Config.
var ErrConfig = errors.New("orders: the configuration cannot be used")

// withDefaults returns c with its defaults, or what is wrong with it, by the name that the operator's file has for it.
func (c Config) withDefaults() (Config, error) {
	if c.Durability == "" {
		c.Durability = Sync
	}
	if c.SyncEvery == 0 {
		c.SyncEvery = 10 * time.Millisecond
	}
	if c.Retention == 0 {
		c.Retention = 24 * time.Hour
	}
	if c.MostBytes == 0 {
		if c.MostBytes = 256 << 20; c.Dir == "" {
			c.MostBytes = 16 << 20
		}
	}
	if c.MostOrders == 0 {
		c.MostOrders = 1_000_000
	}
	wrong := func(key, format string, args ...any) (Config, error) {
		return c, fmt.Errorf("%w: %s: %s", ErrConfig, key, fmt.Sprintf(format, args...))
	}
	const year = 366 * 24 * time.Hour
	switch {
	case c.Durability != Sync && c.Durability != Batched && c.Durability != Buffered:
		return wrong("durability", "%q is none of sync, batched and buffered", c.Durability)
	case c.SyncEvery < time.Millisecond || c.SyncEvery > time.Minute:
		return wrong("sync_every", "%v is outside 1ms to 1m", c.SyncEvery)
	case c.Retention < time.Second || c.Retention > year:
		return wrong("retention", "%v is outside 1s to %v", c.Retention, year)
	case c.MostBytes < 1<<20 || c.MostBytes > math.MaxInt64/2:
		return wrong("most_bytes", "%d is below 1 MiB", c.MostBytes)
	case c.MostOrders < 1 || c.MostOrders > 1<<30:
		return wrong("most_orders", "%d is below 1", c.MostOrders)
	}
	for class, d := range c.ByClass {
		if d < time.Second || d > c.Retention {
			return wrong("retention_by_class."+class, "%v is outside 1s to retention, which is %v", d, c.Retention)
		}
	}
	return c, nil
}

// Check returns what is wrong with c, or nil. It opens nothing.
func (c Config) Check() error {
	_, err := c.withDefaults()
	return err
}

// Open opens the book of c, and returns how long it keeps the orders of a class.
func (c Config) Open() (EntryStore, func(class string) time.Duration, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, nil, err
	}
	retention := func(class string) time.Duration {
		if d, ok := c.ByClass[class]; ok {
			return d
		}
		return c.Retention
	}
	if c.Dir == "" {
		return NewMemoryStore(int(c.MostBytes)), retention, nil
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("%w: path: %w", ErrConfig, err)
	}
	o := store.Options{
		SegmentBytes: min(4<<20, c.MostBytes/4), MaxBytes: c.MostBytes, MaxKeys: c.MostOrders, Retention: c.Retention,
		CompactRate: compactRate, Grace: grace, Hints: true,
	}
	if c.Durability == Batched {
		o.SyncEvery = c.SyncEvery
	}
	s, err := store.Open(store.Dir(c.Dir), o)
	if err != nil {
		return nil, nil, fmt.Errorf("path %s: %w", c.Dir, err)
	}
	firm := store.Buffered
	if c.Durability == Sync {
		firm = store.Synced
	}
	return DiskStore{s, firm}, retention, nil
}
