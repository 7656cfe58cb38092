package wire

import (
	"encoding/binary"
	"fmt"
	"time"
)

// OK is a server's message that all went well; with DeprecateEOF it also ends rows.
type OK struct {
	AffectedRows, LastInsertID uint64
	Status                     Status
	Warnings                   uint16
	Info                       []byte
	StateChanges               []byte // of the session, as they stand; nil: none told
}

// ParseOK reads an OK, or with end one that ends rows, as a client of c is sent it.
func ParseOK(b []byte, c Capability) (OK, error) {
	var o OK
	t := payloadReader{b: b}
	t.byte()
	o.AffectedRows, o.LastInsertID = t.lenencInt(), t.lenencInt()
	o.Status, o.Warnings = Status(t.uint16()), t.uint16()
	if c.Has(SessionTrack) {
		if len(t.b) > 0 {
			o.Info = t.lenencBytes()
		}
		if o.Status&StateChanged != 0 && len(t.b) > 0 {
			o.StateChanges = t.lenencBytes()
		}
	} else {
		o.Info = t.b
	}
	if t.malformed {
		return o, malformed("an OK that is cut")
	}
	return o, nil
}

// Append appends o as a client of c is sent it. first is 0x00, or 0xfe where it ends rows.
func (o *OK) Append(b []byte, first byte, c Capability) []byte {
	b = AppendLenencInt(AppendLenencInt(append(b, first), o.AffectedRows), o.LastInsertID)
	b = binary.LittleEndian.AppendUint16(b, uint16(o.Status))
	b = binary.LittleEndian.AppendUint16(b, o.Warnings)
	if !c.Has(SessionTrack) {
		return append(b, o.Info...)
	}
	if len(o.Info) > 0 || o.Status&StateChanged != 0 {
		b = AppendLenencString(b, o.Info)
	}
	if o.Status&StateChanged != 0 {
		b = AppendLenencString(b, o.StateChanges)
	}
	return b
}

// EOF is a server's message that ends columns or rows, where DeprecateEOF was not agreed on.
type EOF struct {
	Warnings uint16
	Status   Status
}

// ParseEOF reads an EOF.
func ParseEOF(b []byte) (EOF, error) {
	t := payloadReader{b: b}
	t.byte()
	e := EOF{Warnings: t.uint16(), Status: Status(t.uint16())}
	if t.malformed {
		return e, malformed("an EOF that is cut")
	}
	return e, nil
}

// Append appends e as it is sent.
func (e EOF) Append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint16(append(b, 0xfe), e.Warnings)
	return binary.LittleEndian.AppendUint16(b, uint16(e.Status))
}

// Error is a server's message that something went wrong.
type Error struct {
	Code    uint16
	State   string // SQLSTATE, five letters
	Message string
}

// Error is the method of error.
func (e *Error) Error() string { return fmt.Sprintf("%d (%s): %s", e.Code, e.State, e.Message) }

// ParseError reads an Error. c is 0 where it comes before capabilities were agreed on.
func ParseError(b []byte, c Capability) *Error {
	t := payloadReader{b: b}
	t.byte()
	e := &Error{Code: t.uint16(), State: "HY000"}
	if len(t.b) >= 6 && t.b[0] == '#' {
		t.byte()
		e.State = string(t.take(5))
	}
	e.Message = string(t.b)
	if t.malformed {
		return &Error{Code: 1835, State: "HY000", Message: "malformed error"}
	}
	return e
}

// Append appends e as it is sent.
func (e *Error) Append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint16(append(b, 0xff), e.Code)
	return append(append(append(b, '#'), e.State...), e.Message...)
}

// The codes and states of this side's own errors. Codes of MySQL stand where one says the same; the others lie beyond those that MySQL
// gives out, with states of the classes that are left to implementations, or that the standard has for the case.
func Refused(after time.Duration) *Error {
	message := "refused, not run: a retry is harmless"
	if after > 0 {
		message += fmt.Sprintf(", come back in %d ms", max(after.Milliseconds(), 1))
	}
	return &Error{9001, "QF001", message}
}

// OutcomeUnknown is the error of a statement that was sent and whose outcome nobody knows.
func OutcomeUnknown(why string) *Error {
	return &Error{9002, "08007", "outcome unknown, it may have run: " + why}
}

// RolledBack is the error of a statement whose transaction has gone with its server before it was to be committed.
func RolledBack(why string) *Error {
	return &Error{9003, "40000", "transaction rolled back: " + why}
}

