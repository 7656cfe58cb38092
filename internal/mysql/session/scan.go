package session

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Pin is a set of session state that a statement leaves on its server and other servers don't have.
type Pin uint16

// The pins.
const (
	UserVariables Pin = 1 << iota
	TemporaryTables
	TableLocks // until UNLOCK TABLES
	NamedLocks
	PreparedInSQL // by a PREPARE statement
	OpenHandlers
	OtherState // state that cannot be recreated elsewhere
)

// ResultInfo is a set of information about earlier statements that only their connection holds.
type ResultInfo uint8

// The kinds of result information.
const (
	InsertIDInfo ResultInfo = 1 << iota // LAST_INSERT_ID()
	RowCountInfo                        // FOUND_ROWS(), ROW_COUNT()
	WarningInfo                         // SHOW WARNINGS
	VariableInfo                        // user variables that stored code may have set
)

// Setting is a SET of a literal, which can be repeated on another server.
type Setting struct {
	Name string // in lower case; "names" for SET NAMES
	SQL  string
}

// Hint holds the request attributes from a comment of a statement, such as
// /* class=delivery-order key=A7 timeout=300ms */.
type Hint struct {
	Class   string
	Key     string
	Timeout time.Duration // 0: none
	Invalid string        // the part that is invalid; empty: none
}

// Kill is a KILL statement, which ends another session or its current statement.
type Kill struct {
	QueryOnly bool // only the current statement
	ID        uint32
}

// Statement describes the effects of a statement on its session, as far as the text shows them.
type Statement struct {
	Verb  string // the first word of the first statement, in lower case
	Multi bool   // the text has several statements
	// ReadOnly tells that the statement, with all functions that it calls, changes nothing on any
	// server, so that it may be run again.
	ReadOnly     bool
	Begin        bool // a single BEGIN or START TRANSACTION
	Commit       bool // a single COMMIT
	Rollback     bool // a single ROLLBACK of the whole transaction
	MayCommit    bool // may commit the earlier statements of the transaction
	UnlockTables bool // UNLOCK TABLES
	Pins         Pin
	Needs        ResultInfo // information about earlier statements that it reads
	Procedure    bool       // calls a stored procedure
	// StoredCode tells that the statement calls a stored procedure or what may be a stored function.
	// Such code can read and set user variables that the text does not name.
	StoredCode    bool
	CalcFoundRows bool // SQL_CALC_FOUND_ROWS: the next statement may read the count
	Settings      []Setting
	Schema        string // USE
	Kill          *Kill
	LocalInfile   bool // LOAD DATA LOCAL
	Ambiguous     bool // the server may read the text differently: the worst is assumed
	Hint          Hint
}

const (
	// maxHintLength is the longest comment that is read as a hint.
	maxHintLength = 512
	// MaxSettingLength is the longest SET that is remembered.
	MaxSettingLength = 1024
)

// Scan analyzes a statement, or several that are separated by semicolons. noBackslash tells whether
// the session has the SQL mode NO_BACKSLASH_ESCAPES.
func Scan(sql string, noBackslash bool) Statement {
	l := &lexer{input: sql, noBackslash: noBackslash}
	var all []Statement
	var tokens []token
	for {
		t := l.next()
		if t.kind == tokenEnd || t.kind == tokenPunct && t.text == ";" {
			if len(tokens) > 0 {
				all = append(all, scanOne(sql, tokens))
				tokens = tokens[:0]
			}
			if t.kind == tokenEnd {
				break
			}
			continue
		}
		tokens = append(tokens, t)
	}
	s := combine(all)
	s.Ambiguous = l.ambiguous || l.inVersionComment
	if s.Ambiguous {
		s.ReadOnly, s.MayCommit, s.Begin, s.Commit, s.Rollback, s.Settings = false, true, false, false, false, nil
		s.Pins |= OtherState
	}
	for _, c := range l.comments {
		if h, ok := parseHint(c); ok {
			s.Hint = h
			break
		}
	}
	return s
}

