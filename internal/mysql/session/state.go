// Package session tracks the state of a proxied MySQL session. It decides whether the session is in
// a transaction, bound to its server by state that it has left there, or free to run its next
// statement on any server. It also decides which statements may be retried and which error a client
// gets when its server is lost. The package does no I/O and reads no clock.
package session

import (
	"slices"

	"quillfront/internal/mysql/wire"
)

// noBackslash is the status flag of the SQL mode NO_BACKSLASH_ESCAPES.
const noBackslash wire.Status = 1 << 9

// maxSettings limits the settings that are remembered; one more binds the session to its server.
const maxSettings = 32

// State is the state of a session. The zero value is not usable; see New.
type State struct {
	status           wire.Status
	pins             Pin
	settings         []Setting
	schema           string
	held             bool       // the connection is kept for information about the latest statement
	available        ResultInfo // information that the connection holds
	lost             ResultInfo // information that went with a released or lost connection
	foreignInsertID  bool       // LAST_INSERT_ID() on the connection may be that of another session
	procedureRan     bool       // a procedure may have set LAST_INSERT_ID() since the session's own was lost
	aborted          bool       // its transaction was lost with a server
	backslashCharset bool       // multibyte characters of its charset may contain a backslash byte
}

// New returns the state of a new session.
func New(schema string, charset byte) *State {
	return &State{status: wire.Autocommit, schema: schema, backslashCharset: slices.Contains(backslashCharsetIDs, charset)}
}

// backslashCharsetIDs are the collation IDs of big5, sjis, gbk, cp932 and gb18030, in whose
// multibyte characters a backslash byte can occur.
var backslashCharsetIDs = []byte{1, 84, 13, 88, 28, 87, 95, 96, 248, 249, 250}

var backslashCharsetNames = []string{"big5", "sjis", "gbk", "cp932", "gb18030"}

// Scan analyzes a statement by the session's SQL mode and charset.
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

// Settings returns the settings to repeat on another server, in order. The caller must not change
// the slice.
func (s *State) Settings() []Setting { return s.settings }

// Autocommit reports whether statements outside a transaction are committed automatically.
func (s *State) Autocommit() bool { return s.status&wire.Autocommit != 0 }

// InTransaction reports whether a transaction is open.
func (s *State) InTransaction() bool { return s.status&wire.InTransaction != 0 }

// Pins returns the state that binds the session to its server.
func (s *State) Pins() Pin { return s.pins }

// Bound reports whether the session must stay on its server, if it has one.
func (s *State) Bound() bool { return s.InTransaction() || s.pins != 0 }

// Placement is where a statement runs.
type Placement int

// The placements.
const (
	AnyServer         Placement = iota // on any server that is picked for it
	CurrentConnection                  // on the session's current connection
	LocalReply                         // on none: the proxy replies itself
)

// InsertIDStep is what has to be done about LAST_INSERT_ID() on the session's connection before a
// statement runs there.
type InsertIDStep int

// The steps.
const (
	InsertIDKept     InsertIDStep = iota // nothing
	InsertIDCleared                      // it has to be set to 0, because it may be that of another session
	InsertIDRequired                     // it must not be 0: otherwise the session's own has been lost
)

// Plan is the decision on a statement.
type Plan struct {
	Placement Placement
	Error     *wire.Error  // the reply, with LocalReply; nil: an OK
	InsertID  InsertIDStep // with CurrentConnection
}

// Plan decides where a statement runs. hasConn tells whether the session has a connection to a
// server.
func (s *State) Plan(st *Statement, hasConn bool) Plan {
	switch {
	case st.LocalInfile:
		return localError(wire.NotSupported("LOAD DATA LOCAL"))
	case s.aborted && st.Rollback:
		s.aborted = false
		return Plan{Placement: LocalReply}
	case s.aborted && st.Commit:
		s.aborted = false
		return localError(wire.RolledBack("its server had gone before COMMIT"))
	case s.aborted:
		return localError(wire.TransactionAborted())
	case s.needsLost(st):
		return localError(wire.SessionLost("what an earlier statement had left was given up"))
	case hasConn && (s.Bound() || s.heldFor(st)):
		return s.planOnCurrent(st)
	case !hasConn && s.Bound(): // unreachable: ConnectionLost is called for each lost connection
		return localError(wire.SessionLost("no connection"))
	}
	return Plan{Placement: AnyServer}
}

func localError(e *wire.Error) Plan { return Plan{Placement: LocalReply, Error: e} }

// needsLost reports whether st reads information that the session has lost. Variables of a session
// that is bound by variables are on its connection.
func (s *State) needsLost(st *Statement) bool {
	lost := st.Needs & s.lost
	if s.pins&UserVariables != 0 {
		lost &^= VariableInfo
	}
	if s.procedureRan {
		lost &^= InsertIDInfo
	}
	return lost != 0
}

