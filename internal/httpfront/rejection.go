package httpfront

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"quillfront/internal/httpcall"
	"quillfront/internal/httpmsg"
)

// This file writes the responses to requests that cannot be served.

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// reject writes the error response to a request that cannot be served and closes the connection.
// What is left of the request is discarded.
func (s *Server) reject(c *clientConn, err error) {
	ans := httpcall.Rejection{Status: http.StatusBadRequest, Text: "malformed request"}
	var re httpcall.Rejection
	switch {
	case errors.As(err, &re):
		ans = re
	case errors.Is(err, errConnClosed) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed):
		return
	case isTimeout(err) && s.answerCtx.Err() != nil:
		ans = errShuttingDown
	case isTimeout(err):
		ans = httpcall.Rejection{Status: http.StatusRequestTimeout, Text: "the request did not come whole in time"}
	case errors.Is(err, httpmsg.ErrHeadTooLong):
		ans = httpcall.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Text: err.Error()}
	case errors.Is(err, httpmsg.ErrMalformedHead) || errors.Is(err, httpmsg.ErrFraming) || errors.Is(err, httpmsg.ErrConnectionOption):
		ans.Text = err.Error()
	}
	s.rejectWith(c, ans, "")
}

// rejectWith writes an error response with additional header lines and closes the connection.
func (s *Server) rejectWith(c *clientConn, ans httpcall.Rejection, lines string) {
	c.head.Release()
	if !s.setPhase(c, phaseLingering) {
		return
	}
	c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	body := ans.Text + "\n"
	length := len(body)
	if c.omitBody { // the Content-Length is that of the omitted body (RFC 9110, section 9.3.2)
		body = ""
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		ans.Status, http.StatusText(ans.Status), lines, length, body)
	s.linger(c)
}

// linger closes the sending side, then reads and discards for a while what the client still
// sends, so that the response reaches the client before a reset does.
func (s *Server) linger(c *clientConn) {
	c.SetDeadline(time.Now().Add(lingerTimeout))
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		io.CopyN(io.Discard, c.r, httpmsg.MaxBody)
	}
}
