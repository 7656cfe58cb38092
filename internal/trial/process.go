package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"quillfront/internal/peering"
)

// Program is the command line and the environment with which processes are started.
type Program struct {
	Command []string // the executable and its first arguments
	Env     []string // nil: that of this process
}

var (
	managementPattern = regexp.MustCompile(`management=([0-9.:]+)`)
	servicePattern    = regexp.MustCompile(`msg=service .*at=([0-9.:]+)`)
	eventPattern      = regexp.MustCompile(`event=(\w+)`)
	namePattern       = regexp.MustCompile(` name=([^ ]+)`)
)

// event is a member event from the log of a process: Observer logged it about Subject.
type event struct {
	At                time.Time
	Observer, Subject string
	Kind              string
}

// process is one process of the program. It may be started more than once.
type process struct {
	name       string
	configPath string
	program    Program
	onEvent    func(event)

	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{} // closed when cmd has exited
	management string        // address
	front      string        // address of the HTTP service
	stoppedAt  time.Time     // time of the SIGSTOP; zero if it is not stopped
	crashed    string        // how it ended without a signal of the runner
	shouldRun  bool          // no signal to end it was sent
}

// writeConfig writes the configuration file of the process.
func (p *process) writeConfig(listen, advertise netip.AddrPort, seeds []netip.AddrPort, extra map[string]any, origin string) error {
	table := map[string]any{"cluster": cluster, "listen": listen.String(), "advertise": advertise.String()}
	var texts []string
	for _, s := range seeds {
		texts = append(texts, s.String())
	}
	table["seeds"] = texts
	for k, v := range extra {
		table[k] = v
	}
	file := map[string]any{
		"process": map[string]any{"name": p.name, "management": listen.Addr().String() + ":0", "memory_mb": 64, "cores": 1},
		"log":     map[string]any{"rate": 1000},
		"members": table,
		"http":    []any{map[string]any{"name": "front", "listen": listen.Addr().String() + ":0"}},
		"pools": []any{map[string]any{
			"name": "origin", "servers": []any{map[string]any{"id": "origin", "addr": origin}},
			"classes": []any{map[string]any{"name": "call", "effect": "by-request", "aim": "1s", "deadline": "2s"}},
		}},
		"routes": []any{map[string]any{"name": "all", "path": "/{rest...}", "class": "call", "pool": "origin"}},
	}
	var b strings.Builder
	if err := toml.NewEncoder(&b).Encode(file); err != nil {
		return err
	}
	return os.WriteFile(p.configPath, []byte(b.String()), 0o600)
}

// start starts the process and waits until it logs that it is ready.
func (p *process) start(ctx context.Context) error {
	args := append(append([]string{}, p.program.Command...), "serve", "--config", p.configPath)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = p.program.Env
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited, ready := make(chan struct{}), make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.management, p.front, p.stoppedAt, p.shouldRun = cmd, exited, "", "", time.Time{}, true
	p.mu.Unlock()
	go func() {
		defer close(exited)
		last := p.readLog(log, ready)
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.shouldRun && p.cmd == cmd {
			p.crashed = fmt.Sprintf("%v: %s", err, last)
		}
	}()
	select {
	case <-ready:
		return nil
	case <-exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return fmt.Errorf("%s exited during startup: %s", p.name, p.crashed)
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(20 * time.Second):
		return fmt.Errorf("%s is not ready after 20s", p.name)
	}
}

// readLog reads the log of the process to its end and returns the last line. It closes ready when
// the process is ready, and passes on each member event.
func (p *process) readLog(log io.Reader, ready chan struct{}) (last string) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		text := lines.Text()
		last = text
		if m := managementPattern.FindStringSubmatch(text); m != nil {
			p.mu.Lock()
			p.management = m[1]
			p.mu.Unlock()
		}
		if m := servicePattern.FindStringSubmatch(text); m != nil {
			p.mu.Lock()
			p.front = m[1]
			p.mu.Unlock()
		}
		if strings.Contains(text, "msg=ready ") {
			close(ready)
		}
		if m := eventPattern.FindStringSubmatch(text); m != nil {
			e := event{At: time.Now(), Observer: p.name, Kind: m[1]}
			if m := namePattern.FindStringSubmatch(text); m != nil {
				e.Subject = m[1]
			}
			p.onEvent(e)
		}
	}
	return last
}

// signal sends a signal to the process if it was ever started. After any signal other than SIGSTOP
// and SIGCONT, its end does not count as a crash.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		p.stoppedAt = time.Now()
	case syscall.SIGCONT:
		p.stoppedAt = time.Time{}
	default:
		p.shouldRun = false
	}
	p.cmd.Process.Signal(s)
}

// terminate sends a signal that ends the process and waits until it has exited. A process that has
// not exited after 10 s is killed.
func (p *process) terminate(s syscall.Signal) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-exited:
	case <-time.After(10 * time.Second):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// running reports whether the process should run and is not stopped.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shouldRun && p.stoppedAt.IsZero()
}

// view returns the process's view of the membership, from its management API.
func (p *process) view(ctx context.Context, c *http.Client) (v peering.View, err error) {
	p.mu.Lock()
	addr := p.management
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/api/members", nil)
	if err != nil {
		return v, err
	}
	resp, err := c.Do(q)
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	return v, json.NewDecoder(resp.Body).Decode(&v)
}
