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

// orderCounts counts the outcomes of a run of orders.
type orderCounts struct {
	acknowledged, refused, unknown, rolledBack, duplicated, missing, ranUnreported, other int
}

// TestOrders runs thousands of orders as single, transactional and prepared statements while
// servers fail before, during and after statements, drain and respond slowly. No order may be
// executed twice, be acknowledged but missing, or have run although it was reported as not run, and
// each statement gets exactly one answer.
func TestOrders(t *testing.T) {
	n := 4000
	got := runOrders(t, n, nil)
	t.Logf("%+v", got)
	if got.duplicated+got.missing+got.ranUnreported+got.other > 0 {
		t.Errorf("%+v", got)
	}
	if got.acknowledged < n*8/10 || got.unknown == 0 || got.rolledBack == 0 {
		t.Errorf("the run covers too few outcomes: %+v", got)
	}
}

// TestOrdersUnguarded checks that TestOrders can detect duplicates: orders are executed twice when
// the class declares all statements as safe to repeat.
func TestOrdersUnguarded(t *testing.T) {
	got := runOrders(t, 1000, func(c *pool.Class) { c.ByRequest, c.Safe = false, true })
	t.Logf("%+v", got)
	if got.duplicated == 0 {
		t.Error("no order was executed twice without the protection")
	}
}

// runOrders places n orders and counts their outcomes.
func runOrders(t *testing.T, n int, class func(*pool.Class)) (got orderCounts) {
	w := newTestEnv(t, options{servers: 4, deadline: 4 * time.Second, class: class, proxy: Config{DrainTimeout: 300 * time.Millisecond}})
	// The fault depends on the number of the statement and the seed alone, to be reproducible.
	w.setFault(func(server, sql string) standin.Fault {
		if !strings.Contains(sql, "INSERT") && sql != "COMMIT" && sql != "BEGIN" && !strings.HasPrefix(sql, "UPDATE") {
			return standin.Fault{}
		}
		w.mu.Lock()
		w.faultCalls++
		h := fnv.New32a()
		fmt.Fprint(h, w.faultCalls, "seed 12")
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
	chaos.Go(func() { // servers drain, come back and drop all their connections
		rng := rand.New(rand.NewPCG(3, 12))
		for ctx.Err() == nil {
			i := rng.IntN(4)
			w.setDraining(i, true)
			select {
			case <-time.After(150 * time.Millisecond):
			case <-ctx.Done():
			}
			w.setDraining(i, false)
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
		db := w.newClient("")
		work.Go(func() {
			for i := range jobs {
				id := fmt.Sprint("order-", i)
				err := placeOrder(db, id, i%3)
				mu.Lock()
				switch c := errorCode(err); {
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
			got.duplicated++
		}
		if !acknowledged[id] && !unsure[id] {
			got.ranUnreported++
		}
	}
	for id := range acknowledged {
		if ran[id] == 0 {
			got.missing++
		}
	}
	return got
}

// placeOrder places one order: as a single statement, prepared, or in a transaction.
func placeOrder(db *sql.DB, id string, how int) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
		if errorCode(err) != 9003 {
			return err
		}
	}
	var e *mysql.MySQLError
	if errors.As(err, &e) {
		c.ExecContext(ctx, "ROLLBACK")
	}
	if errorCode(err) == wire.Failed("").Code {
		return fmt.Errorf("in a transaction: %w", err)
	}
	return err
}

// setDraining marks a server as draining or not.
func (w *testEnv) setDraining(i int, drain bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Servers[i].Drain = drain
	if err := w.pool.Reload(w.cfg); err != nil {
		w.t.Error(err)
	}
}