// heldFor reports whether st has to run on the connection that is held for information that it
// reads. Variables are there only if the session's own stored code may have set them.
func (s *State) heldFor(st *Statement) bool {
	return s.held && (st.Needs&^VariableInfo != 0 || st.Needs&s.available != 0)
}

// planOnCurrent is Plan for a statement that runs on the session's connection. Other sessions may
// have used the connection before and left their LAST_INSERT_ID() there. A step that changes that
// also discards row counts and warnings.
func (s *State) planOnCurrent(st *Statement) Plan {
	p := Plan{Placement: CurrentConnection}
	switch {
	case st.Needs&InsertIDInfo != 0 && s.procedureRan && s.lost&InsertIDInfo != 0:
		p.InsertID = InsertIDRequired
	case (st.Needs&InsertIDInfo != 0 || st.Procedure) && s.foreignInsertID:
		p.InsertID = InsertIDCleared
	default:
		return p
	}
	if st.Needs&s.available&(RowCountInfo|WarningInfo) != 0 {
		return localError(wire.SessionLost("LAST_INSERT_ID() cannot be told together with what the last statement left"))
	}
	return p
}

// InsertIDWasCleared records that LAST_INSERT_ID() on the connection was set to 0.
func (s *State) InsertIDWasCleared() { s.foreignInsertID = false }

// ReplySummary is the outcome at the end of a server's reply.
type ReplySummary struct {
	OK       wire.OK     // of the last result
	Error    *wire.Error // instead of the OK
	Warnings bool
	NoStatus bool // the reply carries no status, like that to PREPARE
}

// StatementEnded records the end of a statement. It decides whether the session keeps its
// connection, either bound to it or until the next statement.
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
	if st.Needs == 0 || !st.ReadOnly || !s.held {
		s.recordInfo(st, r)
	}
	if len(s.settings) > maxSettings {
		s.pins |= OtherState
	}
	return s.Bound() || s.held
}

// recordInfo records the information that st has left on its connection. A read without warnings
// leaves nothing that its reply didn't contain.
func (s *State) recordInfo(st *Statement, r ReplySummary) {
	s.available &^= RowCountInfo | WarningInfo
	s.lost &^= RowCountInfo | WarningInfo
	switch {
	case r.OK.LastInsertID != 0:
		s.available |= InsertIDInfo
		s.lost &^= InsertIDInfo
		s.foreignInsertID, s.procedureRan = false, false
	case st.Procedure && s.lost&InsertIDInfo != 0: // its reply doesn't tell whether it has set the ID
		s.procedureRan = true
	case st.Procedure:
		s.available |= InsertIDInfo
	}
	if st.StoredCode {
		s.available |= VariableInfo
		s.lost &^= VariableInfo
	}
	if st.CalcFoundRows || !st.ReadOnly {
		s.available |= RowCountInfo
	}
	if r.Warnings || r.Error != nil {
		s.available |= WarningInfo
	}
	s.held = s.available&(RowCountInfo|WarningInfo) != 0
}

// rememberSetting records a setting in place of an earlier one of the same name.
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

// ConnectionAcquired records that the session has got a connection that it did not have before.
// foreignInsertID tells whether another session may have left its LAST_INSERT_ID() there.
func (s *State) ConnectionAcquired(foreignInsertID bool) { s.foreignInsertID = foreignInsertID }

// ConnectionReleased records that the session has released its connection.
func (s *State) ConnectionReleased() {
	s.lost |= s.available | RowCountInfo
	s.available, s.held = 0, false
	s.foreignInsertID, s.procedureRan = false, false
}

// Loss is the consequence of a lost server for a session.
type Loss struct {
	Error *wire.Error // sent to the client; nil: an OK
	Close bool        // the client's connection is closed after it
}

// ConnectionLost decides how the session continues when the connection on which st ran is lost.
// sent tells whether any part of st may have reached the server. st is nil for an idle session.
//
// A server rolls back uncommitted changes when a connection breaks. The outcome is therefore
// unknown only for statements that may have committed: COMMIT, statements that commit implicitly
// and, outside a transaction, every statement that changes anything.
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
	case inTx && st.Rollback: // the lost connection has rolled it back
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

// Reset resets the session, as COM_RESET_CONNECTION does, and as COM_CHANGE_USER does with another
// schema.
func (s *State) Reset(schema string) {
	*s = State{status: wire.Autocommit, schema: schema, backslashCharset: s.backslashCharset}
}

// MayMove reports whether the session can continue on another server now.
func (s *State) MayMove() bool { return !s.Bound() && !s.held }