// combine returns the joint effects of statements that are sent together.
func combine(all []Statement) Statement {
	switch len(all) {
	case 0:
		return Statement{ReadOnly: true}
	case 1:
		return all[0]
	}
	s := Statement{Verb: all[0].Verb, Multi: true, ReadOnly: true}
	for _, o := range all {
		s.ReadOnly = s.ReadOnly && o.ReadOnly && !o.Begin
		s.MayCommit = s.MayCommit || o.MayCommit || o.Commit || o.Begin
		s.Pins |= o.Pins
		s.Needs |= o.Needs
		s.Procedure = s.Procedure || o.Procedure
		s.StoredCode = s.StoredCode || o.StoredCode
		s.CalcFoundRows = s.CalcFoundRows || o.CalcFoundRows
		s.LocalInfile = s.LocalInfile || o.LocalInfile
		if len(o.Settings) > 0 || o.Schema != "" || o.Kill != nil || o.UnlockTables {
			s.Pins |= OtherState
			s.ReadOnly = false
		}
	}
	return s
}

// implicitCommits lists the statements that commit a transaction implicitly, or may do so.
var implicitCommits = map[string]bool{
	"alter": true, "create": true, "drop": true, "rename": true, "truncate": true, "analyze": true, "cache": true, "check": true,
	"flush": true, "load": true, "optimize": true, "repair": true, "reset": true, "grant": true, "revoke": true, "install": true,
	"uninstall": true, "lock": true, "start": true, "begin": true, "change": true, "stop": true, "call": true, "import": true, "xa": true,
	"clone": true, "restart": true, "shutdown": true, "do": false, "purge": true,
}

// scanOne analyzes a single statement.
func scanOne(sql string, t []token) Statement {
	s := Statement{}
	if t[0].kind != tokenWord {
		if t[0].kind == tokenPunct && t[0].text == "(" {
			s.Verb = "("
			s.StoredCode = callsUnknownFunction(t)
			s.scanQuery(t)
			return s
		}
		s.MayCommit, s.Pins = true, OtherState
		return s
	}
	at := func(i int) string {
		if i < len(t) && t[i].kind == tokenWord {
			return t[i].text
		}
		return ""
	}
	s.Verb = t[0].text
	s.MayCommit = implicitCommits[s.Verb]
	s.scanReferences(t)
	s.StoredCode = callsStoredCode(t)
	switch s.Verb {
	case "select", "with", "table", "values":
		s.scanQuery(t)
	case "show", "explain", "describe", "desc", "help":
		s.ReadOnly = !callsUnknownFunction(t)
		if s.Verb == "show" && (at(1) == "warnings" || at(1) == "errors" || at(1) == "count") {
			s.Needs |= WarningInfo
		}
		if at(1) == "analyze" { // EXPLAIN ANALYZE executes the statement
			s.scanQuery(t[2:])
		}
	case "begin":
		s.Begin, s.ReadOnly = true, len(t) == 1 || at(1) == "work"
	case "start":
		s.Begin = at(1) == "transaction"
		s.ReadOnly = s.Begin
	case "commit":
		s.Commit, s.MayCommit = true, true
		s.scanCompletion(t)
	case "rollback":
		s.Rollback = !containsWord(t, "to")
		s.scanCompletion(t)
	case "set":
		s.scanSet(sql, t)
	case "use":
		if len(t) == 2 {
			s.Schema = unquote(sql[t[1].start:t[1].end])
			s.ReadOnly = true
		}
	case "unlock":
		s.UnlockTables = at(1) == "tables" || at(1) == "table"
		s.MayCommit = s.UnlockTables
	case "lock":
		s.Pins |= TableLocks
	case "create", "drop":
		if at(1) == "temporary" || at(1) == "or" && at(3) == "temporary" {
			s.MayCommit = false
			s.Pins |= TemporaryTables
		}
	case "prepare", "execute", "deallocate":
		s.Pins |= PreparedInSQL
		s.MayCommit = true // the prepared text is unknown
	case "handler":
		s.Pins |= OpenHandlers
	case "flush":
		if containsWord(t, "lock") || containsWord(t, "export") {
			s.Pins |= TableLocks
		}
	case "xa":
		s.Pins |= OtherState
	case "call":
		s.Procedure = true
		s.pinVariables(t) // any argument may be an OUT parameter
	case "load":
		s.LocalInfile = containsWord(t, "local")
		s.pinVariables(t) // the columns of the file may go to variables
	case "kill":
		s.scanKill(sql, t)
	case "insert", "replace", "update", "delete", "savepoint", "release", "do", "truncate", "alter", "rename", "analyze", "optimize",
		"check", "checksum", "repair", "grant", "revoke", "import", "binlog", "reset", "purge", "cache", "install", "uninstall":
	default:
		s.MayCommit = true
		s.Pins |= OtherState
	}
	return s
}

