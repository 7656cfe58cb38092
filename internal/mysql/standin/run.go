package standin

import (
	"encoding/binary"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"quillfront/internal/mysql/wire"
)

// prepared is a prepared statement.
type prepared struct {
	sql      string
	params   int
	types    []byte
	longData map[int][]byte
}

// result is the result of a statement.
type result struct {
	err           *wire.Error
	columns       []string
	rows          [][]any // string, int64 or nil
	affected      uint64
	generatedRows int // number of rows that are generated while they are sent
}

// serve executes commands until the client disconnects.
func (n *session) serve() {
	for {
		n.w.Reset()
		b, err := n.w.Read(64 << 20)
		if err != nil || len(b) == 0 {
			return
		}
		if !n.command(wire.Command(b[0]), b) {
			return
		}
	}
}

// command executes a command and reports whether the session continues.
func (n *session) command(c wire.Command, b []byte) bool {
	switch c {
	case wire.Quit:
		return false
	case wire.Ping:
		return n.ok(0) == nil
	case wire.InitDB:
		if string(b[1:]) == "nowhere" {
			return n.send((&wire.Error{Code: 1049, State: "42000", Message: "Unknown database 'nowhere'"}).Append(nil)) == nil
		}
		n.schema = string(b[1:])
		return n.ok(0) == nil
	case wire.ResetConnection:
		n.server.Resets.Add(1)
		n.reset()
		return n.ok(0) == nil
	case wire.ChangeUser:
		u, err := wire.ParseUserChange(b, n.caps)
		if err != nil {
			return false
		}
		n.reset()
		n.schema = u.Schema
		scramble := wire.NewScramble()
		if err := n.send(wire.AppendAuthSwitch(nil, n.server.cfg.Plugin, scramble)); err != nil {
			return false
		}
		proof, err := n.w.Read(1 << 16)
		return err == nil && n.authenticate(u.User, n.server.cfg.Plugin, proof, scramble) == nil
	case wire.Query:
		return n.statement(string(b[1:]), nil, false)
	case wire.StmtPrepare:
		n.server.Prepares.Add(1)
		return n.prepare(string(b[1:]))
	case wire.StmtClose:
		delete(n.statements, binary.LittleEndian.Uint32(b[1:]))
		return true
	case wire.StmtLongData:
		if p := n.statements[binary.LittleEndian.Uint32(b[1:])]; p != nil {
			i := int(binary.LittleEndian.Uint16(b[5:]))
			p.longData[i] = append(p.longData[i], b[7:]...)
		}
		return true
	case wire.StmtReset:
		if p := n.statements[binary.LittleEndian.Uint32(b[1:])]; p != nil {
			p.longData = map[int][]byte{}
			return n.ok(0) == nil
		}
	case wire.StmtExecute:
		p := n.statements[binary.LittleEndian.Uint32(b[1:])]
		if p == nil {
			return n.send(wire.UnknownStatement().Append(nil)) == nil
		}
		args, err := p.arguments(b)
		p.longData = map[int][]byte{}
		if err != nil {
			return n.send(wire.ProtocolError(err).Append(nil)) == nil
		}
		return n.statement(p.sql, args, true)
	}
	return n.send((&wire.Error{Code: 1047, State: "08S01", Message: "Unknown command"}).Append(nil)) == nil
}

func (n *session) prepare(sql string) bool {
	if strings.HasPrefix(sql, "BAD") {
		return n.send((&wire.Error{Code: 1064, State: "42000", Message: "no"}).Append(nil)) == nil
	}
	n.next++
	p := &prepared{sql: sql, params: strings.Count(sql, "?"), longData: map[int][]byte{}}
	n.statements[n.next] = p
	head := wire.PrepareOK{ID: n.next, Params: uint16(p.params)}
	if err := n.w.Write(head.Append(nil)); err != nil {
		return false
	}
	for range p.params {
		n.w.Write(wire.Column{Name: "?", Type: wire.TypeVarString}.Append(nil))
	}
	if p.params > 0 && !n.caps.Has(wire.DeprecateEOF) {
		n.w.Write(wire.EOF{Status: n.flags()}.Append(nil))
	}
	return n.w.W.Flush() == nil
}

