// Package session decides what a MySQL session is at: in a transaction, bound to its server by what it has left there, or free to run
// its next statement anywhere; what may be run again, and what its client is told when a server goes. It does no I/O and reads no
// clock.
package session

import (
	"slices"

	"quillfront/internal/mysql/wire"
)

// noBackslash is the status that says so.
const noBackslash wire.Status = 1 << 9

// maxSettings bounds the settings that are remembered; one more binds the session to its server.
const maxSettings = 32

// State is where a session stands. The zero value is not usable; see New.
type State struct {
	status           wire.Status
	pins             Pin
	settings         []Setting
	schema           string
	held             bool       // its connection is kept for what the latest statement has left there
	available        ResultInfo // what can be asked of that connection
	lost             ResultInfo // what could be asked of one that was given back, or of a server that has gone
	aborted          bool       // its transaction has gone with a server
	backslashCharset bool       // its charset has backslashes within letters
}

// New returns a session that has just begun.
func New(schema string, charset byte) *State {
	return &State{status: wire.Autocommit, schema: schema, backslashCharset: slices.Contains(backslashCharsetIDs, charset)}
}

// backslashCharsetIDs are those of big5, sjis, gbk, cp932 and gb18030, by their numbers.
var backslashCharsetIDs = []byte{1, 84, 13, 88, 28, 87, 95, 96, 248, 249, 250}

var backslashCharsetNames = []string{"big5", "sjis", "gbk", "cp932", "gb18030"}

// Scan reads a statement by the session's modes.
func (s *State) Scan(sql string) Statement {
	st := Scan(sql, s.status&noBackslash != 0)
	if s.backslashCharset && !st.Ambiguous && !ascii(sql) {
		st.Ambiguous, st.ReadOnly, st.MayCommit = true, false, true
		st.Begin, st.Commit, st.Rollback, st.Settings = false, false, false, nil
		st.Pins |= OtherState
	}
	return st
}

func ascii(s string) bool {
	for i := range len(s) {
		if s[i] >= 0x80 {
			return false
		}
	}
	return true
}

// DefaultSchema returns the default schema.
func (s *State) DefaultSchema() string { return s.schema }

// Settings returns what has to be said to another server, in its order. It must not be changed.
func (s *State) Settings() []Setting { return s.settings }

// Autocommit reports whether statements outside a transaction are committed by themselves.
func (s *State) Autocommit() bool { return s.status&wire.Autocommit != 0 }

// InTransaction reports whether a transaction is open.
func (s *State) InTransaction() bool { return s.status&wire.InTransaction != 0 }

// Pins returns what binds the session to its server.
func (s *State) Pins() Pin { return s.pins }

// Bound reports whether the session must stay at its server, if it has one.
func (s *State) Bound() bool { return s.InTransaction() || s.pins != 0 }

// Placement says where a statement is run.
type Placement int

// The places.
const (
	AnyServer         Placement = iota // at the server that is picked for it
	CurrentConnection                  // on the connection that the session has
	LocalReply                         // it is answered at once
)

// Plan says what is done with a statement.
type Plan struct {
	Placement Placement
	Error     *wire.Error // with LocalReply: the answer; nil: an OK
}

// Plan decides where a statement is run. has tells whether the session has a connection to a server.
func (s *State) Plan(st *Statement, has bool) Plan {
	switch {
	case st.LocalInfile:
		return Plan{LocalReply, wire.NotSupported("LOAD DATA LOCAL")}
	case s.aborted && st.Rollback:
		s.aborted = false
		return Plan{Placement: LocalReply}
	case s.aborted && st.Commit:
		s.aborted = false
		return Plan{LocalReply, wire.RolledBack("its server had gone before COMMIT")}
	case s.aborted:
		return Plan{LocalReply, wire.TransactionAborted()}
	case has && s.Bound():
		return Plan{Placement: CurrentConnection}
	case has && s.held && st.Needs != 0:
		return Plan{Placement: CurrentConnection}
	case !has && st.Needs&s.lost != 0:
		return Plan{LocalReply, wire.SessionLost("what the last statement had left was given up")}
	case !has && s.Bound(): // it cannot be: whoever loses the connection says so by Lost
		return Plan{LocalReply, wire.SessionLost("no connection")}
	}
	return Plan{Placement: AnyServer}
}

// ReplySummary is what a server has told at the end of a reply.
type ReplySummary struct {
	OK       wire.OK     // the last one
	Error    *wire.Error // in place of it
	Warnings bool
	NoStatus bool // the reply tells no status, as that to PREPARE does not
}

