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

// TestPackets: messages of all lengths about the bounds arrive as they were, in as many packets as it takes.
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

// TestBadPackets: each has an error of its kind, and a header alone takes no room.
func TestBadPackets(t *testing.T) {
	for name, tt := range map[string]struct {
		b    []byte
		want error
	}{
		"nothing": {nil, io.EOF}, "half a header": {[]byte{1, 0}, io.ErrUnexpectedEOF}, "no payload": {[]byte{5, 0, 0, 0}, io.ErrUnexpectedEOF},
		"half a payload": {[]byte{5, 0, 0, 0, 1, 2}, io.ErrUnexpectedEOF}, "out of order": {[]byte{1, 0, 0, 1, 0}, ErrSequence},
		"a claim": {[]byte{0xff, 0xff, 0xff, 0, 1}, io.ErrUnexpectedEOF},
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
		t.Errorf("a claim takes %v allocations", n)
	}
}

// TestPass: a packet that fits into the buffer is passed on whole or not at all.
func TestPass(t *testing.T) {
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

// TestProofs: a password proves itself, by its scramble only, and no other does.
func TestProofs(t *testing.T) {
	scramble, _ := hex.DecodeString("4a1c6f0b2d3e5f60718293a4b5c6d7e8f9010203")
	for _, plugin := range []string{Native, SHA2} {
		rapid.Check(t, func(t *rapid.T) {
			password, other := rapid.StringN(1, 40, -1).Draw(t, "password"), rapid.String().Draw(t, "other")
			k := NewPasswordHashes(password)
			p, err := AuthResponse(plugin, password, scramble)
			if err != nil || !k.VerifyResponse(plugin, p, scramble) {
				t.Fatalf("%q does not prove itself: %v", password, err)
			}
			if q, _ := AuthResponse(plugin, other, scramble); other != password && k.VerifyResponse(plugin, q, scramble) {
				t.Fatalf("%q proves %q", other, password)
			}
			if k.VerifyResponse(plugin, p, NewScramble()) {
				t.Fatal("a proof holds for another scramble")
			}
			if k.VerifyResponse(plugin, p[:len(p)-1], scramble) || k.VerifyResponse("none", p, scramble) {
				t.Fatal("half a proof holds")
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
		t.Error("what is cut is decrypted")
	}
	if _, err := EncryptPassword("x", scramble, []byte("no key")); err == nil {
		t.Error("no key is taken")
	}
}

// TestMessages: each is read as it was written; cut anywhere, it is an error or less, and never more.
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
			t.Errorf("a greeting of %d of %d bytes is taken", n, len(text))
		}
	}
	for n := range 32 {
		if _, err := ParseLogin(login[:n]); err == nil {
			t.Errorf("a login of %d bytes is taken", n)
		}
	}
	for n := range len(ok) - len(o.StateChanges) - 1 {
		if got, err := ParseOK(ok[:n], SessionTrack); err == nil && got.StateChanges != nil {
			t.Errorf("an OK of %d bytes tells changes", n)
		}
	}
	if _, err := ParseGreeting((&Error{1040, "08004", "Too many connections"}).Append(nil)); err == nil || err.(*Error).Code != 1040 {
		t.Errorf("turned away: %v", err)
	}
	if row, err := ParseTextRow(append(AppendLenencString([]byte{0xfb}, "x"), 0)); err != nil || len(row) != 3 || row[0] != nil || string(row[1]) != "x" {
		t.Errorf("%q, %v", row, err)
	}
}

// FuzzRead: whatever comes, it is read or an error, and no more room is taken than came.
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

// FuzzMessages: no message of a peer is more than an error.
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
