package fronttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// runsFileVariable names, in the environment of this test program, the file to which it appends the ID of
// each request that it runs: it is a server then, and no test.
const runsFileVariable = "FRONTTEST_SERVER_RUNS"

// serverPause is how long a server process stands still in the middle of each answer.
const serverPause = 600 * time.Millisecond

// serverProcess is a server that is a process of its own, so that it can be killed.
type serverProcess struct {
	addr string
	cmd  *exec.Cmd
}

// startServerProcess starts a server process that ends with the test.
func startServerProcess(t testing.TB, runsFile string) *serverProcess {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runsFileVariable+"="+runsFile)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s := &serverProcess{cmd: cmd}
	t.Cleanup(s.kill)
	if s.addr, err = bufio.NewReader(out).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	s.addr = strings.TrimSpace(s.addr)
	return s
}

// kill ends the process by SIGKILL, unless it has ended.
func (s *serverProcess) kill() {
	s.cmd.Process.Kill()
	s.cmd.Wait()
}

// runServerProcess is the program of a server process. It returns the exit status.
func runServerProcess(runsFile string) int {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	runs, err := os.OpenFile(runsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Println(ln.Addr())
	server := &http.Server{ConnState: resetUnlessClosed}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Request-ID")
		if _, err := io.Copy(io.Discard, q.Body); err != nil || id == "" {
			return
		}
		io.WriteString(runs, id+"\n")
		answerInLumps(w, id)
	})
	server.Serve(ln)
	return 0
}

// resetUnlessClosed has the kernel reset a connection, rather than end it in order, if the process dies.
func resetUnlessClosed(c net.Conn, state http.ConnState) {
	if state == http.StateNew {
		c.(*net.TCPConn).SetLinger(0)
	}
}

// answerInLumps answers with some text, a pause, more text and a last line that names the request. The
// framing depends on the ID.
func answerInLumps(w http.ResponseWriter, id string) {
	first, end := strings.Repeat("x", 3000), answerEnd(id)
	var to io.Writer = w
	switch len(id) % 3 {
	case 0:
		w.Header().Set("Content-Length", fmt.Sprint(len(first)+len(end)))
	case 1: // until the close
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		defer c.(*net.TCPConn).SetLinger(-1) // the end is in order
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		to = c
	}
	io.WriteString(to, first)
	if to == w {
		http.NewResponseController(w).Flush()
	}
	time.Sleep(serverPause)
	io.WriteString(to, end)
}

// answerEnd is the last line of the answer to a request.
func answerEnd(id string) string { return "end of " + id + "\n" }

// readRuns returns how often each ID was run.
func readRuns(t testing.TB, runsFile string) map[string]int {
	t.Helper()
	text, err := os.ReadFile(runsFile)
	if err != nil {
		t.Fatal(err)
	}
	runs := map[string]int{}
	for id := range strings.FieldsSeq(string(text)) {
		runs[id]++
	}
	return runs
}

// newRunsFile returns the path of a file for the IDs that server processes run.
func newRunsFile(t testing.TB) string { return filepath.Join(t.TempDir(), "runs") }
