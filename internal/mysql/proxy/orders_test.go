package proxy

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-sql-driver/mysql"

	"quillfront/internal/mysql/standin"
	"quillfront/internal/mysql/wire"
	"quillfront/internal/pool"
)

// tally is what became of a run of orders.
type tally struct {
	acknowledged, refused, unknown, rolledBack, twice, missing, ranThough, other int
}

// TestOrders: thousands of orders, alone, in transactions and prepared, while servers are killed before, during and after each phase, drain
// and dawdle: none is executed twice, none is acknowledged and missing, none that is called not run has run, and each statement has one
// answer.
func TestOrders(t *testing.T) {
	n := 4000
	got := run(t, n, nil)
	t.Logf("%+v", got)
	if got.twice+got.missing+got.ranThough+got.other > 0 {
		t.Errorf("%+v", got)
	}
	if got.acknowledged < n*8/10 || got.unknown == 0 || got.rolledBack == 0 {
		t.Errorf("the run shows too little: %+v", got)
	}
}

// TestOrdersUnguarded: the same run shows orders that are executed twice once the decision module is told that statements may all be
// repeated.
func TestOrdersUnguarded(t *testing.T) {
	got := run(t, 1000, func(c *pool.Class) { c.ByRequest, c.Safe = false, true })
	t.Logf("%+v", got)
	if got.twice == 0 {
		t.Error("the run does not show what the guard is for")
	}
}

// run plays n orders.
func run(t *testing.T, n int, class func(*pool.Class)) (got tally) {
	w := open(t, options{servers: 4, deadline: 4 * time.Second, class: class, proxy: Config{DrainTimeout: 300 * time.Millisecond}})
	w.make(func(server, sql string) standin.Fault { // by the statement alone, so that a seed gives the same
		if !strings.Contains(sql, "INSERT") && sql != "COMMIT" && sql != "BEGIN" && !strings.HasPrefix(sql, "UPDATE") {
			return standin.Fault{}
		}
		w.mu.Lock()
		w.count++
		h := fnv.New32a()
		fmt.Fprint(h, w.count, "seed 12")
		w.mu.Unlock()
		switch v := h.Sum32() % 400; {
		case v < 2:
			return standin.Fault{CloseBefore: true}
		case v < 4:
			return standin.Fault{CloseDuring: true}
		case v < 6:
			return standin.Fault{CloseAfter: true}
		case v < 9:
			return standin.Fault{CutAfterBytes: 1 + int(h.Sum32()>>16)%11}
		case v < 12:
			return standin.Fault{Delay: time.Duration(v) * time.Millisecond}
		}
		return standin.Fault{}
	})
	ctx, stop := context.WithCancel(context.Background())
	var chaos sync.WaitGroup
	chaos.Go(func() { // servers drain and come back, and drop all their connections
		rng := rand.New(rand.NewPCG(3, 12))
		for ctx.Err() == nil {
			i := rng.IntN(4)
			w.set(i, true)
			select {
			case <-time.After(150 * time.Millisecond):
			case <-ctx.Done():
			}
			w.set(i, false)
			if i := rng.IntN(4); rng.IntN(3) == 0 {
				w.servers[i].ResetConnections()
			}
		}
	})
	jobs := make(chan int, n)
	for i := range n {
		jobs <- i
	}
	close(jobs)
	var mu sync.Mutex
	acknowledged, unsure := map[string]bool{}, map[string]bool{}
	var work sync.WaitGroup
	for range 12 {
		db := w.client("")
		work.Go(func() {
			for i := range jobs {
				id := fmt.Sprint("order-", i)
				err := order(db, id, i%3)
				mu.Lock()
				switch c := code(err); {
				case err == nil:
					acknowledged[id] = true
					got.acknowledged++
				case c == 9001:
					got.refused++
				case c == 9003 || c == 9004 || c == 9007 || c == 9005:
					got.rolledBack++
				case c == 9002:
					unsure[id] = true
					got.unknown++
				default:
					got.other++
					t.Logf("%s: %v", id, err)
				}
				mu.Unlock()
			}
		})
	}
	work.Wait()
	stop()
	chaos.Wait()
	ran := w.db.Executed()
	for id, times := range ran {
		if times > 1 {
			got.twice++
		}
		if !acknowledged[id] && !unsure[id] {
			got.ranThough++
		}
	}
	for id := range acknowledged {
		if ran[id] == 0 {
			got.missing++
		}
	}
	return got
}

// order executes one order: alone, in a transaction, or prepared.
func order(db *sql.DB, id string, how int) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c, err := db.Conn(ctx)
	if err != nil {
		return err
	}
	defer c.Close()
	switch how {
	case 0:
		_, err = c.ExecContext(ctx, fmt.Sprintf("/* class=delivery-order key=%s */ INSERT INTO orders (id, item, qty) VALUES ('%s', 'hose', 1)", id, id))
		return err
	case 1:
		_, err = c.ExecContext(ctx, "INSERT INTO orders (id, item, qty) VALUES (?, ?, ?)", id, "pump", 2)
		return err
	}
	if _, err = c.ExecContext(ctx, "BEGIN"); err != nil {
		return err
	}
	_, err = c.ExecContext(ctx, fmt.Sprintf("INSERT INTO orders (id, item, qty) VALUES ('%s', 'valve', 3)", id))
	if err == nil {
		_, err = c.ExecContext(ctx, fmt.Sprintf("UPDATE orders SET qty = qty + 1 WHERE id = '%s'", id))
	}
	if err == nil {
		_, err = c.ExecContext(ctx, "COMMIT")
		if code(err) != 9003 {
			return err
		}
	}
	var e *mysql.MySQLError
	if errors.As(err, &e) {
		c.ExecContext(ctx, "ROLLBACK")
	}
	if code(err) == wire.Failed("").Code {
		return fmt.Errorf("in a transaction: %w", err)
	}
	return err
}

// set lists a server as draining or not.
func (w *world) set(i int, drain bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Servers[i].Drain = drain
	if err := w.pool.Reload(w.cfg); err != nil {
		w.t.Error(err)
	}
}
