package session

import (
	"encoding/binary"
	"fmt"

	"quillfront/internal/mysql/wire"
)

// Execution is a client's COM_STMT_EXECUTE as it can be sent to any server that has prepared the statement.
type Execution struct {
	Types        []byte // of the parameters, as the client last told them; nil: there are none
	message      []byte
	paramsOffset int // where the parameters begin; 0: there are none
	hasTypes     bool
}

// ErrCursor tells that a client asks for a cursor.
var ErrCursor = wire.NotSupported("a cursor on the server")

// ParseExecution reads a COM_STMT_EXECUTE of a statement with params parameters, whose types were told as types the last time.
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

// Message returns the command for a server that has the statement under id. told reports whether that server was told these types
// before.
func (e *Execution) Message(id uint32, told bool) []byte {
	b := e.message
	if e.paramsOffset > 0 && !e.hasTypes && !told {
		b = append(append([]byte(nil), e.message[:e.paramsOffset]...), 1)
		b = append(append(b, e.Types...), e.message[e.paramsOffset+1:]...)
	} else {
		b = append([]byte(nil), b...)
	}
	binary.LittleEndian.PutUint32(b[1:], id)
	return b
}
