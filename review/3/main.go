//go:build review

// Case 3: a session that a drain moves to another server reads there what other clients have left: their LAST_INSERT_ID(),
// and their user variables.
package main

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"quillfront/internal/mysql/wire"
	"quillfront/review/lib"
)

const pairs = 5 // of farms

var (
	orderRE = regexp.MustCompile(`(?i)^insert into orders \(farm, ml\) values \('([a-z0-9-]+)', (\d+)\)$`)
	stockRE = regexp.MustCompile(`(?i)^update stock set ml = ml - (\d+) where channel = '([a-z]+)'$`)
	callRE  = regexp.MustCompile(`(?i)^call place_order\('([a-z0-9-]+)', (\d+), @id\)$`)
	lineRE  = regexp.MustCompile(`(?i)^insert into order_lines \(order_id, outlet\) values \(last_insert_id\(\), '([a-z0-9-]+)'\)$`)
)

func main() {
	c := lib.Start()
	var mu sync.Mutex
	farms := map[uint64]string{} // the table orders: the farm by id, shared by the servers
	type line struct {
		order  uint64
		outlet string
	}
	var lines []line
	next := uint64(100)
	run := func(s *lib.Session, sql string) lib.Reply {
		mu.Lock()
		defer mu.Unlock()
		if m := orderRE.FindStringSubmatch(sql); m != nil {
			next++
			farms[next], s.InsertID = m[1], next
			c.Log("%s, connection %d, runs %s: order %d", s.Server.Name, s.ID, sql, next)
			return lib.Reply{InsertID: next, Affected: 1}
		}
		if m := callRE.FindStringSubmatch(sql); m != nil { // the procedure sets its OUT parameter to the new id
			next++
			farms[next], s.Vars["id"] = m[1], strconv.FormatUint(next, 10)
			c.Log("%s, connection %d, runs %s: order %d", s.Server.Name, s.ID, sql, next)
			return lib.Reply{Affected: 1}
		}
		if strings.EqualFold(sql, "select @id") {
			c.Log("%s, connection %d, runs %s: %q", s.Server.Name, s.ID, sql, s.Vars["id"])
			return lib.Reply{Column: "@id", Value: s.Vars["id"], Null: s.Vars["id"] == ""}
		}
		if stockRE.MatchString(sql) { // an UPDATE leaves LAST_INSERT_ID() as it was
			c.Log("%s, connection %d, runs %s", s.Server.Name, s.ID, sql)
			return lib.Reply{Affected: 1}
		}
		if m := lineRE.FindStringSubmatch(sql); m != nil {
			lines = append(lines, line{s.InsertID, m[1]})
			c.Log("%s, connection %d, runs %s: a line of order %d, which is that of %q", s.Server.Name, s.ID, sql, s.InsertID, farms[s.InsertID])
			return lib.Reply{Affected: 1}
		}
		return lib.Reply{Err: &wire.Error{Code: 1064, State: "42000", Message: "You have an error in your SQL syntax"}}
	}
	l1, l2 := c.NewMySQL("l1", run), c.NewMySQL("l2", run)
	listen := c.FreeAddr()
	path := c.Write("operator.toml", c.SQLOperatorFile(listen, lib.SQLServer{MySQL: l1}, lib.SQLServer{MySQL: l2, Drain: true}))
	p := c.Run("n0", c.RunLine()+" serve --config "+path, "GW_CONFIG=")
	c.AwaitSQL(listen, p).Close()
	query := func(k *lib.SQLClient, who, sql string) (string, uint64, error) {
		value, id, err := k.Query(sql)
		var e *wire.Error
		switch {
		case errors.As(err, &e):
			c.Log("%s: %s: error %v", who, sql, e)
		case err != nil:
			c.Log("%s: %s: %v", who, sql, err)
		default:
			c.Log("%s: %s: ok, id %d, value %q", who, sql, id, value)
		}
		return value, id, err
	}
	// Each farm has two sessions: one places its order by INSERT, the other one by a procedure.
	type farm struct {
		name           string
		insert, call   *lib.SQLClient
		byInsert, byID uint64
	}
	login := func(name string) *farm {
		return &farm{name: name, insert: c.AwaitSQL(listen, p), call: c.AwaitSQL(listen, p)}
	}
	place := func(f *farm) {
		_, id, err := query(f.insert, f.name, fmt.Sprintf("INSERT INTO orders (farm, ml) VALUES ('%s', 3)", f.name))
		if err == nil {
			_, _, err = query(f.call, f.name, fmt.Sprintf("CALL place_order('%s', 3, @id)", f.name))
		}
		if err != nil {
			c.Unable("%s could not place its orders: %v", f.name, err)
		}
		mu.Lock()
		f.byInsert, f.byID = id, next
		mu.Unlock()
	}
	time.Sleep(1500 * time.Millisecond) // no new configuration comes in a program's first second
	var before, after []*farm
	for i := range pairs {
		before, after = append(before, login(fmt.Sprintf("farm-a-%d", i))), append(after, login(fmt.Sprintf("farm-b-%d", i)))
	}
	for _, f := range before {
		place(f)
	}
	if lib.Trouble() {
		c.Write("operator.toml", c.SQLOperatorFile(listen, lib.SQLServer{MySQL: l1, Drain: true}, lib.SQLServer{MySQL: l2}))
		p.Signal(syscall.SIGHUP)
		c.AwaitLog(p, "msg=reloaded", 1)
		c.Log("l1 is told to drain, l2 is back")
	}
	for _, f := range after {
		place(f)
	}
	for _, f := range after { // they go on with something else, and give their connections back
		query(f.insert, f.name, "SELECT 1")
		query(f.call, f.name, "SELECT 1")
	}
	time.Sleep(60 * time.Millisecond)
	answered := 0
	for i, f := range before { // within `hold` (1 s) of their orders
		outlet := "outlet-" + strconv.Itoa(i)
		query(f.insert, f.name, "UPDATE stock SET ml = ml - 3 WHERE channel = 'north'")
		mu.Lock()
		written := len(lines)
		mu.Unlock()
		if _, _, err := query(f.insert, f.name, fmt.Sprintf("INSERT INTO order_lines (order_id, outlet) VALUES (LAST_INSERT_ID(), '%s')", outlet)); err == nil {
			answered++
		}
		mu.Lock()
		for _, l := range lines[written:] {
			if l.order != f.byInsert {
				c.Broken("the line %s of %s, order %d, was written to order %d, that of %q", l.outlet, f.name, f.byInsert, l.order, farms[l.order])
			}
		}
		mu.Unlock()
		if value, _, err := query(f.call, f.name, "SELECT @id"); err == nil {
			answered++
			if id, _ := strconv.ParseUint(value, 10, 64); id != f.byID {
				c.Broken("%s reads the id %s for its order %d; that is an order of %q", f.name, value, f.byID, farmOf(farms, value))
			}
		}
	}
	if ended := p.Ended(); ended != "" {
		c.Unable("the proxy has ended: %s", ended)
	}
	c.Log("%d of %d steps answered without an error", answered, 2*pairs)
	if answered < 2*pairs && !lib.Trouble() {
		c.Unable("only %d of %d steps were answered without a disruption", answered, 2*pairs)
	}
	c.End()
}

// farmOf returns the farm of an order.
func farmOf(farms map[uint64]string, id string) string {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return ""
	}
	return farms[n]
}
