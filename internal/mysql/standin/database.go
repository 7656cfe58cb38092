// Package standin provides stand-in MySQL servers for tests. They speak the protocol, share a small
// table of orders with transactions, and count how often each order was executed. A test can inject
// faults into statements. The servers listen on loopback addresses only.
package standin

import (
	"sort"
	"sync"
)

// Order is a row of the table of orders.
type Order struct {
	ID, Item string
	Qty      int64
}

// Database is the data that several servers share. The table has no unique key, so that an order
// that was executed twice is visible.
type Database struct {
	mu       sync.Mutex
	orders   []Order
	executed map[string]int // committed INSERTs by order ID
	lastID   uint64
}

// NewDatabase returns an empty Database.
func NewDatabase() *Database { return &Database{executed: map[string]int{}} }

// change is a pending change of a transaction.
type change struct {
	insert *Order
	id     string // of the orders to update or remove, if insert is nil
	addQty int64
	remove bool
}

// commit applies changes atomically.
func (d *Database) commit(changes []change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		if c.insert != nil {
			d.orders = append(d.orders, *c.insert)
			d.executed[c.insert.ID]++
			continue
		}
		kept := d.orders[:0]
		for _, o := range d.orders {
			if o.ID == c.id {
				o.Qty += c.addQty
				if c.remove {
					continue
				}
			}
			kept = append(kept, o)
		}
		d.orders = kept
	}
}

// read returns the orders with an ID, or all of them, with the uncommitted changes applied except
// removals.
func (d *Database) read(id string, all bool, changes []change) []Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	var got []Order
	for _, o := range d.orders {
		if all || o.ID == id {
			got = append(got, o)
		}
	}
	for _, c := range changes {
		switch {
		case c.insert != nil && (all || c.insert.ID == id):
			got = append(got, *c.insert)
		case c.insert == nil:
			for i := range got {
				if got[i].ID == c.id {
					got[i].Qty += c.addQty
				}
			}
		}
	}
	sort.SliceStable(got, func(i, j int) bool { return got[i].ID < got[j].ID })
	return got
}

// nextID returns the next insert ID.
func (d *Database) nextID() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	return d.lastID
}

// Executed returns the number of committed INSERTs by order ID.
func (d *Database) Executed() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := make(map[string]int, len(d.executed))
	for id, n := range d.executed {
		m[id] = n
	}
	return m
}

// Reset deletes all orders and counts.
func (d *Database) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orders, d.lastID = nil, 0
	clear(d.executed)
}
