package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quillfront/internal/mysql/standin"
)

// TestStillOut checks that a write is not reported as refused if its first attempt could not
// connect but its second has run and is not answered in time. A client would run a refused write
// again.
func TestStillOut(t *testing.T) {
	w := newTestEnv(t, options{deadline: 400 * time.Millisecond})
	w.setFault(func(_, sql string) standin.Fault {
		return standin.Fault{NoReply: strings.HasPrefix(sql, "INSERT")}
	})
	w.servers[0].Close()
	ran := 0
	for i := range 12 {
		id := fmt.Sprint("A", i)
		err := exec(t, w.newSession(""), fmt.Sprintf("INSERT INTO orders (id, item, qty) VALUES ('%s', 'x', 1)", id))
		n := w.db.Executed()[id]
		ran += n
		if err == nil || n > 0 && errorCode(err) != 9002 {
			t.Errorf("%s was executed %d times: %v", id, n, err)
		}
	}
	if ran == 0 {
		t.Error("no statement was executed")
	}
}