// containsWord reports whether t contains the word w.
func containsWord(t []token, w string) bool {
	return slices.ContainsFunc(t, func(t token) bool { return t.kind == tokenWord && t.text == w })
}

// scanCompletion analyzes COMMIT and ROLLBACK: with CHAIN they begin the next transaction, and with
// RELEASE they end the session.
func (s *Statement) scanCompletion(t []token) {
	for i := range t {
		if t[i].kind == tokenWord && (t[i].text == "chain" || t[i].text == "release") && (i == 0 || t[i-1].text != "no") && !containsWord(t, "to") {
			s.Commit, s.Rollback = false, false
			if t[i].text == "release" {
				s.Pins |= OtherState
			}
		}
	}
}

// infoFunctions are the functions that return information about earlier statements.
var infoFunctions = map[string]ResultInfo{"last_insert_id": InsertIDInfo, "found_rows": RowCountInfo, "row_count": RowCountInfo}

// infoVariables are the system variables that return information about earlier statements.
var infoVariables = map[string]ResultInfo{
	"last_insert_id": InsertIDInfo, "identity": InsertIDInfo, "insert_id": InsertIDInfo, "warning_count": WarningInfo, "error_count": WarningInfo,
}

// lockFunctions are the functions of named locks, which belong to the session. False marks those
// that change no lock.
var lockFunctions = map[string]bool{"get_lock": true, "release_lock": true, "release_all_locks": true, "is_free_lock": false, "is_used_lock": false}

// scanReferences records the session state that the functions and variables in a statement leave or
// read.
func (s *Statement) scanReferences(t []token) {
	for i, k := range t {
		variable := k.text
		if n := strings.LastIndexByte(variable, '.'); n >= 0 {
			variable = variable[n+1:]
		}
		builtin := calledBuiltin(t, i)
		switch {
		case infoFunctions[builtin] != 0:
			s.Needs |= infoFunctions[builtin]
			if builtin == "last_insert_id" && i+2 < len(t) && !(t[i+2].kind == tokenPunct && t[i+2].text == ")") {
				s.Pins |= OtherState // with an argument it sets the value
			}
		case lockFunctions[builtin]:
			s.Pins |= NamedLocks
		case k.kind == tokenWord && k.text == "sql_calc_found_rows":
			s.CalcFoundRows = true
		case k.kind == tokenSystemVar && infoVariables[variable] != 0:
			s.Needs |= infoVariables[variable]
		case k.kind == tokenUserVar && assigned(t, i):
			s.Pins |= UserVariables
		case k.kind == tokenUserVar:
			s.Needs |= VariableInfo
		}
	}
}

// assigned reports whether a statement visibly assigns the user variable at i.
func assigned(t []token, i int) bool {
	is := func(i int, text string) bool { return i >= 0 && i < len(t) && t[i].text == text }
	switch {
	case is(i+1, ":="), is(i-1, "into"):
		return true
	case t[0].text == "set":
		return is(i+1, "=") && (i == 1 || is(i-1, ","))
	}
	return is(i-1, ",") && containsWord(t[:i], "into")
}

// pinVariables binds the session if a statement that may assign any user variable mentions one.
func (s *Statement) pinVariables(t []token) {
	if slices.ContainsFunc(t, func(k token) bool { return k.kind == tokenUserVar }) {
		s.Pins |= UserVariables
	}
}

// scanQuery analyzes a query.
func (s *Statement) scanQuery(t []token) {
	s.scanReferences(t)
	s.ReadOnly = !callsUnknownFunction(t) && s.Pins == 0
	for i, k := range t {
		if k.kind != tokenWord {
			continue
		}
		switch k.text {
		case "into", "update", "delete", "insert", "replace":
			// A function of this name, such as REPLACE(), changes nothing; FOR UPDATE and a WITH
			// before an UPDATE do.
			if k.text != "into" && calls(t, i) {
				continue
			}
			s.ReadOnly = false
		case "share":
			s.ReadOnly = false // it locks the rows
		case "next":
			if containsWord(t, "value") {
				s.ReadOnly = false // NEXT VALUE FOR advances a sequence
			}
		}
	}
}

// scanKill parses KILL [CONNECTION | QUERY] id.
func (s *Statement) scanKill(sql string, t []token) {
	k := &Kill{}
	i := 1
	if i < len(t) && t[i].kind == tokenWord && (t[i].text == "query" || t[i].text == "connection") {
		k.QueryOnly = t[i].text == "query"
		i++
	}
	if i == len(t)-1 && t[i].kind == tokenNumber {
		if n, err := strconv.ParseUint(sql[t[i].start:t[i].end], 10, 32); err == nil {
			k.ID = uint32(n)
			s.Kill = k
			return
		}
	}
	s.Pins |= OtherState
}

