package wire

import (
	"encoding/binary"
	"errors"
	"net"
)

// Capability is a set of capability flags.
type Capability uint32

// The capability flags that this package knows, named as in the protocol.
const (
	LongPassword     Capability = 1 << 0
	FoundRows        Capability = 1 << 1
	LongFlag         Capability = 1 << 2
	ConnectWithDB    Capability = 1 << 3
	Compress         Capability = 1 << 5
	LocalFiles       Capability = 1 << 7
	IgnoreSpace      Capability = 1 << 8
	Protocol41       Capability = 1 << 9
	Interactive      Capability = 1 << 10
	SSL              Capability = 1 << 11
	Transactions     Capability = 1 << 13
	SecureConnection Capability = 1 << 15
	MultiStatements  Capability = 1 << 16
	MultiResults     Capability = 1 << 17
	PSMultiResults   Capability = 1 << 18
	PluginAuth       Capability = 1 << 19
	ConnectAttrs     Capability = 1 << 20
	PluginAuthLenenc Capability = 1 << 21
	ExpiredPasswords Capability = 1 << 22
	SessionTrack     Capability = 1 << 23
	DeprecateEOF     Capability = 1 << 24
	OptionalMetadata Capability = 1 << 25
	QueryAttributes  Capability = 1 << 27
)

// Has reports whether c contains all flags of o.
func (c Capability) Has(o Capability) bool { return c&o == o }

// Status holds the status flags of a session that a server sends at the end of a reply.
type Status uint16

// The status flags that this package knows.
const (
	InTransaction Status = 1 << 0
	Autocommit    Status = 1 << 1
	MoreResults   Status = 1 << 3
	CursorExists  Status = 1 << 6
	LastRowSent   Status = 1 << 7
	StateChanged  Status = 1 << 14
)

// Command is the first byte of a client's command packet.
type Command byte

// The commands.
const (
	Quit            Command = 0x01
	InitDB          Command = 0x02
	Query           Command = 0x03
	FieldList       Command = 0x04
	Statistics      Command = 0x09
	ProcessKill     Command = 0x0c
	Debug           Command = 0x0d
	Ping            Command = 0x0e
	ChangeUser      Command = 0x11
	BinlogDump      Command = 0x12
	RegisterReplica Command = 0x15
	StmtPrepare     Command = 0x16
	StmtExecute     Command = 0x17
	StmtLongData    Command = 0x18
	StmtClose       Command = 0x19
	StmtReset       Command = 0x1a
	SetOption       Command = 0x1b
	StmtFetch       Command = 0x1c
	BinlogDumpGTID  Command = 0x1e
	ResetConnection Command = 0x1f
)

// The names of the supported authentication plugins.
const (
	Native = "mysql_native_password"
	SHA2   = "caching_sha2_password"
)

// ScrambleSize is the length of a scramble in bytes.
const ScrambleSize = 20

// Greeting is a server's initial handshake packet.
type Greeting struct {
	Version      string
	ThreadID     uint32
	Scramble     []byte // ScrambleSize bytes
	Capabilities Capability
	Charset      byte
	Status       Status
	Plugin       string
}

// ParseGreeting decodes a Greeting. If the server rejects the client at once, the error is its
// *Error.
func ParseGreeting(b []byte) (Greeting, error) {
	var g Greeting
	t := payloadReader{b: b}
	switch v := t.byte(); v {
	case 10:
	case 0xff:
		return g, ParseError(b, 0)
	default:
		return g, malformed("a greeting of another protocol")
	}
	g.Version, g.ThreadID = t.nulString(), t.uint32()
	first := t.take(8)
	t.byte()
	low := t.uint16()
	g.Charset, g.Status = t.byte(), Status(t.uint16())
	g.Capabilities = Capability(low) | Capability(t.uint16())<<16
	n := int(t.byte())
	t.take(10)
	if t.malformed {
		return g, malformed("a greeting that is cut")
	}
	if !g.Capabilities.Has(Protocol41 | SecureConnection) {
		return g, malformed("a greeting of a server before 4.1")
	}
	second := t.take(max(13, n-8))
	if t.malformed || len(second) < ScrambleSize-8 {
		return g, malformed("a greeting without a whole scramble")
	}
	g.Scramble = append(append([]byte(nil), first...), second[:ScrambleSize-8]...)
	g.Plugin = Native
	if g.Capabilities.Has(PluginAuth) {
		if g.Plugin = t.nulString(); t.malformed {
			return g, malformed("a greeting whose plugin does not end")
		}
	}
	return g, nil
}

// Append appends the encoding of g.
func (g *Greeting) Append(b []byte) []byte {
	b = append(append(append(b, 10), g.Version...), 0)
	b = binary.LittleEndian.AppendUint32(b, g.ThreadID)
	b = append(append(b, g.Scramble[:8]...), 0)
	b = binary.LittleEndian.AppendUint16(b, uint16(g.Capabilities))
	b = append(b, g.Charset)
	b = binary.LittleEndian.AppendUint16(b, uint16(g.Status))
	b = binary.LittleEndian.AppendUint16(b, uint16(g.Capabilities>>16))
	b = append(b, ScrambleSize+1)
	b = append(b, make([]byte, 10)...)
	b = append(append(b, g.Scramble[8:]...), 0)
	return append(append(b, g.Plugin...), 0)
}

