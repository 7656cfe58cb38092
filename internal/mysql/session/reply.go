package session

import (
	"errors"
	"fmt"

	"quillfront/internal/mysql/wire"
)

const (
	// MaxControlPacket bounds a message of a reply that is read whole: all but definitions and rows.
	MaxControlPacket = 1 << 20
	// maxColumns bounds the columns of a result; MySQL has 4,096 at most.
	maxColumns = 1 << 16
)

// ErrUnexpectedData tells that a server has sent what nobody asked for.
var ErrUnexpectedData = errors.New("the server sends what was not asked for")

// phase is what comes next in a reply.
type phase int

const (
	phaseFirst     phase = iota // of a result
	phaseParams                 // definitions of parameters
	phaseParamsEOF              // the EOF behind them
	phaseColumns                // definitions of columns
	phaseColumnsEOF
	phaseRows
	phaseDone
)

// ReplyTracker follows the packets of a server's reply to one command, so that whoever passes them on knows where it ends and what it says.
type ReplyTracker struct {
	ReplySummary
	Results  int // that have begun
	Rows     int // packets of rows so far
	Prepared wire.PrepareOK

	caps         wire.Capability
	command      wire.Command
	phase        phase
	remaining    int // definitions to come
	columnsAfter int // columns behind parameters
	rowContinues bool
}

// NewReplyTracker returns a Reply to a command, as those of caps are sent it.
func NewReplyTracker(command wire.Command, caps wire.Capability) *ReplyTracker {
	return &ReplyTracker{command: command, caps: caps}
}

// Done reports whether the reply has ended.
func (r *ReplyTracker) Done() bool { return r.phase == phaseDone }

// InRows reports whether rows come next.
func (r *ReplyTracker) InRows() bool { return r.phase == phaseRows }

// MustReadWhole decides whether the next packet is to be read whole and given to Take, or is passed on unread and told by Passed.
func (r *ReplyTracker) MustReadWhole(p wire.PacketPrefix) (bool, error) {
	if r.rowContinues { // it goes on with a row
		return false, nil
	}
	switch r.phase {
	case phaseDone:
		return false, ErrUnexpectedData
	case phaseParams, phaseColumns:
		if p.Len == wire.MaxPayload || p.First == 0xff {
			return true, nil
		}
		return false, nil
	case phaseRows:
		switch {
		case p.First == 0xff:
			return true, nil
		case p.First != 0xfe:
			return false, nil
		case r.caps.Has(wire.DeprecateEOF):
			return p.Len < wire.MaxPayload, nil
		}
		return p.Len < 9, nil
	}
	return true, nil
}

// Forwarded notes a packet that was passed on unread.
func (r *ReplyTracker) Forwarded(n int) {
	switch r.phase {
	case phaseRows:
		r.rowContinues = n == wire.MaxPayload
		r.Rows++
	case phaseParams, phaseColumns:
		r.definitionSeen()
	}
}

func (r *ReplyTracker) definitionSeen() {
	if r.remaining--; r.remaining > 0 {
		return
	}
	if !r.caps.Has(wire.DeprecateEOF) {
		r.phase++ // to the EOF
		return
	}
	r.definitionsDone()
}

// definitionsDone goes on definitionsDone definitions.
func (r *ReplyTracker) definitionsDone() {
	switch {
	case r.phase <= phaseParamsEOF && r.columnsAfter > 0:
		r.phase, r.remaining, r.columnsAfter = phaseColumns, r.columnsAfter, 0
	case r.command == wire.StmtPrepare:
		r.phase = phaseDone
	default:
		r.phase = phaseRows
	}
}

// Consume notes a packet that was read whole.
func (r *ReplyTracker) Consume(b []byte) error {
	if len(b) == 0 {
		return fmt.Errorf("%w: an empty packet in a reply", wire.ErrMalformed)
	}
	if b[0] == 0xff {
		r.Error = wire.ParseError(b, r.caps)
		r.phase = phaseDone
		return nil
	}
	switch r.phase {
	case phaseFirst:
		return r.beginResult(b)
	case phaseParamsEOF, phaseColumnsEOF:
		if b[0] != 0xfe {
			return fmt.Errorf("%w: no EOF behind definitions", wire.ErrMalformed)
		}
		r.definitionsDone()
		return nil
	case phaseRows:
		if r.caps.Has(wire.DeprecateEOF) {
			return r.finishResult(b)
		}
		e, err := wire.ParseEOF(b)
		if err != nil {
			return err
		}
		r.recordEnd(wire.OK{Status: e.Status, Warnings: e.Warnings})
		return nil
	}
	return fmt.Errorf("%w: a definition of a column of %d bytes", wire.ErrMalformed, len(b))
}

// beginResult notes the first packet of a result.
func (r *ReplyTracker) beginResult(b []byte) error {
	switch {
	case r.command == wire.StmtPrepare:
		p, err := wire.ParsePrepareOK(b)
		if err != nil || b[0] != 0 {
			return fmt.Errorf("%w: no answer to PREPARE", wire.ErrMalformed)
		}
		r.Prepared, r.NoStatus = p, true
		r.Warnings = p.Warnings > 0
		r.columnsAfter = int(p.Columns)
		if r.remaining = int(p.Params); r.remaining > 0 {
			r.phase = phaseParams
			return nil
		}
		r.definitionsDone()
		return nil
	case b[0] == 0:
		return r.finishResult(b)
	case r.command != wire.Query && r.command != wire.StmtExecute:
		return fmt.Errorf("%w: neither OK nor an error", wire.ErrMalformed)
	case b[0] == 0xfb:
		return fmt.Errorf("%w: a file of the client", ErrUnexpectedData)
	}
	n, err := wire.ParseColumnCount(b)
	if err != nil {
		return err
	}
	if n == 0 || n > maxColumns {
		return fmt.Errorf("%w: a result of %d columns", wire.ErrMalformed, n)
	}
	r.Results++
	r.phase, r.remaining = phaseColumns, int(n)
	return nil
}

func (r *ReplyTracker) finishResult(b []byte) error {
	o, err := wire.ParseOK(b, r.caps)
	if err != nil {
		return err
	}
	r.recordEnd(o)
	return nil
}

// recordEnd notes the recordEnd of a result.
func (r *ReplyTracker) recordEnd(o wire.OK) {
	if o.LastInsertID == 0 {
		o.LastInsertID = r.OK.LastInsertID
	}
	o.AffectedRows += r.OK.AffectedRows
	r.OK = o
	r.Warnings = r.Warnings || o.Warnings > 0
	r.phase = phaseDone
	if o.Status&wire.MoreResults != 0 {
		r.phase = phaseFirst
	}
}
