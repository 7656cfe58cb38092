//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() {
	commands["convert-server"] = convertServer
	commands["convert-clients"] = convertClients
}

// convertServer is a server that answers a request with its own lines as they come, in upper case, and
// with "END" and their number when the request has ended. The answer has no length. When the process
// dies, its connections are reset.
func convertServer(args []string) int {
	flags := flag.NewFlagSet("convert-server", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:0", "")
	record := flags.String("record", "", "")
	flags.Parse(args)
	out, err := os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ln, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			return 2
		}
		go func() {
			defer c.Close()
			c.(*net.TCPConn).SetLinger(0)
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			fmt.Fprintf(out, "server %s begins %s %s\n", ln.Addr(), r.Method, r.URL.Path)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n")
			lines, n := bufio.NewReader(r.Body), 0
			for {
				line, err := lines.ReadString('\n')
				if err == io.EOF {
					break
				}
				if err != nil {
					return
				}
				n++
				if _, err := io.WriteString(c, strings.ToUpper(line)); err != nil {
					return
				}
			}
			fmt.Fprintf(c, "END %d\n", n)
			fmt.Fprintf(out, "server %s ends %s after %d lines\n", ln.Addr(), r.URL.Path, n)
			c.(*net.TCPConn).SetLinger(-1)
			c.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, c)
		}()
	}
}

// convertAnswer is what one client saw of one answer.
type convertAnswer struct {
	Client, Status int
	Sent           int    // lines
	SentAll        bool   // the request was sent to its end
	Lines          int    // lines of the answer
	End            string // its last line, if it is an END
	Whole          bool   // the answer ended as its framing says
	Error          string
}

// convertClients sends long requests at once, and judges the answers: one that ends whole has to have
// all that the server wrote, whose last line is an END.
func convertClients(args []string) int {
	flags := flag.NewFlagSet("convert-clients", flag.ExitOnError)
	to := flags.String("to", "", "")
	clients := flags.Int("clients", 20, "")
	length := flags.Duration("for", 4*time.Second, "")
	rate := flags.Int("rate", 2<<20, "bytes of the answer that a client takes a second")
	record := flags.String("record", "", "")
	flags.Parse(args)
	out, err := os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	answers := make([]convertAnswer, *clients)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = convertOnce(i, *to, *length, *rate) })
	}
	all.Wait()
	served, broken, cut, whole := 0, 0, 0, 0
	for _, a := range answers {
		b, _ := json.Marshal(a)
		fmt.Fprintln(out, string(b))
		if a.Status == 200 {
			served++
		}
		switch {
		case a.Status == 200 && a.Whole && a.End == "":
			broken++
		case a.Status == 200 && a.Whole:
			whole++
		default:
			cut++
		}
	}
	fmt.Fprintf(out, "requests=%d begun=%d whole=%d cut_and_told=%d cut_but_passed_for_whole=%d\n", len(answers), served, whole, cut, broken)
	switch {
	case served < len(answers)/2:
		return 2
	case broken > 0:
		return 1
	}
	return 0
}

func convertOnce(n int, to string, length time.Duration, rate int) convertAnswer {
	a := convertAnswer{Client: n}
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		a.Error = err.Error()
		return a
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /convert/%d HTTP/1.1\r\nHost: service.internal\r\nTransfer-Encoding: chunked\r\n\r\n", n)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		line := strings.Repeat("abcdefg ", 511) + "abcdefg\n"
		for begun := time.Now(); time.Since(begun) < length; time.Sleep(200 * time.Microsecond) {
			select {
			case <-stop:
				return
			default:
			}
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(line), line); err != nil {
				return
			}
			a.Sent++
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err == nil {
			a.SentAll = true
		}
	})
	c.SetReadDeadline(time.Now().Add(length + 60*time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.Error = err.Error()
	} else {
		a.Status = r.StatusCode
		lines := bufio.NewReader(r.Body)
		begun, taken := time.Now(), 0
		for {
			time.Sleep(time.Until(begun.Add(time.Duration(taken) * time.Second / time.Duration(rate))))
			line, err := lines.ReadString('\n')
			if err != nil {
				if a.Whole = err == io.EOF; !a.Whole {
					a.Error = err.Error()
				}
				break
			}
			a.Lines++
			taken += len(line)
			if strings.HasPrefix(line, "END ") {
				a.End = strings.TrimSpace(line)
			}
		}
	}
	close(stop)
	c.SetWriteDeadline(time.Now())
	sending.Wait()
	return a
}