// scanSet parses a SET. Only assignments of literals can be repeated on another server.
func (s *Statement) scanSet(sql string, t []token) {
	if len(t) < 2 || t[len(t)-1].end-t[0].start > MaxSettingLength {
		s.Pins |= OtherState
		s.MayCommit = true
		return
	}
	whole := sql[t[0].start:t[len(t)-1].end]
	first := ""
	if t[1].kind == tokenWord {
		first = t[1].text
	}
	switch first {
	case "names", "charset":
		s.addSetting("names", whole)
		return
	case "character":
		s.addSetting("names", whole)
		return
	case "transaction", "role", "resource":
		s.Pins |= OtherState
		return
	case "password", "default", "global", "persist", "persist_only":
		return // it changes the server, not the session
	}
	if (first == "session" || first == "local") && len(t) > 2 && t[2].kind == tokenWord && t[2].text == "transaction" {
		s.addSetting("transaction", whole)
		return
	}
	// A list of assignments: name = literal, ...
	rest := t[1:]
	for len(rest) > 0 {
		n := slices.IndexFunc(rest, func(k token) bool { return k.kind == tokenPunct && k.text == "," })
		part := rest
		if n >= 0 {
			part, rest = rest[:n], rest[n+1:]
		} else {
			rest = nil
		}
		if !s.scanAssignment(sql, part) {
			s.Settings, s.ReadOnly = nil, false
			s.Pins |= OtherState
			s.MayCommit = true
			return
		}
	}
	s.ReadOnly = s.Pins == 0 && !s.MayCommit
}

// addSetting records a setting that can be repeated as sql.
func (s *Statement) addSetting(name, sql string) {
	s.Settings = append(s.Settings, Setting{name, sql})
	s.ReadOnly = true
}

// scanAssignment parses one assignment of a SET and reports whether the session state that it
// leaves is known: a setting that can be repeated on another server, or a user variable.
func (s *Statement) scanAssignment(sql string, t []token) bool {
	scope := "session "
	if len(t) > 0 && t[0].kind == tokenWord && (t[0].text == "session" || t[0].text == "local") {
		t = t[1:]
	}
	if len(t) < 3 || t[1].kind != tokenPunct || t[1].text != "=" && t[1].text != ":=" {
		return false
	}
	variable := t[0].text
	switch t[0].kind {
	case tokenUserVar:
		s.Pins |= UserVariables
		return true
	case tokenSystemVar:
		v, ok := strings.CutPrefix(variable, "session.")
		if !ok {
			v, ok = strings.CutPrefix(variable, "local.")
		}
		if !ok && strings.Contains(v, ".") {
			return false
		}
		variable = v
	case tokenWord:
	default:
		return false
	}
	value := t[2:]
	if value[0].kind == tokenPunct && (value[0].text == "-" || value[0].text == "+") {
		value = value[1:]
	}
	if len(value) != 1 || value[0].kind != tokenString && value[0].kind != tokenDoubleQuoted && value[0].kind != tokenNumber && value[0].kind != tokenWord {
		return false
	}
	if variable == "autocommit" {
		s.MayCommit = true
	}
	if infoVariables[variable] != 0 || variable == "timestamp" || variable == "rand_seed1" || variable == "rand_seed2" || variable == "pseudo_thread_id" {
		return false
	}
	s.Settings = append(s.Settings, Setting{variable, "set " + scope + variable + " = " + sql[t[2].start:t[len(t)-1].end]})
	return true
}

// parseHint parses a comment as a Hint and reports whether it is one.
func parseHint(comment string) (Hint, bool) {
	var h Hint
	if len(comment) > maxHintLength {
		return h, false
	}
	found := false
	for _, field := range strings.Fields(comment) {
		key, value, ok := strings.Cut(field, "=")
		if !ok {
			return Hint{}, false
		}
		switch key {
		case "class":
			h.Class = value
		case "key":
			h.Key = value
		case "timeout":
			d, err := time.ParseDuration(value)
			if err != nil || d <= 0 || d > time.Hour {
				h.Invalid = "timeout=" + value
			}
			h.Timeout = d
		default:
			return Hint{}, false
		}
		found = true
	}
	return h, found
}