// arguments decodes the values of an EXECUTE into SQL literals.
func (p *prepared) arguments(b []byte) ([]string, error) {
	if p.params == 0 {
		return nil, nil
	}
	nulls := b[10 : 10+(p.params+7)/8]
	rest := b[10+len(nulls):]
	if rest[0] == 1 {
		p.types = rest[1 : 1+2*p.params]
		rest = rest[1+2*p.params:]
	} else {
		rest = rest[1:]
	}
	if len(p.types) != 2*p.params {
		return nil, fmt.Errorf("no types")
	}
	var args []string
	for i := range p.params {
		if long, ok := p.longData[i]; ok {
			args = append(args, "'"+string(long)+"'")
			continue
		}
		if nulls[i/8]&(1<<(i%8)) != 0 {
			args = append(args, "NULL")
			continue
		}
		switch p.types[2*i] {
		case 0x01:
			args, rest = append(args, strconv.Itoa(int(int8(rest[0])))), rest[1:]
		case 0x08:
			args, rest = append(args, strconv.FormatInt(int64(binary.LittleEndian.Uint64(rest)), 10)), rest[8:]
		case 0x05:
			args = append(args, strconv.FormatFloat(math.Float64frombits(binary.LittleEndian.Uint64(rest)), 'g', -1, 64))
			rest = rest[8:]
		default:
			size, skip := int(rest[0]), 1
			switch rest[0] {
			case 0xfc:
				size, skip = int(binary.LittleEndian.Uint16(rest[1:])), 3
			case 0xfd:
				size, skip = int(rest[1])|int(rest[2])<<8|int(rest[3])<<16, 4
			case 0xfe:
				size, skip = int(binary.LittleEndian.Uint64(rest[1:])), 9
			}
			args, rest = append(args, "'"+strings.ReplaceAll(string(rest[skip:skip+size]), "'", "''")+"'"), rest[skip+size:]
		}
	}
	return args, nil
}

// maxPatternText is the length from which a statement is not matched against patterns, which would
// be slow.
const maxPatternText = 1 << 16

var comment = regexp.MustCompile(`/\*[^!].*?\*/`)

// statement runs a statement with its injected fault and reports whether the session continues.
func (n *session) statement(sql string, args []string, binary bool) bool {
	s := n.server
	s.Statements.Add(1)
	if len(sql) < maxPatternText {
		sql = strings.TrimSpace(comment.ReplaceAllString(sql, ""))
	}
	for _, a := range args {
		sql = strings.Replace(sql, "?", a, 1)
	}
	var t Fault
	if s.cfg.Fault != nil {
		t = s.cfg.Fault(sql)
	}
	if t.Delay > 0 && !n.sleep(t.Delay) {
		return n.send((&wire.Error{Code: 1317, State: "70100", Message: "Query execution was interrupted"}).Append(nil)) == nil
	}
	if t.CloseBefore {
		return false
	}
	if t.CloseDuring {
		n.changes = nil
		return false
	}
	all := []string{sql}
	if n.caps.Has(wire.MultiStatements) && !binary && len(sql) < maxPatternText {
		all = strings.Split(strings.TrimSuffix(sql, ";"), ";")
	}
	if t.CutAfterBytes > 0 {
		n.limited.left = t.CutAfterBytes
	}
	for i, one := range all {
		r := n.execute(strings.TrimSpace(one))
		if t.CloseAfter {
			return false
		}
		if t.NoReply {
			n.w.R.ReadByte()
			return false
		}
		if t.RawReply != nil {
			n.c.Write(t.RawReply)
			n.w.R.ReadByte()
			return false
		}
		if err := n.sendResult(r, binary, i < len(all)-1 && r.err == nil); err != nil {
			return false
		}
		if r.err != nil {
			break
		}
	}
	if t.TrailingBytes != nil {
		n.c.Write(t.TrailingBytes)
	}
	return true
}

// sleep waits and returns false if the statement was killed meanwhile.
func (n *session) sleep(d time.Duration) bool {
	select {
	case <-n.killed:
	default:
	}
	select {
	case <-time.After(d):
		return true
	case <-n.killed:
		n.server.QueriesKilled.Add(1)
		return false
	}
}

