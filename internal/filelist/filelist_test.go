package filelist

import (
	"strings"
	"testing"
)

// TestParse checks that valid files are accepted in both formats, and that the error for an invalid
// one names the fault.
func TestParse(t *testing.T) {
	for _, tt := range []struct{ path, text, want string }{
		{"x.JSON", `{"servers":[{"addr":"a:1","state":"draining"}]}`, ""},
		{"x.toml", "[[servers]]\naddr = \"a:1\"\nstarted = 2026-01-02T03:04:05Z\n", ""},
		{"x.json", `{"servers":[]} x`, "data after the list"},
		{"x.json", `{"server":[]}`, "server"},
		{"x.json", `{`, "EOF"},
		{"x.toml", "[[servers]]\naddr = \"a:1\"\nstate = \"asleep\"\n", `servers[0].state: "asleep"`},
		{"x.toml", "[[servers]]\naddr = \"a\"\n", `"a" is no host:port`},
		{"x.toml", "[[servers]]\naddr = \"a:1\"\n[[servers]]\naddr = \"a:1\"\n", `"a:1" is there twice`},
		{"x.toml", "[[servers]]\naddr = \"a:1\"\n[other]\nkey = 1\n", "unknown key other"},
	} {
		list, err := parse(tt.path, []byte(tt.text))
		if err == nil {
			_, err = NewList(list)
		}
		if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v, want %q", tt.text, err, tt.want)
		}
	}
	if l, err := NewList([]Server{{Addr: "a:1", Drain: true}}); err != nil || l.Servers[0].ID != "a:1" || l.Servers[0].State == 0 || !l.Full {
		t.Errorf("%+v, %v", l, err)
	}
	if _, err := NewList(make([]Server, MaxServers+1)); err == nil {
		t.Error("a list above MaxServers was accepted")
	}
}
