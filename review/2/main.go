//go:build review

// Case 2: a statement that places an order through a stored function is sent again after its connection died.
package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"

	"quillfront/internal/mysql/wire"
	"quillfront/review/lib"
)

const (
	orders = 60
	share  = 6 // one connection in so many dies: fewer than the 18 % of bad servers of the brief
)

// placeRE is the statement by which the applications place an order. One calls the stored function `order` of the schema
// water, the other one the stored function place_order, with names in double quotes as ANSI_QUOTES has them.
var (
	placeRE = regexp.MustCompile(`(?i)^select (?:water\.order|"water"\."place_order")\('([A-Z0-9-]+)', (\d+)\)$`)
	modeRE  = regexp.MustCompile(`(?i)^set session sql_mode ?= ?'(ansi_quotes)'$`)
)

func main() {
	c := lib.Start()
	var mu sync.Mutex
	placed := map[string]int{}    // executions by order, over all servers: they share the data
	killed := map[string]string{} // orders whose connection died, by the server
	sent := 0
	run := func(s *lib.Session, sql string) lib.Reply {
		if m := modeRE.FindStringSubmatch(sql); m != nil {
			s.Mode = strings.ToUpper(m[1])
			c.Log("%s, connection %d: sql_mode is %s", s.Server.Name, s.ID, s.Mode)
			return lib.Reply{}
		}
		m := placeRE.FindStringSubmatch(sql)
		// Without ANSI_QUOTES what stands in double quotes is a string, and no function has such a name.
		if m == nil || strings.Contains(sql, `"`) && s.Mode != "ANSI_QUOTES" {
			c.Log("%s, connection %d, sql_mode %q: syntax error: %s", s.Server.Name, s.ID, s.Mode, sql)
			return lib.Reply{Err: &wire.Error{Code: 1064, State: "42000", Message: "You have an error in your SQL syntax"}}
		}
		mu.Lock()
		defer mu.Unlock()
		placed[m[1]]++
		c.Log("%s runs %s, connection %d: order %s is placed, time %d", s.Server.Name, sql, s.ID, m[1], placed[m[1]])
		if _, had := killed[m[1]]; !had && sent%share == share-1 && lib.Trouble() {
			killed[m[1]] = s.Server.Name
			c.Log("%s: connection %d dies before the reply", s.Server.Name, s.ID)
			return lib.Reply{Die: true}
		}
		return lib.Reply{Column: "placed", Value: "1"}
	}
	l1, l2 := c.NewMySQL("l1", run), c.NewMySQL("l2", run)
	listen := c.FreeAddr()
	operator := c.Write("operator.toml", c.SQLOperatorFile(listen, lib.SQLServer{MySQL: l1}, lib.SQLServer{MySQL: l2}))
	p := c.Run("n0", c.RunLine()+" serve --config "+operator, "GW_CONFIG=")
	login := func(quotes bool) *lib.SQLClient {
		k := c.AwaitSQL(listen, p)
		if quotes {
			if _, _, err := k.Query("SET SESSION sql_mode = 'ANSI_QUOTES'"); err != nil {
				c.Unable("sql_mode: %v", err)
			}
		}
		return k
	}
	clients := []*lib.SQLClient{login(false), login(true)}
	answered := 0
	for i := range orders {
		id := fmt.Sprintf("A7-%d", i)
		call, k := "water.order", clients[i%2]
		if i%2 == 1 {
			call = `"water"."place_order"`
		}
		sql := fmt.Sprintf("/* class=delivery-order key=%s */ SELECT %s('%s', 3)", id, call, id)
		mu.Lock()
		sent = i / 2 // so that the connections of both applications die
		mu.Unlock()
		c.Log("client sends %s", sql)
		value, _, err := k.Query(sql)
		var e *wire.Error
		switch {
		case err == nil:
			answered++
			c.Log("client gets %s", value)
		case errors.As(err, &e):
			c.Log("client gets the error %v", e)
		default:
			c.Log("client: %v", err)
			clients[i%2] = login(i%2 == 1)
		}
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	for i := range orders {
		id := fmt.Sprintf("A7-%d", i)
		if placed[id] > 1 {
			c.Broken("order %s was placed %d times; the client sent its statement once", id, placed[id])
		}
	}
	ran := len(placed)
	mu.Unlock()
	if ended := p.Ended(); ended != "" {
		c.Unable("the proxy has ended: %s", ended)
	}
	c.Log("%d orders sent, %d placed, %d answered with a result, %d connections died", orders, ran, answered, len(killed))
	if ran == 0 {
		c.Unable("no statement arrived")
	}
	c.End()
}
