package httpmsg

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// TestPartOfAChunkIsNotHeldBack guards against bytes of a long chunk that are held back until the
// reader's buffer is full or the chunk is complete.
func TestPartOfAChunkIsNotHeldBack(t *testing.T) {
	pr, pw := io.Pipe()
	defer pr.Close()
	go io.WriteString(pw, "ffff\r\nabc") // and then nothing more
	var b Body
	b.Reset(bufio.NewReader(pr), -1, true)
	got := make(chan string, 1)
	go func() {
		buf := make([]byte, 100)
		n, _ := io.ReadAtLeast(&b, buf, 3)
		got <- string(buf[:n])
	}()
	select {
	case text := <-got:
		if text != "abc" {
			t.Errorf("got %q", text)
		}
	case <-time.After(5 * time.Second):
		t.Error("what has come of the chunk is held back")
	}
}

// FuzzChunks compares the chunk reader with that of the standard library: they accept the same
// bodies, with the same data.
func FuzzChunks(f *testing.F) {
	for _, text := range []string{
		"5\r\nhello\r\n0\r\n\r\n", "5;a=b\r\nhello\r\n3 \r\nabc\r\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n", "5\r\nhello0\r\n\r\n", "\r\n", "-1\r\n", "0x5\r\nhello\r\n0\r\n",
		"11111111111111111\r\n", "F\r\n0123456789abcde\r\n0\r\n", "5\r\rhello\r\n", "2\r\nab\n\n0\r\n", strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\na\r\n", 300) + "0\r\n\r\n",
		"1;" + strings.Repeat("x", 5000) + "\r\na\r\n0\r\n\r\n", "5\r\nhel",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(bufio.NewReader(bytes.NewReader(text))))
		for name, source := range map[string]io.Reader{"at once": bytes.NewReader(text), "by bytes": iotest.OneByteReader(bytes.NewReader(text))} {
			got, err := io.ReadAll(&chunkReader{r: bufio.NewReader(source)})
			if !bytes.Equal(got, want) || (err == nil) != (wantErr == nil) {
				t.Fatalf("%s: %q of %q: got %q, %v, want %q, %v", name, text[:min(len(text), 100)], text, got, err, want, wantErr)
			}
		}
	})
}