// StatementEnded notes the end of a statement, and decides whether the session keeps its connection: bound to it, or held until its next
// statement.
func (s *State) StatementEnded(st *Statement, r ReplySummary) (keep bool) {
	s.pins |= st.Pins
	if r.Error == nil {
		if !r.NoStatus {
			s.status = r.OK.Status
		}
		if st.UnlockTables {
			s.pins &^= TableLocks
		}
		if st.Schema != "" {
			s.schema = st.Schema
		}
		for _, set := range st.Settings {
			s.rememberSetting(set)
		}
	}
	if st.Needs == 0 || !s.held {
		s.recordInfo(st, r)
	}
	if len(s.settings) > maxSettings {
		s.pins |= OtherState
	}
	return s.Bound() || s.held
}

// recordInfo notes what st has left on its connection. What changes nothing and has no warnings has left nothing that an answer has not told.
func (s *State) recordInfo(st *Statement, r ReplySummary) {
	s.available &^= RowCountInfo | WarningInfo
	s.lost &^= RowCountInfo | WarningInfo
	if r.OK.LastInsertID != 0 {
		s.available |= InsertIDInfo
		s.lost &^= InsertIDInfo
	}
	if st.CalcFoundRows || !st.ReadOnly {
		s.available |= RowCountInfo
	}
	if r.Warnings || r.Error != nil {
		s.available |= WarningInfo
	}
	s.held = s.available&(RowCountInfo|WarningInfo) != 0
}

func (s *State) rememberSetting(set Setting) {
	s.settings = slices.DeleteFunc(s.settings, func(o Setting) bool { return o.Name == set.Name })
	s.settings = append(s.settings, set)
	if set.Name == "names" || set.Name == "character_set_client" {
		s.backslashCharset = slices.ContainsFunc(backslashCharsetNames, func(n string) bool { return containsFold(set.SQL, n) })
	}
}

func containsFold(s, sub string) bool {
	for i := 0; i+len(sub) <= len(s); i++ {
		same := true
		for j := range len(sub) {
			if s[i+j]|0x20 != sub[j]|0x20 {
				same = false
				break
			}
		}
		if same {
			return true
		}
	}
	return false
}

// ConnectionReleased notes that the connection has been given back.
func (s *State) ConnectionReleased() {
	s.lost |= s.available | RowCountInfo
	s.available, s.held = 0, false
}

// Loss is what becomes of a session whose server has gone.
type Loss struct {
	Error *wire.Error // what the client is told; nil: an OK
	Close bool        // its connection is closed after that
}

// ConnectionLost decides what becomes of the session when the connection on which st ran has gone; sent tells whether any of it may have come to
// the server. st is nil where the session was at rest.
//
// A server whose connection breaks rolls back what was not committed. So the outcome is unknown only of what may have committed: a
// COMMIT, a statement that commits on its own account, and, outside of a transaction, each that changes anything.
func (s *State) ConnectionLost(st *Statement, sent bool, why string) Loss {
	inTx, pinned := s.InTransaction(), s.pins != 0
	if st != nil {
		pinned = pinned || sent && st.Pins != 0
	}
	s.status &^= wire.InTransaction
	s.pins = 0
	s.ConnectionReleased()
	l := Loss{Close: pinned}
	switch {
	case st == nil:
		if s.aborted = inTx && !pinned; pinned {
			l.Error = wire.SessionLost(why)
		}
	case inTx && st.Rollback: // which is what has happened
		if pinned {
			l.Error = wire.SessionLost(why)
		}
	case inTx && sent && st.MayCommit:
		l.Error = wire.OutcomeUnknown(why)
	case inTx:
		l.Error = wire.RolledBack(why)
		s.aborted = !st.Commit
	case st.ReadOnly && !pinned:
		l.Error = wire.Failed(why)
	case st.ReadOnly:
		l.Error = wire.SessionLost(why)
	case !sent:
		l.Error = wire.Refused(0)
		if pinned {
			l.Error = wire.SessionLost(why)
		}
	case !s.Autocommit() && !st.MayCommit:
		l.Error = wire.RolledBack(why)
		s.aborted = true
	default:
		l.Error = wire.OutcomeUnknown(why)
	}
	return l
}

// Reset begins the session anew, as COM_RESET_CONNECTION does, and as COM_CHANGE_USER does with another schema.
func (s *State) Reset(schema string) {
	*s = State{status: wire.Autocommit, schema: schema, backslashCharset: s.backslashCharset}
}

// MayMove reports whether the session can go on at another server right now.
func (s *State) MayMove() bool { return !s.Bound() && !s.held }
