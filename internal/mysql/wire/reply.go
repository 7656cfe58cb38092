package wire

import (
	"encoding/binary"
	"fmt"
	"time"
)

// OK is a server's OK packet; with DeprecateEOF it also ends the rows of a result.
type OK struct {
	AffectedRows, LastInsertID uint64
	Status                     Status
	Warnings                   uint16
	Info                       []byte
	StateChanges               []byte // session state changes in encoded form; nil: none were sent
}

// ParseOK decodes an OK, also one that ends rows, as sent to a client with capabilities c.
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

// Append appends the encoding of o for a client with capabilities c. first is 0x00, or 0xfe where o
// ends rows.
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

// EOF is a server's EOF packet. It ends column definitions or rows where DeprecateEOF was not
// negotiated.
type EOF struct {
	Warnings uint16
	Status   Status
}

// ParseEOF decodes an EOF.
func ParseEOF(b []byte) (EOF, error) {
	t := payloadReader{b: b}
	t.byte()
	e := EOF{Warnings: t.uint16(), Status: Status(t.uint16())}
	if t.malformed {
		return e, malformed("an EOF that is cut")
	}
	return e, nil
}

// Append appends the encoding of e.
func (e EOF) Append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint16(append(b, 0xfe), e.Warnings)
	return binary.LittleEndian.AppendUint16(b, uint16(e.Status))
}

// Error is a server's error packet.
type Error struct {
	Code    uint16
	State   string // SQLSTATE, five characters
	Message string
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%d (%s): %s", e.Code, e.State, e.Message) }

// ParseError decodes an Error. c is 0 before capabilities were negotiated.
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

// Append appends the encoding of e.
func (e *Error) Append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint16(append(b, 0xff), e.Code)
	return append(append(append(b, '#'), e.State...), e.Message...)
}

// Refused is the error of a statement that was refused before it ran. A positive after tells the
// client when to come back.
//
// The proxy's own errors use MySQL's codes where one has the same meaning. The other codes lie
// beyond the range that MySQL assigns, and their SQLSTATEs are of the classes that are reserved for
// implementations, or those that the standard defines for the case.
func Refused(after time.Duration) *Error {
	message := "refused, not run: a retry is harmless"
	if after > 0 {
		message += fmt.Sprintf(", come back in %d ms", max(after.Milliseconds(), 1))
	}
	return &Error{9001, "QF001", message}
}

// OutcomeUnknown is the error of a statement that was sent and whose outcome is unknown.
func OutcomeUnknown(why string) *Error {
	return &Error{9002, "08007", "outcome unknown, it may have run: " + why}
}

// RolledBack is the error of a statement whose transaction was lost with its server before the commit.
func RolledBack(why string) *Error {
	return &Error{9003, "40000", "transaction rolled back: " + why}
}

// TransactionAborted is the error of each statement after a transaction was lost, until the client ends
// the transaction.
func TransactionAborted() *Error {
	return &Error{9004, "25000", "the transaction is gone, nothing runs until ROLLBACK"}
}

// Failed is the error of a statement without effects that no server answered.
func Failed(why string) *Error {
	return &Error{9005, "QF005", "failed, no effect: " + why}
}

// ResultTruncated is the error of a result that ended early. It is sent in place of the next row.
func ResultTruncated(why string) *Error {
	return &Error{9006, "08006", "the result broke off: " + why}
}

// SessionLost is the error of a session whose state was lost with its server. The connection is
// closed after it.
func SessionLost(why string) *Error {
	return &Error{9007, "08006", "the session's state is gone, connect again: " + why}
}

// NotSupported is the error of a request that the proxy does not support.
func NotSupported(what string) *Error {
	return &Error{1235, "42000", what + " is not carried"}
}

// AccessDenied is the error of a rejected login.
func AccessDenied(user string) *Error {
	return &Error{1045, "28000", fmt.Sprintf("Access denied for user '%.80s'", user)}
}

// TooManyConnections is the error of a connection beyond a limit.
func TooManyConnections(why string) *Error { return &Error{1040, "08004", why} }

// StatementTooLarge is the error of a statement that exceeds the size limit.
func StatementTooLarge(most int) *Error {
	return &Error{1153, "08S01", fmt.Sprintf("the statement is longer than %d bytes", most)}
}

// ProtocolError is the error of packets that are out of order or cannot be decoded.
func ProtocolError(err error) *Error { return &Error{1156, "08S01", err.Error()} }

// ConnectionClosing is the error of a connection that the proxy closes.
func ConnectionClosing(why string) *Error { return &Error{1053, "08S01", why} }

// UnknownStatement is the error of a statement ID that was not prepared.
func UnknownStatement() *Error {
	return &Error{1243, "HY000", "Unknown prepared statement handler"}
}

// Column is a column definition of a result.
type Column struct {
	Name    string
	Type    byte
	Charset uint16
	Length  uint32
	Flags   uint16
}

// The column types of results that are not forwarded from a server.
const (
	TypeLonglong  = 0x08
	TypeVarString = 0xfd
)

// Append appends the encoding of c.
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

// PrepareOK is the first packet of a successful reply to COM_STMT_PREPARE.
type PrepareOK struct {
	ID                        uint32
	Columns, Params, Warnings uint16
}

// ParsePrepareOK decodes a PrepareOK.
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

// Append appends the encoding of p.
func (p PrepareOK) Append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(append(b, 0), p.ID)
	b = binary.LittleEndian.AppendUint16(b, p.Columns)
	b = binary.LittleEndian.AppendUint16(b, p.Params)
	return binary.LittleEndian.AppendUint16(append(b, 0), p.Warnings)
}

// ParseTextRow decodes the values of a row of the text protocol; nil is NULL.
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

// ParseColumnCount decodes the column count that begins a result.
func ParseColumnCount(b []byte) (uint64, error) {
	t := payloadReader{b: b}
	n := t.lenencInt()
	if t.malformed || len(t.b) > 0 {
		return 0, malformed("a number of columns")
	}
	return n, nil
}
