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
	reloads := 0
	// swap tells one of the servers to drain, and the other one to take requests again.
	swap := func(drain1 bool) {
		c.Write("operator.toml", c.SQLOperatorFile(listen, lib.SQLServer{MySQL: l1, Drain: drain1}, lib.SQLServer{MySQL: l2, Drain: !drain1}))
		p.Signal(syscall.SIGHUP)
		reloads++
		c.AwaitLog(p, "msg=reloaded", reloads)
		c.Log("l1 drains: %v, l2 drains: %v", drain1, !drain1)
	}
	query := func(k *lib.SQLClient, who, sql string) (uint64, error) {
		_, id, err := k.Query(sql)
		var e *wire.Error
		switch {
		case errors.As(err, &e):
			c.Log("%s: %s: error %v", who, sql, e)
		case err != nil:
			c.Log("%s: %s: %v", who, sql, err)
		default:
			c.Log("%s: %s: ok, id %d", who, sql, id)
		}
		return id, err
	}
	drained, done := false, 0
	// moved has the server of a's session drain, and client b do the same as a meanwhile.
	moved := func(b *lib.SQLClient, sql string) {
		if lib.Trouble() {
			drained = !drained
			swap(drained)
		}
		query(b, "farm b", sql)
		query(b, "farm b", "SELECT 1")
		time.Sleep(60 * time.Millisecond) // b's connection is back in the pool; a's is still held, for 1 s
	}
	for i := range 10 {
		a, b := c.AwaitSQL(listen, p), c.AwaitSQL(listen, p)
		outlet := "outlet-" + strconv.Itoa(i)
		own, err := query(a, "farm a", fmt.Sprintf("INSERT INTO orders (farm, ml) VALUES ('farm-a-%d', 3)", i))
		if err != nil {
			c.Unable("the first order was not placed: %v", err)
		}
		moved(b, fmt.Sprintf("INSERT INTO orders (farm, ml) VALUES ('farm-b-%d', 7)", i))
		query(a, "farm a", "UPDATE stock SET ml = ml - 3 WHERE channel = 'north'")
		before := len(lines)
		if _, err := query(a, "farm a", fmt.Sprintf("INSERT INTO order_lines (order_id, outlet) VALUES (LAST_INSERT_ID(), '%s')", outlet)); err == nil {
			done++
		}
		mu.Lock()
		for _, l := range lines[before:] {
			if l.order != own {
				owner := farms[l.order]
				if owner == "" {
					owner = "nobody"
				}
				c.Broken("the line %s of order %d (farm-a-%d) was written to order %d, of %s", l.outlet, own, i, l.order, owner)
			}
		}
		mu.Unlock()
		// The same farm places an order by a procedure, and reads its id from the OUT parameter.
		if _, err := query(a, "farm a", fmt.Sprintf("CALL place_order('farm-a-%d', 3, @id)", i)); err != nil {
			c.Unable("the procedure failed: %v", err)
		}
		mu.Lock()
		own = next
		mu.Unlock()
		moved(b, fmt.Sprintf("CALL place_order('farm-b-%d', 7, @id)", i))
		if value, _, err := a.Query("SELECT @id"); err != nil {
			c.Log("farm a: SELECT @id: %v", err)
		} else if done++; value != strconv.FormatUint(own, 10) {
			c.Broken("farm-a-%d reads the id %s for its order %d; order %s is that of %q", i, value, own, value, farmOf(farms, value))
		}
		a.Close()
		b.Close()
		time.Sleep(150 * time.Millisecond)
	}
	if ended := p.Ended(); ended != "" {
		c.Unable("the proxy has ended: %s", ended)
	}
	c.Log("%d of 20 steps answered", done)
	if done == 0 && !lib.Trouble() {
		c.Unable("nothing was answered")
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
