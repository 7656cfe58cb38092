package session

import (
	"errors"
	"fmt"

	"quillfront/internal/mysql/wire"
)

const (
	// MaxControlPacket bounds a message of a reply that is read whole: all but definitions and rows.
	MaxControlPacket = 1 << 20
	// mostColumns bounds the columns of a result; MySQL has 4,096 at most.
	mostColumns = 1 << 16
)

// ErrUnexpectedData tells that a server has sent what nobody asked for.
var ErrUnexpectedData = errors.New("the server sends what was not asked for")

// phase is what comes next in a reply.
type phase int

const (
	first    phase = iota // of a result
	params                // definitions of parameters
	paramEnd              // the EOF behind them
	columns               // definitions of columns
	columnEnd
	rows
	done
)

// ReplyTracker follows the packets of a server's reply to one command, so that whoever passes them on knows where it ends and what it says.
type ReplyTracker struct {
	ReplySummary
	Results  int // that have begun
	Rows     int // packets of rows so far
	Prepared wire.PrepareOK

	caps    wire.Capability
	command wire.Command
	phase   phase
	left    int // definitions to come
	then    int // columns behind parameters
	more    bool
}

// NewReplyTracker returns a Reply to a command, as those of caps are sent it.
func NewReplyTracker(command wire.Command, caps wire.Capability) *ReplyTracker {
	return &ReplyTracker{command: command, caps: caps}
}

// Done reports whether the reply has ended.
func (r *ReplyTracker) Done() bool { return r.phase == done }

// InRows reports whether rows come next.
func (r *ReplyTracker) InRows() bool { return r.phase == rows }

// MustReadWhole decides whether the next packet is to be read whole and given to Take, or is passed on unread and told by Passed.
func (r *ReplyTracker) MustReadWhole(p wire.PacketPrefix) (bool, error) {
	if r.more { // it goes on with a row
		return false, nil
	}
	switch r.phase {
	case done:
		return false, ErrUnexpectedData
	case params, columns:
		if p.Len == wire.MaxPayload || p.First == 0xff {
			return true, nil
		}
		return false, nil
	case rows:
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
	case rows:
		r.more = n == wire.MaxPayload
		r.Rows++
	case params, columns:
		r.defined()
	}
}

func (r *ReplyTracker) defined() {
	if r.left--; r.left > 0 {
		return
	}
	if !r.caps.Has(wire.DeprecateEOF) {
		r.phase++ // to the EOF
		return
	}
	r.behind()
}

// behind goes on behind definitions.
func (r *ReplyTracker) behind() {
	switch {
	case r.phase <= paramEnd && r.then > 0:
		r.phase, r.left, r.then = columns, r.then, 0
	case r.command == wire.StmtPrepare:
		r.phase = done
	default:
		r.phase = rows
	}
}

// Consume notes a packet that was read whole.
func (r *ReplyTracker) Consume(b []byte) error {
	if len(b) == 0 {
		return fmt.Errorf("%w: an empty packet in a reply", wire.ErrMalformed)
	}
	if b[0] == 0xff {
		r.Error = wire.ParseError(b, r.caps)
		r.phase = done
		return nil
	}
	switch r.phase {
	case first:
		return r.begin(b)
	case paramEnd, columnEnd:
		if b[0] != 0xfe {
			return fmt.Errorf("%w: no EOF behind definitions", wire.ErrMalformed)
		}
		r.behind()
		return nil
	case rows:
		if r.caps.Has(wire.DeprecateEOF) {
			return r.finish(b)
		}
		e, err := wire.ParseEOF(b)
		if err != nil {
			return err
		}
		r.end(wire.OK{Status: e.Status, Warnings: e.Warnings})
		return nil
	}
	return fmt.Errorf("%w: a definition of a column of %d bytes", wire.ErrMalformed, len(b))
}

// begin notes the first packet of a result.
func (r *ReplyTracker) begin(b []byte) error {
	switch {
	case r.command == wire.StmtPrepare:
		p, err := wire.ParsePrepareOK(b)
		if err != nil || b[0] != 0 {
			return fmt.Errorf("%w: no answer to PREPARE", wire.ErrMalformed)
		}
		r.Prepared, r.NoStatus = p, true
		r.Warnings = p.Warnings > 0
		r.then = int(p.Columns)
		if r.left = int(p.Params); r.left > 0 {
			r.phase = params
			return nil
		}
		r.behind()
		return nil
	case b[0] == 0:
		return r.finish(b)
	case r.command != wire.Query && r.command != wire.StmtExecute:
		return fmt.Errorf("%w: neither OK nor an error", wire.ErrMalformed)
	case b[0] == 0xfb:
		return fmt.Errorf("%w: a file of the client", ErrUnexpectedData)
	}
	n, err := wire.ParseColumnCount(b)
	if err != nil {
		return err
	}
	if n == 0 || n > mostColumns {
		return fmt.Errorf("%w: a result of %d columns", wire.ErrMalformed, n)
	}
	r.Results++
	r.phase, r.left = columns, int(n)
	return nil
}

func (r *ReplyTracker) finish(b []byte) error {
	o, err := wire.ParseOK(b, r.caps)
	if err != nil {
		return err
	}
	r.end(o)
	return nil
}

// end notes the end of a result.
func (r *ReplyTracker) end(o wire.OK) {
	if o.LastInsertID == 0 {
		o.LastInsertID = r.OK.LastInsertID
	}
	o.AffectedRows += r.OK.AffectedRows
	r.OK = o
	r.Warnings = r.Warnings || o.Warnings > 0
	r.phase = done
	if o.Status&wire.MoreResults != 0 {
		r.phase = first
	}
}
