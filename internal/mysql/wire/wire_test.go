package wire

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"crypto/rsa"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// pair returns a Conn that writes to a buffer, and one that reads it.
func pair() (*Conn, *Conn, *bytes.Buffer) {
	var b bytes.Buffer
	return &Conn{W: bufio.NewWriter(&b)}, &Conn{R: bufio.NewReaderSize(&b, 64)}, &b
}

// TestPackets checks that messages of lengths around the limits are split into the right number of
// packets and read back unchanged.
func TestPackets(t *testing.T) {
	for _, n := range []int{0, 1, 63, 64, 65, 1 << 16, MaxPayload - 1, MaxPayload, MaxPayload + 1, 2 * MaxPayload} {
		w, r, b := pair()
		text := bytes.Repeat([]byte("ab"), n/2+1)[:n]
		w.Write(text)
		w.W.Flush()
		if packets := n/MaxPayload + 1; b.Len() != n+4*packets || w.Sequence() != byte(packets) {
			t.Errorf("%d bytes take %d and %d packets", n, b.Len(), w.Sequence())
		}
		got, err := r.Read(3 * MaxPayload)
		if err != nil || !bytes.Equal(got, text) || b.Len()+r.R.Buffered() > 0 {
			t.Errorf("%d bytes: %d came, %v", n, len(got), err)
		}
	}
	w, r, _ := pair()
	w.Write(make([]byte, 1000))
	w.W.Flush()
	if _, err := r.Read(999); !errors.Is(err, ErrTooLarge) {
		t.Errorf("over the bound: %v", err)
	}
}

// TestBadPackets checks the error of each kind of invalid packet, and that a header alone doesn't
// make the reader allocate the claimed length.
func TestBadPackets(t *testing.T) {
	for name, tt := range map[string]struct {
		b    []byte
		want error
	}{
		"nothing": {nil, io.EOF}, "half a header": {[]byte{1, 0}, io.ErrUnexpectedEOF}, "no payload": {[]byte{5, 0, 0, 0}, io.ErrUnexpectedEOF},
		"half a payload": {[]byte{5, 0, 0, 0, 1, 2}, io.ErrUnexpectedEOF}, "out of order": {[]byte{1, 0, 0, 1, 0}, ErrSequence},
		"only the claimed length": {[]byte{0xff, 0xff, 0xff, 0, 1}, io.ErrUnexpectedEOF},
	} {
		c := &Conn{R: bufio.NewReader(bytes.NewReader(tt.b))}
		if _, err := c.Read(1 << 30); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", name, err, tt.want)
		}
	}
	n := testing.AllocsPerRun(10, func() {
		c := &Conn{R: bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0, 1}))}
		c.Read(1 << 30)
	})
	if n > 20 {
		t.Errorf("a claimed length takes %v allocations", n)
	}
}

// TestForward checks that a packet that fits into the buffer is forwarded whole or not at all.
func TestForward(t *testing.T) {
	for _, tt := range []struct {
		claimed, sent int
		begun         bool
		out           int
	}{{50, 50, false, 54}, {50, 49, false, 0}, {50, 0, false, 0}, {0, 0, false, 4}, {1000, 1000, false, 1004}, {1000, 999, true, 1003}} {
		var out bytes.Buffer
		from := &Conn{R: bufio.NewReaderSize(bytes.NewReader(append([]byte{byte(tt.claimed), byte(tt.claimed >> 8), 0, 0}, make([]byte, tt.sent)...)), 64)}
		to := &Conn{W: bufio.NewWriterSize(&out, 16)}
		to.SetSequence(7)
		n, begun, err := from.Forward(to)
		to.W.Flush()
		if n != tt.claimed || begun != tt.begun || out.Len() != tt.out || (err == nil) != (tt.claimed == tt.sent) {
			t.Errorf("%+v: %d, %v, %v, %d bytes out", tt, n, begun, err, out.Len())
		}
		if out.Len() > 4 && out.Bytes()[3] != 7 {
			t.Errorf("%+v: it has number %d", tt, out.Bytes()[3])
		}
	}
}

// TestAuthResponses checks that an auth response verifies only with its own password and scramble.
func TestAuthResponses(t *testing.T) {
	scramble, _ := hex.DecodeString("4a1c6f0b2d3e5f60718293a4b5c6d7e8f9010203")
	for _, plugin := range []string{Native, SHA2} {
		rapid.Check(t, func(t *rapid.T) {
			password, other := rapid.StringN(1, 40, -1).Draw(t, "password"), rapid.String().Draw(t, "other")
			k := NewPasswordHashes(password)
			p, err := AuthResponse(plugin, password, scramble)
			if err != nil || !k.VerifyResponse(plugin, p, scramble) {
				t.Fatalf("the response of password %q is rejected: %v", password, err)
			}
			if q, _ := AuthResponse(plugin, other, scramble); other != password && k.VerifyResponse(plugin, q, scramble) {
				t.Fatalf("the response of password %q is accepted for %q", other, password)
			}
			if k.VerifyResponse(plugin, p, NewScramble()) {
				t.Fatal("a response is accepted for another scramble")
			}
			if k.VerifyResponse(plugin, p[:len(p)-1], scramble) || k.VerifyResponse("none", p, scramble) {
				t.Fatal("a truncated response or an unknown plugin is accepted")
			}
		})
	}
	if e := NewPasswordHashes(""); !e.VerifyResponse(Native, nil, scramble) || e.VerifyResponse(Native, []byte{1}, scramble) {
		t.Error("the empty password")
	}
	key, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		t.Fatal(err)
	}
	pem, err := PublicKeyPEM(key)
	if err != nil {
		t.Fatal(err)
	}
	b, err := EncryptPassword("hose & pump", scramble, pem)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecryptPassword(b, scramble, key); got != "hose & pump" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := DecryptPassword(b[1:], scramble, key); err == nil {
		t.Error("a truncated ciphertext is decrypted")
	}
	if _, err := EncryptPassword("x", scramble, []byte("no key")); err == nil {
		t.Error("an invalid key is accepted")
	}
}

