package session

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Pin is what a statement leaves in a session that another server does not have. Bits are joined.
type Pin uint16

// The pins.
const (
	UserVariables Pin = 1 << iota
	TemporaryTables
	TableLocks // until UNLOCK TABLES
	NamedLocks
	PreparedInSQL // PREPARE, as a statement
	OpenHandlers
	OtherState // of which it is not known how to make it anew
)

// ResultInfo is what a statement asks for of those before it, which only their connection knows. Bits are joined.
type ResultInfo uint8

// The asks.
const (
	InsertIDInfo ResultInfo = 1 << iota // LAST_INSERT_ID()
	RowCountInfo                        // FOUND_ROWS(), ROW_COUNT()
	WarningInfo                         // SHOW WARNINGS
)

// Setting is a SET of a literal, which can be said again to another server.
type Setting struct {
	Name string // in lower case; "names" for SET NAMES
	SQL  string
}

// Hint is what a comment says of a statement, such as /* class=delivery-order key=A7 timeout=300ms */.
type Hint struct {
	Class   string
	Key     string
	Timeout time.Duration // 0: none
	Invalid string        // what cannot be read of it; empty: nothing
}

// Kill is a statement that is to end another session or its statement.
type Kill struct {
	QueryOnly bool // its statement only
	ID        uint32
}

// Statement is what a statement means for a session, as far as its text tells.
type Statement struct {
	Verb  string // its first word, in lower case; of several statements that of the first
	Multi bool   // there are several
	// ReadOnly tells that it changes nothing, on any server, whatever functions it calls, so that it may be run again.
	ReadOnly      bool
	Begin         bool // it is BEGIN or START TRANSACTION alone
	Commit        bool // it is COMMIT alone
	Rollback      bool // it is ROLLBACK alone, of all
	MayCommit     bool // it may commit what was done before it in the transaction
	UnlockTables  bool // UNLOCK TABLES
	Pins          Pin
	Needs         ResultInfo // for what statements before it have left
	CalcFoundRows bool       // SQL_CALC_FOUND_ROWS: the next one may ask
	Settings      []Setting
	Schema        string // USE
	Kill          *Kill
	LocalInfile   bool // LOAD DATA LOCAL
	Ambiguous     bool // its text may mean something else to the server: it is held for the worst
	Hint          Hint
}

const (
	// maxHintLength bounds a comment that is read as a hint.
	maxHintLength = 512
	// MaxSettingLength bounds a SET that is remembered.
	MaxSettingLength = 1024
)

// Scan reads a statement, or several with semicolons between. noBackslash is the server's mode of that name.
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

// combine is what several statements mean that are sent as one.
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
		s.CalcFoundRows = s.CalcFoundRows || o.CalcFoundRows
		s.LocalInfile = s.LocalInfile || o.LocalInfile
		if len(o.Settings) > 0 || o.Schema != "" || o.Kill != nil || o.UnlockTables {
			s.Pins |= OtherState
			s.ReadOnly = false
		}
	}
	return s
}

// implicitCommits are the statements that end a transaction on their own account.
var implicitCommits = map[string]bool{
	"alter": true, "create": true, "drop": true, "rename": true, "truncate": true, "analyze": true, "cache": true, "check": true,
	"flush": true, "load": true, "optimize": true, "repair": true, "reset": true, "grant": true, "revoke": true, "install": true,
	"uninstall": true, "lock": true, "start": true, "begin": true, "change": true, "stop": true, "call": true, "import": true, "xa": true,
	"clone": true, "restart": true, "shutdown": true, "do": false, "purge": true,
}

