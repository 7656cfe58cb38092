package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quillfront/internal/mysql/standin"
)

// TestStillOut: a write whose first attempt could not connect, and whose second has run and is not answered in time, is not called refused:
// that would have the client run it again.
func TestStillOut(t *testing.T) {
	w := open(t, options{deadline: 400 * time.Millisecond})
	w.make(func(_, sql string) standin.Fault {
		return standin.Fault{NoReply: strings.HasPrefix(sql, "INSERT")}
	})
	w.servers[0].Close()
	ran := 0
	for i := range 12 {
		id := fmt.Sprint("A", i)
		err := exec(t, w.session(""), fmt.Sprintf("INSERT INTO orders (id, item, qty) VALUES ('%s', 'x', 1)", id))
		n := w.db.Executed()[id]
		ran += n
		if err == nil || n > 0 && code(err) != 9002 {
			t.Errorf("%s was executed %d times: %v", id, n, err)
		}
	}
	if ran == 0 {
		t.Error("none was executed")
	}
}