// TestMessages checks that each message is decoded as it was encoded, and that a truncated one
// gives an error or fewer fields, never other data.
func TestMessages(t *testing.T) {
	scramble := NewScramble()
	g := Greeting{Version: "8.4.0", ThreadID: 7, Scramble: scramble, Capabilities: Protocol41 | SecureConnection | PluginAuth | SSL, Charset: 45, Status: Autocommit, Plugin: SHA2}
	text := g.Append(nil)
	if got, err := ParseGreeting(text); err != nil || !reflect.DeepEqual(got, g) {
		t.Errorf("%+v, %v", got, err)
	}
	l := Login{Capabilities: Protocol41 | SecureConnection | PluginAuth | PluginAuthLenenc | ConnectWithDB | ConnectAttrs, MaxPacket: 9, Charset: 45, User: "app",
		AuthResponse: []byte("proof"), Schema: "stock", Plugin: Native, Attributes: []byte("\x01a\x01b")}
	login := l.Append(nil)
	if got, err := ParseLogin(login); err != nil || !reflect.DeepEqual(got, l) {
		t.Errorf("%+v, %v", got, err)
	}
	o := OK{AffectedRows: 300, LastInsertID: 1 << 40, Status: Autocommit | StateChanged, Warnings: 2, Info: []byte("info"), StateChanges: []byte("changes")}
	ok := o.Append(nil, 0, SessionTrack)
	if got, err := ParseOK(ok, SessionTrack); err != nil || !reflect.DeepEqual(got, o) {
		t.Errorf("%+v, %v", got, err)
	}
	e := Error{1064, "42000", "no"}
	if got := ParseError(e.Append(nil), Protocol41); *got != e {
		t.Errorf("%+v", got)
	}
	plugin, s, err := ParseAuthSwitch(AppendAuthSwitch(nil, SHA2, scramble))
	if plugin != SHA2 || !bytes.Equal(s, scramble) || err != nil {
		t.Errorf("%s, %x, %v", plugin, s, err)
	}
	for n := range text {
		if _, err := ParseGreeting(text[:n]); err == nil {
			t.Errorf("a greeting of %d of %d bytes is accepted", n, len(text))
		}
	}
	for n := range 32 {
		if _, err := ParseLogin(login[:n]); err == nil {
			t.Errorf("a login of %d bytes is accepted", n)
		}
	}
	for n := range len(ok) - len(o.StateChanges) - 1 {
		if got, err := ParseOK(ok[:n], SessionTrack); err == nil && got.StateChanges != nil {
			t.Errorf("an OK of %d bytes has state changes", n)
		}
	}
	if _, err := ParseGreeting((&Error{1040, "08004", "Too many connections"}).Append(nil)); err == nil || err.(*Error).Code != 1040 {
		t.Errorf("rejected by the server: %v", err)
	}
	if row, err := ParseTextRow(append(AppendLenencString([]byte{0xfb}, "x"), 0)); err != nil || len(row) != 3 || row[0] != nil || string(row[1]) != "x" {
		t.Errorf("%q, %v", row, err)
	}
}

// FuzzRead checks that any input is a message or an error, and that a message is no longer than the
// input or the limit.
func FuzzRead(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 14}, 100)
	f.Add([]byte{0xff, 0xff, 0xff, 0, 1}, 1<<24)
	f.Fuzz(func(t *testing.T, b []byte, most int) {
		c := &Conn{R: bufio.NewReader(bytes.NewReader(b))}
		for {
			got, err := c.Read(most)
			if len(got) > max(most, 0) || len(got) > len(b) {
				t.Fatalf("%d bytes of %d, at most %d", len(got), len(b), most)
			}
			if err != nil {
				return
			}
		}
	})
}

// FuzzMessages checks that no input makes a decoder panic or return invalid data.
func FuzzMessages(f *testing.F) {
	g := Greeting{Version: "8", Scramble: NewScramble(), Capabilities: Protocol41 | SecureConnection | PluginAuth, Plugin: SHA2}
	f.Add(g.Append(nil), uint32(SessionTrack))
	l := Login{Capabilities: Protocol41 | SecureConnection, User: "x", AuthResponse: []byte("y")}
	f.Add(l.Append(nil), uint32(0))
	f.Fuzz(func(t *testing.T, b []byte, caps uint32) {
		if g, err := ParseGreeting(b); err == nil && len(g.Scramble) != ScrambleSize {
			t.Fatalf("a scramble of %d bytes", len(g.Scramble))
		}
		ParseLogin(b)
		ParseUserChange(b, Capability(caps))
		ParseAuthSwitch(b)
		ParseOK(b, Capability(caps))
		ParseEOF(b)
		ParseError(b, Capability(caps))
		ParsePrepareOK(b)
		ParseColumnCount(b)
		if row, err := ParseTextRow(b); err == nil && len(row) > len(b) {
			t.Fatalf("%d values in %d bytes", len(row), len(b))
		}
	})
}
