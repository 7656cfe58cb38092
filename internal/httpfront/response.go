package httpfront

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/internal/sockets"
)

// This file writes the final responses.

// write writes the final response and reports whether the connection can be used again.
func (s *Server) write(c *clientConn, keep persistence, result engine.Result) bool {
	s.mu.Lock()
	if s.draining() || s.tooManyConns() {
		keep = connClose
	}
	s.mu.Unlock()
	status, a := http.StatusBadGateway, &emptyResponse
	switch result.Kind {
	case engine.Served:
		if served, ok := result.Reply.(*httpmsg.Response); ok {
			status, a = http.StatusOK, served
		}
	case engine.Refused:
		status = http.StatusServiceUnavailable
	}
	chunked := a.BodyRest != nil && a.Length < 0
	// HTTP/1.0 has no chunked encoding: the close of the connection ends the body.
	if chunked && c.minor == 0 {
		chunked, keep = false, connClose
	}
	b := appendStatus(c.scratch[:0], status)
	switch {
	case a.BodyRest == nil:
		b = httpmsg.AppendIntField(b, "Content-Length", int64(len(a.Body)))
	case a.Length >= 0:
		b = httpmsg.AppendIntField(b, "Content-Length", a.Length)
	case chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	b = s.appendPersistence(b, keep)
	if result.RetryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, result.RetryAfter.Seconds(), 'f', -1, 64)
		b = append(b, "\r\n"...)
	}
	if result.Replayed {
		b = append(b, httpmsg.ReplayedLine...)
	}
	if result.MayHaveRun {
		b = append(b, httpmsg.UnknownLine...)
	}
	b = append(b, a.HeaderLines...)
	b = append(b, "\r\n"...)
	if a.BodyRest != nil {
		return s.stream(c, b, a, chunked) && keep != connClose
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.writeMessage(b, a.Body) == nil && keep != connClose
}

// writeMessage writes a head and a body. A long body is not copied: while the client reads slowly, it
// is held once. head may become the buffer for the next response.
func (c *clientConn) writeMessage(head, body []byte) error {
	if len(head)+len(body) <= maxScratch {
		head, body = append(head, body...), nil
	}
	if c.scratch = nil; cap(head) <= maxScratch {
		c.scratch = head
	}
	if len(body) == 0 {
		_, err := c.Write(head)
		return err
	}
	parts := net.Buffers{head, body}
	_, err := parts.WriteTo(c.Conn)
	return err
}

// appendStatus appends the status line of a response.
func appendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, "\r\n"...)
}

// appendPersistence appends the header lines about the persistence of the connection.
func (s *Server) appendPersistence(b []byte, keep persistence) []byte {
	switch keep {
	case connClose:
		return append(b, "Connection: close\r\n"...)
	case connKeepAliveExplicit:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return append(b, s.limits.keepAliveLine...)
}

// emptyResponse is written if no server has responded.
var emptyResponse httpmsg.Response

// stream writes head and a response that is still being received, and reports whether the client
// has received all of it. If not, the connection ends in a way that shows this to the client:
// before Content-Length bytes, without the last chunk, or with a reset if only the close of the
// connection ends the body.
func (s *Server) stream(c *clientConn, head []byte, a *httpmsg.Response, chunked bool) bool {
	defer a.BodyRest.Close()
	s.setCloseDelimited(c, !chunked && a.Length < 0)
	var size [20]byte
	writePart := func(first, b []byte) error {
		parts := net.Buffers{first, b}
		if chunked {
			parts = net.Buffers{first, httpmsg.AppendChunkHead(size[:0], len(b)), b, []byte("\r\n")}
		}
		if len(b) == 0 {
			parts = net.Buffers{first}
		}
		_, err := sockets.WriteWithin(c.Conn, &parts, s.limits.streamTimeout, time.Time{}, nil)
		return err
	}
	start, sent := time.Now(), int64(len(a.Body))
	err := writePart(head, a.Body)
	a.Body = nil // a streamed response has one reader: see engine.Result
	by := "client"
	buf, release := httpmsg.CopyBuffer()
	defer release()
	for err == nil {
		var n int
		if n, err = a.BodyRest.Read(buf); err != nil {
			by = "server"
		}
		if n > 0 {
			if werr := writePart(nil, buf[:n]); werr != nil {
				err, by = werr, "client"
			} else {
				sent += int64(n)
			}
		}
	}
	if err != io.EOF {
		s.log.Warn("streamed response interrupted", "request", s.currentID(c), "by", by, "err", err, "sent", sent, "of", a.Length, "after", time.Since(start).Round(time.Millisecond))
	}
	if err == io.EOF && chunked {
		if err = writePart(lastChunk(a), nil); err == nil {
			err = io.EOF
		}
	}
	if err == io.EOF {
		s.setCloseDelimited(c, false)
	}
	return err == io.EOF
}

// currentID returns the client's ID of the request that c is serving; empty: it has none.
func (s *Server) currentID(c *clientConn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.current.request == nil {
		return ""
	}
	return c.current.request.ExternalID
}

// setCloseDelimited records whether c has an unfinished response that ends with the close of the
// connection.
func (s *Server) setCloseDelimited(c *clientConn, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closeDelimited = is
}

// lastChunk returns the end of a chunked response, with its trailers.
func lastChunk(a *httpmsg.Response) []byte {
	b := []byte("0\r\n")
	if a.Trailer != nil {
		b = append(b, a.Trailer()...)
	}
	return append(b, "\r\n"...)
}
