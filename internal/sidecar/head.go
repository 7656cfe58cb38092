package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
)

var (
	errHeadTooLong = errors.New("the head is too long")
	errHead        = errors.New("the head cannot be read")
	errFraming     = errors.New("the head gives the length of its body in more than one way")
)

// peekHead waits until the whole head of a message lies in r's buffer, and checks what the parser of net/http would
// smooth over: it drops Content-Length where Transfer-Encoding stands beside it, joins folded lines and keeps control
// characters. It guards against messages whose end two readers see in different places, so that one of them takes a
// part of the body for a message of its own, and, by the size of the buffer, against heads without end. What it
// rejects is never valid between parties of this protocol; a sender that folds its lines would be turned away though it
// means no harm.
func peekHead(r *bufio.Reader) error {
	for seen := 0; ; {
		if _, err := r.Peek(max(seen+1, r.Buffered())); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return errHeadTooLong
			}
			return err
		}
		b, _ := r.Peek(r.Buffered())
		from := max(0, seen-3) // the end may straddle what had come before
		for i := from; i < len(b); i++ {
			if b[i] == '\n' && (bytes.HasPrefix(b[i+1:], []byte("\n")) || bytes.HasPrefix(b[i+1:], []byte("\r\n"))) {
				return checkHead(string(b[:i+1]))
			}
		}
		if seen = len(b); seen == r.Size() {
			return errHeadTooLong
		}
	}
}

// checkHead checks a head without its last, empty line.
func checkHead(head string) error {
	var lengths, codings int
	first := true
	for line := range strings.SplitSeq(strings.TrimSuffix(head, "\n"), "\n") {
		line = strings.TrimSuffix(line, "\r")
		for i := range len(line) {
			if c := line[i]; c < ' ' && c != '\t' || c == 0x7f {
				return errHead
			}
		}
		if first {
			first = false
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return errHead
		}
		value = strings.Trim(value, " \t")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			lengths++
			if value == "" || strings.Trim(value, "0123456789") != "" {
				return errHead
			}
		case strings.EqualFold(name, "Transfer-Encoding"):
			codings++
			if !strings.EqualFold(value, "chunked") {
				return errHead
			}
		}
	}
	if lengths+codings > 1 {
		return errFraming
	}
	return nil
}
