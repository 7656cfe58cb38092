package orders

import (
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"quillfront/store"
)

// Durability determines when the intent of an attempt counts as recorded. An attempt is sent only
// once its intent is recorded.
type Durability string

// Durability levels.
const (
	// Sync requires an intent to be synced to disk. It survives a power loss.
	Sync Durability = "sync"
	// Batched requires an intent to be written to the file system, and syncs every
	// Config.SyncEvery. It survives a crash of the process, and a power loss after the next sync.
	Batched Durability = "batched"
	// Buffered requires an intent to be written to the file system, which writes it to disk
	// whenever it decides to.
	Buffered Durability = "buffered"
)

// compactRate is the number of bytes per second that background compaction may copy.
const compactRate = 8 << 20

// Config determines where and how orders are recorded. Zero values select the defaults.
type Config struct {
	Dir        string                   // directory that outlives the process; empty: in memory
	Durability Durability               // default sync
	SyncEvery  time.Duration            // interval of syncs with Batched: 1 ms to 1 min, default 10 ms
	Retention  time.Duration            // how long an order is kept: 1 s to a year, default 24 h
	ByClass    map[string]time.Duration // retention of single classes: 1 s to Retention
	MostBytes  int64                    // of Dir: default 256 MiB; in memory 16 MiB. At least 1 MiB
	MostOrders int                      // limit on the number of orders with Dir: default 1,000,000
}

// ErrConfig is wrapped by all errors about an invalid Config.
var ErrConfig = errors.New("orders: invalid configuration")

// withDefaults returns c with the defaults filled in, or an error that names the invalid key as it
// is spelled in the operator's configuration file.
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
	invalid := func(key, format string, args ...any) (Config, error) {
		return c, fmt.Errorf("%w: %s: %s", ErrConfig, key, fmt.Sprintf(format, args...))
	}
	const year = 366 * 24 * time.Hour
	switch {
	case c.Durability != Sync && c.Durability != Batched && c.Durability != Buffered:
		return invalid("durability", "%q is not sync, batched or buffered", c.Durability)
	case c.SyncEvery < time.Millisecond || c.SyncEvery > time.Minute:
		return invalid("sync_every", "%v is not between 1ms and 1m", c.SyncEvery)
	case c.Retention < time.Second || c.Retention > year:
		return invalid("retention", "%v is not between 1s and %v", c.Retention, year)
	case c.MostBytes < 1<<20 || c.MostBytes > math.MaxInt64/2:
		return invalid("most_bytes", "%d is not between 1 MiB and 4 EiB", c.MostBytes)
	case c.MostOrders < 1 || c.MostOrders > 1<<30:
		return invalid("most_orders", "%d is not between 1 and 2^30", c.MostOrders)
	}
	for class, d := range c.ByClass {
		if d < time.Second || d > c.Retention {
			return invalid("retention_by_class."+class, "%v is not between 1s and retention (%v)", d, c.Retention)
		}
	}
	return c, nil
}

// Check returns an error if c is invalid. It opens no files.
func (c Config) Check() error {
	_, err := c.withDefaults()
	return err
}

// Open opens the entry store that c describes. It also returns the function that gives the
// retention of a class.
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
		CompactRate: compactRate, Grace: expiryGrace, Hints: true,
	}
	if c.Durability == Batched {
		o.SyncEvery = c.SyncEvery
	}
	s, err := store.Open(store.Dir(c.Dir), o)
	if err != nil {
		return nil, nil, fmt.Errorf("path %s: %w", c.Dir, err)
	}
	durability := store.Buffered
	if c.Durability == Sync {
		durability = store.Synced
	}
	return DiskStore{s, durability}, retention, nil
}