// scanOne reads scanOne statement.
func scanOne(sql string, t []token) Statement {
	s := Statement{}
	if t[0].kind != tokenWord {
		if t[0].kind == tokenPunct && t[0].text == "(" {
			s.Verb = "("
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
	switch s.Verb {
	case "select", "with", "table", "values":
		s.scanQuery(t)
	case "show", "explain", "describe", "desc", "help":
		s.ReadOnly = !s.callsUnknownFunction(t)
		if s.Verb == "show" && (at(1) == "warnings" || at(1) == "errors" || at(1) == "count") {
			s.Needs |= WarningInfo
		}
		if at(1) == "analyze" { // it runs what it explains
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
			s.Schema = strings.Trim(sql[t[1].start:t[1].end], "`")
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
		s.MayCommit = true // who knows what it runs
	case "handler":
		s.Pins |= OpenHandlers
	case "flush":
		if containsWord(t, "lock") || containsWord(t, "export") {
			s.Pins |= TableLocks
		}
	case "xa":
		s.Pins |= OtherState
	case "load":
		s.LocalInfile = containsWord(t, "local")
	case "kill":
		s.scanKill(sql, t)
	case "insert", "replace", "update", "delete", "savepoint", "release", "call", "do", "truncate", "alter", "rename", "analyze", "optimize",
		"check", "checksum", "repair", "grant", "revoke", "import", "binlog", "reset", "purge", "cache", "install", "uninstall":
	default:
		s.MayCommit = true
		s.Pins |= OtherState
	}
	return s
}

// containsWord reports whether a word stands somewhere in t.
func containsWord(t []token, w string) bool {
	return slices.ContainsFunc(t, func(t token) bool { return t.kind == tokenWord && t.text == w })
}

// scanCompletion notes an end of a transaction that begins the next, or ends the session.
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

// pureWords are the functions that change nothing, and the words that may stand before a parenthesis. A function that is not among them
// may be one that somebody has stored, and may do anything.
var pureWords = func() map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(`
		abs acos adddate addtime any any_value ascii asin atan atan2 avg benchmark bin bin_to_uuid bit_and bit_count bit_length bit_or bit_xor
		cast ceil ceiling char char_length character_length charset coalesce coercibility collation concat concat_ws connection_id conv
		convert convert_tz cos cot count crc32 cume_dist curdate current_date current_time current_timestamp current_user curtime
		database date date_add date_format date_sub datediff day dayname dayofmonth dayofweek dayofyear default degrees dense_rank elt
		exists exp export_set extract field find_in_set first_value floor format from_base64 from_days from_unixtime greatest group_concat
		grouping hex hour if ifnull in index inet6_aton inet6_ntoa inet_aton inet_ntoa insert instr interval is_ipv4 is_ipv6 is_uuid
		isnull json_array json_arrayagg json_contains json_contains_path json_depth json_extract json_keys json_length json_merge_patch
		json_merge_preserve json_object json_objectagg json_overlaps json_pretty json_quote json_remove json_replace json_search json_set
		json_table json_type json_unquote json_valid json_value key lag last_day last_value lcase lead least left length ln localtime
		localtimestamp locate log log10 log2 lower lpad ltrim make_set makedate maketime max md5 microsecond mid min minute mod month
		monthname now nth_value ntile nullif oct octet_length ord partition percent_rank period_add period_diff pi position pow power quarter
		quote radians rand rank regexp_instr regexp_like regexp_replace regexp_substr repeat replace reverse right round row row_number rpad
		rtrim schema sec_to_time second session_user sha sha1 sha2 sign sin sleep soundex space sqrt st_asgeojson st_astext st_contains
		st_distance st_distance_sphere st_geomfromtext st_within st_x st_y std stddev stddev_pop stddev_samp str_to_date strcmp subdate substr
		substring substring_index subtime sum sysdate system_user tan time time_format time_to_sec timediff timestamp timestampadd
		timestampdiff to_base64 to_days to_seconds trim truncate ucase unhex unix_timestamp upper user utc_date utc_time utc_timestamp uuid
		uuid_short uuid_to_bin values var_pop var_samp variance version week weekday weekofyear weight_string year yearweek
		all and as between by case distinct div else except force from group having ignore inner intersect is join like limit not of offset
		on or order over reg regexp rlike select some straight_join then union use using when where window with xor decimal binary varchar
		signed unsigned nchar float double rows range lateral recursive natural cross`) {
		m[w] = true
	}
	return m
}()

// infoFunctions are the functions and variables that tell of the statement before.
var infoFunctions = map[string]ResultInfo{"last_insert_id": InsertIDInfo, "found_rows": RowCountInfo, "row_count": RowCountInfo}

var infoVariables = map[string]ResultInfo{
	"last_insert_id": InsertIDInfo, "identity": InsertIDInfo, "insert_id": InsertIDInfo, "warning_count": WarningInfo, "error_count": WarningInfo,
}

// lockFunctions are the functions of named lockFunctions, which are the session's.
var lockFunctions = map[string]bool{"get_lock": true, "release_lock": true, "release_all_locks": true, "is_free_lock": false, "is_used_lock": false}

// scanReferences notes what scanReferences and variables in a statement leave in the session, or ask of it.
func (s *Statement) scanReferences(t []token) {
	for i, k := range t {
		variable := k.text
		if n := strings.LastIndexByte(variable, '.'); n >= 0 {
			variable = variable[n+1:]
		}
		called := i+1 < len(t) && t[i+1].kind == tokenPunct && t[i+1].text == "("
		switch {
		case k.kind == tokenWord && called && infoFunctions[k.text] != 0:
			s.Needs |= infoFunctions[k.text]
			if k.text == "last_insert_id" && i+2 < len(t) && !(t[i+2].kind == tokenPunct && t[i+2].text == ")") {
				s.Pins |= OtherState // it sets it
			}
		case k.kind == tokenWord && called && lockFunctions[k.text]:
			s.Pins |= NamedLocks
		case k.kind == tokenWord && k.text == "sql_calc_found_rows":
			s.CalcFoundRows = true
		case k.kind == tokenSystemVar && infoVariables[variable] != 0:
			s.Needs |= infoVariables[variable]
		case k.kind == tokenUserVar && i+1 < len(t) && t[i+1].kind == tokenPunct && t[i+1].text == ":=":
			s.Pins |= UserVariables
		case k.kind == tokenUserVar && i > 0 && (t[i-1].kind == tokenWord && t[i-1].text == "into" || t[i-1].kind == tokenPunct && t[i-1].text == "," && containsWord(t[:i], "into")):
			s.Pins |= UserVariables
		}
	}
}

// callsUnknownFunction reports whether a statement callsUnknownFunction a function that may do anything.
func (s *Statement) callsUnknownFunction(t []token) bool {
	for i, k := range t {
		if i+1 >= len(t) || t[i+1].kind != tokenPunct || t[i+1].text != "(" {
			continue
		}
		if k.kind == tokenQuotedName || k.kind == tokenWord && !pureWords[k.text] && infoFunctions[k.text] == 0 && k.text != "is_free_lock" && k.text != "is_used_lock" {
			return true
		}
	}
	return false
}

// scanQuery judges a query.
func (s *Statement) scanQuery(t []token) {
	s.scanReferences(t)
	s.ReadOnly = !s.callsUnknownFunction(t) && s.Pins == 0
	for i, k := range t {
		if k.kind != tokenWord {
			continue
		}
		switch k.text {
		case "into", "update", "delete", "insert", "replace":
			// A function's name is not what changes something; "for update" and a WITH before UPDATE are.
			if k.text != "into" && i+1 < len(t) && t[i+1].kind == tokenPunct && t[i+1].text == "(" {
				continue
			}
			s.ReadOnly = false
		case "share":
			s.ReadOnly = false // it locks
		}
	}
}

// scanKill reads KILL [CONNECTION | QUERY] id.
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

// scanSet reads a SET. Only literals can be said again elsewhere.
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
		return // it changes the server
	}
	if (first == "session" || first == "local") && len(t) > 2 && t[2].kind == tokenWord && t[2].text == "transaction" {
		s.addSetting("transaction", whole)
		return
	}
	// name = literal, and so on
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

func (s *Statement) addSetting(name, sql string) {
	s.Settings = append(s.Settings, Setting{name, sql})
	s.ReadOnly = true
}

// scanAssignment reads a part of a SET, and reports whether it can be said again.
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
	if len(value) != 1 || value[0].kind != tokenString && value[0].kind != tokenNumber && value[0].kind != tokenWord {
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

// parseHint reads a comment as a Hint, and reports whether it is one.
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
