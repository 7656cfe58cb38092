package session

import (
	"encoding/binary"
	"fmt"

	"quillfront/internal/mysql/wire"
)

// Execution is a client's COM_STMT_EXECUTE in a form that can be sent to any server that has
// prepared the statement.
type Execution struct {
	Types        []byte // of the parameters, as last sent by the client; nil: no parameters
	message      []byte
	paramsOffset int // of the new-params-bound flag; 0: no parameters
	hasTypes     bool
}

// ErrCursor is returned for an execution that asks for a cursor.
var ErrCursor = wire.NotSupported("a cursor on the server")

// ParseExecution decodes a COM_STMT_EXECUTE of a statement with params parameters. types are the
// parameter types that the client sent last; an execution without types uses them.
func ParseExecution(b []byte, params int, types []byte) (*Execution, error) {
	const fixed = 10
	if len(b) < fixed {
		return nil, fmt.Errorf("%w: an EXECUTE that is cut", wire.ErrMalformed)
	}
	if b[5] != 0 {
		return nil, ErrCursor
	}
	e := &Execution{message: b, Types: types}
	if params == 0 {
		return e, nil
	}
	nulls := (params + 7) / 8
	if len(b) < fixed+nulls+1 {
		return nil, fmt.Errorf("%w: an EXECUTE that is cut", wire.ErrMalformed)
	}
	e.paramsOffset = fixed + nulls
	if e.hasTypes = b[e.paramsOffset] == 1; e.hasTypes {
		if len(b) < e.paramsOffset+1+2*params {
			return nil, fmt.Errorf("%w: an EXECUTE that is cut", wire.ErrMalformed)
		}
		e.Types = append([]byte(nil), b[e.paramsOffset+1:e.paramsOffset+1+2*params]...)
	} else if len(types) != 2*params {
		return nil, fmt.Errorf("%w: an EXECUTE without types of its parameters", wire.ErrMalformed)
	}
	return e, nil
}

// Message returns the command for a server that has prepared the statement as id. typesSent reports
// whether that server has already received these types.
func (e *Execution) Message(id uint32, typesSent bool) []byte {
	b := e.message
	if e.paramsOffset > 0 && !e.hasTypes && !typesSent {
		b = append(append([]byte(nil), e.message[:e.paramsOffset]...), 1)
		b = append(append(b, e.Types...), e.message[e.paramsOffset+1:]...)
	} else {
		b = append([]byte(nil), b...)
	}
	binary.LittleEndian.PutUint32(b[1:], id)
	return b
}