// TransactionAborted is the error of a statement in a transaction that has gone, until the client ends it.
func TransactionAborted() *Error {
	return &Error{9004, "25000", "the transaction is gone, nothing runs until ROLLBACK"}
}

// Failed is the error of a statement without effects that no server has answered.
func Failed(why string) *Error {
	return &Error{9005, "QF005", "failed, no effect: " + why}
}

// ResultTruncated is the error of a result of which only the first part has come. It stands in the place of the next row.
func ResultTruncated(why string) *Error {
	return &Error{9006, "08006", "the result broke off: " + why}
}

// SessionLost is the error of a session whose state has gone with its server; the connection is closed after it.
func SessionLost(why string) *Error {
	return &Error{9007, "08006", "the session's state is gone, connect again: " + why}
}

// NotSupported is the error of what this side does not pass on.
func NotSupported(what string) *Error {
	return &Error{1235, "42000", what + " is not carried"}
}

// AccessDenied is the error of a login that is not let in.
func AccessDenied(user string) *Error {
	return &Error{1045, "28000", fmt.Sprintf("Access denied for user '%.80s'", user)}
}

// TooManyConnections is the error of one connection too many.
func TooManyConnections(why string) *Error { return &Error{1040, "08004", why} }

// StatementTooLarge is the error of a statement that is longer than it may be.
func StatementTooLarge(most int) *Error {
	return &Error{1153, "08S01", fmt.Sprintf("the statement is longer than %d bytes", most)}
}

// ProtocolError is the error of packets that cannot be read.
func ProtocolError(err error) *Error { return &Error{1156, "08S01", err.Error()} }

// ConnectionClosing is what a client reads whose connection is closed for a reason of this side's.
func ConnectionClosing(why string) *Error { return &Error{1053, "08S01", why} }

// UnknownStatement is the error of a prepared statement that nobody has prepared.
func UnknownStatement() *Error {
	return &Error{1243, "HY000", "Unknown prepared statement handler"}
}

// Column is what a client is told of a column of a result.
type Column struct {
	Name    string
	Type    byte
	Charset uint16
	Length  uint32
	Flags   uint16
}

// The types of columns that this side makes itself.
const (
	TypeLonglong  = 0x08
	TypeVarString = 0xfd
)

// Append appends the definition of c.
func (c Column) Append(b []byte) []byte {
	for _, s := range []string{"def", "", "", "", c.Name, c.Name} {
		b = AppendLenencString(b, s)
	}
	b = append(b, 0x0c)
	charset := c.Charset
	if charset == 0 {
		charset = 45
	}
	b = binary.LittleEndian.AppendUint16(b, charset)
	b = binary.LittleEndian.AppendUint32(b, max(c.Length, 255))
	b = append(b, c.Type)
	b = binary.LittleEndian.AppendUint16(b, c.Flags)
	return append(b, 0, 0, 0)
}

// PrepareOK is the first message of the answer to COM_STMT_PREPARE.
type PrepareOK struct {
	ID                        uint32
	Columns, Params, Warnings uint16
}

// ParsePrepareOK reads a Prepared.
func ParsePrepareOK(b []byte) (PrepareOK, error) {
	t := payloadReader{b: b}
	t.byte()
	p := PrepareOK{ID: t.uint32(), Columns: t.uint16(), Params: t.uint16()}
	t.byte()
	p.Warnings = t.uint16()
	if t.malformed {
		return p, malformed("an answer to PREPARE that is cut")
	}
	return p, nil
}

// Append appends p as it is sent.
func (p PrepareOK) Append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(append(b, 0), p.ID)
	b = binary.LittleEndian.AppendUint16(b, p.Columns)
	b = binary.LittleEndian.AppendUint16(b, p.Params)
	return binary.LittleEndian.AppendUint16(append(b, 0), p.Warnings)
}

// ParseTextRow reads the values of a row of the text protocol; nil is NULL.
func ParseTextRow(b []byte) ([][]byte, error) {
	t := payloadReader{b: b}
	var row [][]byte
	for len(t.b) > 0 && !t.malformed {
		if t.b[0] == 0xfb {
			t.byte()
			row = append(row, nil)
			continue
		}
		row = append(row, t.lenencBytes())
	}
	if t.malformed {
		return nil, malformed("a row that is cut")
	}
	return row, nil
}

// ParseColumnCount reads the number of columns that a result begins with.
func ParseColumnCount(b []byte) (uint64, error) {
	t := payloadReader{b: b}
	n := t.lenencInt()
	if t.malformed || len(t.b) > 0 {
		return 0, malformed("a number of columns")
	}
	return n, nil
}