// sendResult sends a result to the client; more announces another one.
func (n *session) sendResult(r result, binary, more bool) error {
	if r.err != nil {
		return n.send(r.err.Append(nil))
	}
	status := n.flags()
	if more {
		status |= wire.MoreResults
	}
	if r.columns == nil {
		o := wire.OK{AffectedRows: r.affected, Status: status, Warnings: uint16(n.warnings)}
		if r.affected > 0 {
			o.LastInsertID = n.insertID
		}
		return n.send(o.Append(nil, 0, n.caps))
	}
	eof := func() error {
		if n.caps.Has(wire.DeprecateEOF) {
			return nil
		}
		return n.w.Write(wire.EOF{Status: status, Warnings: uint16(n.warnings)}.Append(nil))
	}
	if err := n.w.Write(wire.AppendLenencInt(nil, uint64(len(r.columns)))); err != nil {
		return err
	}
	for i, name := range r.columns {
		c := wire.Column{Name: name, Type: wire.TypeVarString}
		if len(r.rows) > 0 {
			if _, ok := r.rows[0][i].(int64); ok {
				c.Type, c.Charset = wire.TypeLonglong, 63
			}
		}
		if err := n.w.Write(c.Append(nil)); err != nil {
			return err
		}
	}
	if err := eof(); err != nil {
		return err
	}
	for _, row := range r.rows {
		if err := n.w.Write(rowOf(row, binary)); err != nil {
			return err
		}
	}
	for i := range r.generatedRows {
		if err := n.w.Write(rowOf([]any{"row " + strconv.Itoa(i)}, binary)); err != nil {
			return err
		}
	}
	if n.caps.Has(wire.DeprecateEOF) {
		o := wire.OK{Status: status, Warnings: uint16(n.warnings)}
		return n.send(o.Append(nil, 0xfe, n.caps))
	}
	return n.send(wire.EOF{Status: status, Warnings: uint16(n.warnings)}.Append(nil))
}

// rowOf encodes a row in the text or the binary protocol.
func rowOf(row []any, bin bool) []byte {
	var b []byte
	if bin {
		b = append(b, 0)
		nulls := make([]byte, (len(row)+9)/8)
		for i, v := range row {
			if v == nil {
				nulls[(i+2)/8] |= 1 << ((i + 2) % 8)
			}
		}
		b = append(b, nulls...)
	}
	for _, v := range row {
		switch v := v.(type) {
		case nil:
			if !bin {
				b = append(b, 0xfb)
			}
		case int64:
			if bin {
				b = binary.LittleEndian.AppendUint64(b, uint64(v))
			} else {
				b = wire.AppendLenencString(b, strconv.FormatInt(v, 10))
			}
		case string:
			b = wire.AppendLenencString(b, v)
		}
	}
	return b
}

func errorResult(code uint16, state, message string) result {
	return result{err: &wire.Error{Code: code, State: state, Message: message}}
}

const value = `('(?:[^']|'')*'|-?[0-9.]+|NULL)`

var (
	insertRE = regexp.MustCompile(`(?is)^insert into orders \(id, item, qty\) values \(` + value + `, ` + value + `, ` + value + `\)$`)
	orderRE  = regexp.MustCompile(`(?is)^select (?:water|` + "`water`" + `)\.(?:order|` + "`order`" + `|place_order)\(` + value + `, ` + value + `\)$`)
	ansiRE   = regexp.MustCompile(`(?is)^select "water"\."place_order"\(` + value + `, ` + value + `\)$`)
	updateRE = regexp.MustCompile(`(?is)^update orders set qty = qty \+ ` + value + ` where id = ` + value + `$`)
	deleteRE = regexp.MustCompile(`(?is)^delete from orders where id = ` + value + `$`)
	readRE   = regexp.MustCompile(`(?is)^select id, item, qty from orders(?: where id = ` + value + `)?(?: for update)?$`)
	countRE  = regexp.MustCompile(`(?is)^select count\(\*\) from (\w+)$`)
	rowsRE   = regexp.MustCompile(`(?is)^select row from rows_(\d+)$`)
	sleepRE  = regexp.MustCompile(`(?is)^select sleep\((.*)\)$`)
	repeatRE = regexp.MustCompile(`(?is)^select repeat\('(.)', (\d+)\)$`)
	varRE    = regexp.MustCompile(`(?is)^select (@@?[\w.]+)$`)
	setRE    = regexp.MustCompile(`(?is)^set (?:session |local )?(@?@?[\w.]+) *:?= *(.+)$`)
	tempRE   = regexp.MustCompile(`(?is)^create temporary table (\w+)`)
	killRE   = regexp.MustCompile(`(?is)^kill (query )?(\d+)$`)
	literal  = regexp.MustCompile(`(?is)^select ` + value + `$`)
)