// Login is a client's handshake response to a Greeting.
type Login struct {
	Capabilities Capability
	MaxPacket    uint32
	Charset      byte
	User         string
	AuthResponse []byte // to the scramble, by Plugin
	Schema       string
	Plugin       string
	Attributes   []byte // connection attributes in encoded form, without their length
}

// IsSSLRequest reports whether b is a request for TLS rather than a Login.
func IsSSLRequest(b []byte) bool {
	return len(b) == 32 && Capability(binary.LittleEndian.Uint32(b)).Has(SSL|Protocol41)
}

// PrefixConn returns a connection that reads early before the rest of c. A client need not wait
// between its SSL request and the TLS handshake, so a buffered reader may hold bytes of the
// handshake already. These bytes belong to TLS and are never taken for a message.
func PrefixConn(early []byte, c net.Conn) net.Conn {
	if len(early) == 0 {
		return c
	}
	return &prefixedConn{Conn: c, early: append([]byte(nil), early...)}
}

type prefixedConn struct {
	net.Conn
	early []byte
}

// Read implements net.Conn.
func (b *prefixedConn) Read(p []byte) (int, error) {
	if len(b.early) > 0 {
		n := copy(p, b.early)
		b.early = b.early[n:]
		return n, nil
	}
	return b.Conn.Read(p)
}

// AppendSSLRequest appends the first part of l, which by itself is a request for TLS.
func (l *Login) AppendSSLRequest(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(l.Capabilities))
	b = binary.LittleEndian.AppendUint32(b, l.MaxPacket)
	return append(append(b, l.Charset), make([]byte, 23)...)
}

// ErrOldClient is returned for a client that speaks a protocol older than 4.1.
var ErrOldClient = errors.New("clients before 4.1 are not served")

// ParseLogin decodes a Login.
func ParseLogin(b []byte) (Login, error) {
	var l Login
	t := payloadReader{b: b}
	l.Capabilities = Capability(t.uint32())
	if !t.malformed && !l.Capabilities.Has(Protocol41) {
		return l, ErrOldClient
	}
	l.MaxPacket, l.Charset = t.uint32(), t.byte()
	t.take(23)
	l.User = t.nulString()
	switch {
	case l.Capabilities.Has(PluginAuthLenenc):
		l.AuthResponse = t.lenencBytes()
	case l.Capabilities.Has(SecureConnection):
		l.AuthResponse = t.take(int(t.byte()))
	default:
		l.AuthResponse = []byte(t.nulString())
	}
	if l.Capabilities.Has(ConnectWithDB) && len(t.b) > 0 {
		l.Schema = t.nulString()
	}
	l.Plugin = Native
	if l.Capabilities.Has(PluginAuth) && len(t.b) > 0 {
		l.Plugin = t.nulString()
	}
	if l.Capabilities.Has(ConnectAttrs) && len(t.b) > 0 {
		l.Attributes = t.lenencBytes()
	}
	if t.malformed {
		return l, malformed("a login that is cut")
	}
	return l, nil
}

// Append appends the encoding of l.
func (l *Login) Append(b []byte) []byte {
	b = l.AppendSSLRequest(b)
	b = append(append(b, l.User...), 0)
	if l.Capabilities.Has(PluginAuthLenenc) {
		b = AppendLenencString(b, l.AuthResponse)
	} else {
		b = append(append(b, byte(len(l.AuthResponse))), l.AuthResponse...)
	}
	if l.Capabilities.Has(ConnectWithDB) {
		b = append(append(b, l.Schema...), 0)
	}
	if l.Capabilities.Has(PluginAuth) {
		b = append(append(b, l.Plugin...), 0)
	}
	if l.Capabilities.Has(ConnectAttrs) {
		b = AppendLenencString(b, l.Attributes)
	}
	return b
}

// UserChange is a client's COM_CHANGE_USER.
type UserChange struct {
	User         string
	AuthResponse []byte
	Schema       string
	Charset      byte // 0: not sent
	Plugin       string
}

// ParseUserChange decodes a UserChange that includes the command byte.
func ParseUserChange(b []byte, c Capability) (UserChange, error) {
	t := payloadReader{b: b}
	t.byte()
	u := UserChange{User: t.nulString()}
	u.AuthResponse = t.take(int(t.byte()))
	u.Schema = t.nulString()
	if len(t.b) >= 2 {
		u.Charset = byte(t.uint16())
	}
	u.Plugin = Native
	if c.Has(PluginAuth) && len(t.b) > 0 {
		u.Plugin = t.nulString()
	}
	if t.malformed {
		return u, malformed("a change of user that is cut")
	}
	return u, nil
}

// AppendAuthSwitch appends a server's request to authenticate with another plugin.
func AppendAuthSwitch(b []byte, plugin string, scramble []byte) []byte {
	b = append(append(append(b, 0xfe), plugin...), 0)
	return append(append(b, scramble...), 0)
}

// ParseAuthSwitch decodes an auth switch request.
func ParseAuthSwitch(b []byte) (plugin string, scramble []byte, err error) {
	t := payloadReader{b: b}
	t.byte()
	plugin = t.nulString()
	if t.malformed || len(t.b) < ScrambleSize {
		return "", nil, malformed("a request for another proof that is cut")
	}
	return plugin, append([]byte(nil), t.b[:ScrambleSize]...), nil
}