func unquote(s string) string {
	if strings.HasPrefix(s, "'") {
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	}
	return s
}

func number(s string) int64 {
	f, _ := strconv.ParseFloat(unquote(s), 64)
	return int64(f)
}

// beginImplicitly begins a transaction if autocommit is off, and reports whether changes wait for a
// COMMIT.
func (n *session) beginImplicitly() bool {
	f := n.flags()
	if f&wire.Autocommit == 0 {
		n.status.Store(uint32(f | wire.InTransaction))
		return true
	}
	return f&wire.InTransaction != 0
}

func (n *session) commit() {
	n.server.cfg.Database.commit(n.changes)
	n.changes = nil
	n.status.Store(uint32(n.flags() &^ wire.InTransaction))
}

// change applies a change now or, in a transaction, at the commit.
func (n *session) change(c change) {
	n.changes = append(n.changes, c)
	if !n.beginImplicitly() {
		n.commit()
	}
}

// execute runs one statement.
func (n *session) execute(sql string) result {
	d := n.server.cfg.Database
	if text, ok := strings.CutPrefix(sql, "SELECT '"); ok && len(sql) >= maxPatternText {
		return result{columns: []string{"value"}, rows: [][]any{{strings.TrimSuffix(text, "'")}}}
	}
	lower := strings.ToLower(sql)
	switch lower {
	case "show warnings", "show tables":
	default:
		n.warnings = 0
	}
	one := func(name string, v any) result { return result{columns: []string{name}, rows: [][]any{{v}}} }
	switch lower {
	case "":
		return errorResult(1065, "42000", "Query was empty")
	case "begin", "start transaction", "start transaction read only":
		n.commit()
		n.server.TransactionsBegun.Add(1)
		n.status.Store(uint32(n.flags() | wire.InTransaction))
		return result{}
	case "commit":
		n.commit()
		return result{}
	case "rollback":
		n.changes = nil
		n.commit()
		return result{}
	case "show warnings":
		r := result{columns: []string{"Level", "Code", "Message"}}
		for range n.warnings {
			r.rows = append(r.rows, []any{"Warning", int64(1365), "Division by 0"})
		}
		return r
	case "select 1/0":
		n.warnings = 1
		return one("1/0", nil)
	case "select last_insert_id()":
		return one("last_insert_id()", int64(n.insertID))
	case "select connection_id()":
		return one("connection_id()", int64(n.id))
	case "select server()", "select @@hostname":
		return one("server", n.server.cfg.Name)
	case "select database()":
		if n.schema == "" {
			return one("database()", nil)
		}
		return one("database()", n.schema)
	case "select user()":
		return one("user()", n.user)
	case "lock tables orders write", "unlock tables":
		n.commit()
		return result{}
	case "select infile":
		return result{}
	}
	switch {
	case strings.HasPrefix(lower, "use "):
		n.schema = strings.Trim(sql[4:], "`")
		return result{}
	case strings.HasPrefix(lower, "set names "):
		n.variables["names"] = sql[len("set names "):]
		return result{}
	case strings.HasPrefix(lower, "create table"), strings.HasPrefix(lower, "drop table"):
		n.commit()
		return result{}
	}
	if m := insertRE.FindStringSubmatch(sql); m != nil {
		n.insertID = d.nextID()
		n.change(change{insert: &Order{unquote(m[1]), unquote(m[2]), number(m[3])}})
		return result{affected: 1}
	}
	if m := n.storedFunctionCall(sql); m != nil {
		n.change(change{insert: &Order{unquote(m[1]), "x", number(m[2])}})
		return one("order", int64(1))
	}
	if m := updateRE.FindStringSubmatch(sql); m != nil {
		found := len(d.read(unquote(m[2]), false, n.changes))
		n.change(change{id: unquote(m[2]), addQty: number(m[1])})
		return result{affected: uint64(found)}
	}
	if m := deleteRE.FindStringSubmatch(sql); m != nil {
		found := len(d.read(unquote(m[1]), false, n.changes))
		n.change(change{id: unquote(m[1]), remove: true})
		return result{affected: uint64(found)}
	}
	if m := readRE.FindStringSubmatch(sql); m != nil {
		n.beginImplicitly()
		r := result{columns: []string{"id", "item", "qty"}}
		for _, o := range d.read(unquote(m[1]), m[1] == "", n.changes) {
			r.rows = append(r.rows, []any{o.ID, o.Item, o.Qty})
		}
		return r
	}
	if m := countRE.FindStringSubmatch(sql); m != nil {
		switch {
		case m[1] == "orders":
			n.beginImplicitly()
			return one("count(*)", int64(len(d.read("", true, n.changes))))
		case n.temporary[m[1]]:
			return one("count(*)", int64(0))
		}
		return errorResult(1146, "42S02", "Table '"+m[1]+"' doesn't exist")
	}
	if m := rowsRE.FindStringSubmatch(sql); m != nil {
		return result{columns: []string{"row"}, generatedRows: int(number(m[1]))}
	}
	if m := sleepRE.FindStringSubmatch(sql); m != nil {
		f, _ := strconv.ParseFloat(unquote(m[1]), 64)
		if !n.sleep(time.Duration(f * float64(time.Second))) {
			return errorResult(1317, "70100", "Query execution was interrupted")
		}
		return one("sleep", int64(0))
	}
	if m := repeatRE.FindStringSubmatch(sql); m != nil {
		return one("repeat", strings.Repeat(m[1], int(number(m[2]))))
	}
	if m := varRE.FindStringSubmatch(lower); m != nil {
		name := strings.TrimPrefix(strings.TrimPrefix(m[1], "@@session."), "@@")
		if name == "autocommit" {
			return one(m[1], int64(n.flags()&wire.Autocommit>>1))
		}
		if name == "max_allowed_packet" {
			return one(m[1], "67108864")
		}
		if v, ok := n.variables[name]; ok {
			return one(m[1], v)
		}
		return one(m[1], nil)
	}
	if m := literal.FindStringSubmatch(sql); m != nil {
		if strings.HasPrefix(m[1], "'") {
			return one("value", unquote(m[1]))
		}
		return one("value", number(m[1]))
	}
	if m := tempRE.FindStringSubmatch(sql); m != nil {
		n.temporary[m[1]] = true
		return result{}
	}
	if m := killRE.FindStringSubmatch(sql); m != nil {
		return n.kill(uint32(number(m[2])), m[1] != "")
	}
	if m := setRE.FindStringSubmatch(sql); m != nil {
		name := strings.ToLower(strings.TrimPrefix(strings.TrimPrefix(m[1], "@@session."), "@@"))
		if name == "autocommit" {
			if v := strings.ToLower(m[2]); v == "0" || v == "false" || v == "off" {
				n.status.Store(uint32(n.flags() &^ wire.Autocommit))
			} else {
				n.commit()
				n.status.Store(uint32(n.flags() | wire.Autocommit))
			}
			return result{}
		}
		n.variables[name] = unquote(m[2])
		return result{}
	}
	return errorResult(1064, "42000", "You have an error in your SQL syntax near '"+sql+"'")
}

// storedFunctionCall returns the ID and the quantity of an order that a stored function places, or
// nil. Names in double quotes are a syntax error unless the SQL mode is ANSI_QUOTES.
func (n *session) storedFunctionCall(sql string) []string {
	if m := orderRE.FindStringSubmatch(sql); m != nil || n.variables["sql_mode"] != "ANSI_QUOTES" {
		return m
	}
	return ansiRE.FindStringSubmatch(sql)
}

// kill ends another session or its current statement.
func (n *session) kill(id uint32, query bool) result {
	s := n.server
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.sessions[id]
	if o == nil {
		return errorResult(1094, "HY000", "Unknown thread id")
	}
	if !query {
		o.resetConn()
		return result{}
	}
	select {
	case o.killed <- struct{}{}:
	default:
	}
	return result{}
}
