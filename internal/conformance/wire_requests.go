package conformance

import (
	"fmt"
	"quillfront/internal/httpcall"
	"strings"
)

// Reasons why the expected result differs between forms.
const (
	parsedByNetHTTP   = "net/http's server parses the head and accepts this; the request is then written anew with one framing"
	netHTTPStatus     = "net/http's server rejects this with a status of its own"
	applicationLimit  = "the application limits the size of a head, by http.Server.MaxHeaderBytes or its own code"
	netHTTPPipelining = "net/http's server buffers a pipelined request and serves it afterwards"
)

// handlerOnly returns an override for the handler.
func handlerOnly(want, reason string) map[string]Override {
	return map[string]Override{Handler: {want, reason}}
}

// libraryForms returns an override for the two forms that run inside an application.
func libraryForms(want, reason string) map[string]Override {
	return map[string]Override{Handler: {want, reason}, RoundTripper: {want, reason}}
}

func rawGet(target string, lines ...string) string {
	return "GET " + target + " HTTP/1.1\nHost: s\nX-Request-ID: ~ID~\n" + joinLines(lines) + "\n"
}

func rawPost(target, body string, lines ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\nHost: s\nX-Request-ID: ~ID~\nIdempotency-Key: key-~ID~\n%sContent-Length: %d\n\n%s", target, joinLines(lines), len(body), body)
}

// rawFramed returns a POST request whose framing headers are given in lines.
func rawFramed(body string, lines ...string) string {
	return "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: ~ID~\n" + joinLines(lines) + "\n" + body
}

func joinLines(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}

// Requests returns the corpus of client requests.
func Requests() []RequestCase {
	const bad = "400 close"
	chunked := "Transfer-Encoding: chunked"
	kib64 := strings.Repeat("0123456789abcdef", 4<<10)
	cases := []RequestCase{
		// Served requests, and the bytes that reach the server.
		{Name: "a plain request", Raw: rawGet("/read/k"), Want: "200 open", Sent: []string{"GET /read/k HTTP/1.1", "Host: s", "X-Request-ID: ~ID~"}, Forbidden: []string{"content-length", "connection"}},
		{Name: "a query", Raw: rawGet("/read/k?a=/../b&&c=%20;d"), Want: "200 open", Sent: []string{"GET /read/k?a=/../b&&c=%20;d HTTP/1.1"}},
		{Name: "escapes stay", Raw: rawGet("/read/a%2Fb//c/%41"), Want: "200 open", Sent: []string{"GET /read/a%2Fb//c/%41 HTTP/1.1"}},
		{Name: "an escape in the class", Raw: rawGet("/re%61d/k"), Want: "200 open", Sent: []string{"GET /re%61d/k HTTP/1.1"}},
		{Name: "characters that URLs escape", Raw: rawGet("/read/\"<k>|^`{}"), Want: "200 open", Sent: []string{"GET /read/\"<k>|^`{} HTTP/1.1"}},
		{Name: "bytes beyond ASCII", Raw: rawGet("/read/k\xc3\xa9"), Want: "200 open", Sent: []string{"GET /read/k\xc3\xa9 HTTP/1.1"}},
		{Name: "dots that are no segments", Raw: rawGet("/read/.../a..b/.c"), Want: "200 open", Sent: []string{"GET /read/.../a..b/.c HTTP/1.1"}},
		{Name: "an escape of an escape", Raw: rawGet("/read/%252e%252e/k"), Want: "200 open", Sent: []string{"GET /read/%252e%252e/k HTTP/1.1"}},
		{Name: "an encoded slash in the key", Raw: rawGet("/read/a%2fb%5cc%00"), Want: "200 open", Sent: []string{"GET /read/a%2fb%5cc%00 HTTP/1.1"}},
		{Name: "a parameter in the key", Raw: rawGet("/read/k;v=1"), Want: "200 open", Sent: []string{"GET /read/k;v=1 HTTP/1.1"}},
		{Name: "a class alone", Raw: rawGet("/read"), Want: "200 open", Sent: []string{"GET /read HTTP/1.1"}},
		{Name: "empty segments in the key", Raw: rawGet("/read//k/"), Want: "200 open", Sent: []string{"GET /read//k/ HTTP/1.1"}},
		{Name: "a long target", Raw: rawGet("/read/" + strings.Repeat("k", 6000)), Want: "200 open"},
		{Name: "an empty query", Raw: rawGet("/read/k?"), Want: "200 open", Sent: []string{"GET /read/k? HTTP/1.1"}},
		{Name: "a keyed request", Raw: rawPost("/order/k", "body"), Want: "200 open", Sent: []string{"POST /order/k HTTP/1.1", "Idempotency-Key: key-~ID~", "Content-Length: 4", "body"}},
		{Name: "an unsafe request", Raw: rawPost("/pay/k", "body"), Want: "200 open", Sent: []string{"Content-Length: 4", "body"}},
		{Name: "an optional body is absent", Raw: rawPost("/pay/k", ""), Want: "200 open", Sent: []string{"Content-Length: 0"}},
		{Name: "no length", Raw: rawFramed(""), Want: "200 open", Sent: []string{"Content-Length: 0"}},
		{Name: "a length of leading zeros", Raw: rawFramed("hello", "Content-Length: 0005"), Want: "200 open", Sent: []string{"Content-Length: 5", "hello"}},
		{Name: "an explicit length of 0 for a safe request", Raw: rawGet("/read/k", "Content-Length: 0"), Want: "200 open"},
		{Name: "64 KiB", Raw: rawPost("/pay/k", kib64), Want: "200 open", Sent: []string{"Content-Length: 65536", kib64}},
		{Name: "chunks", Raw: rawFramed("2\nhe\n3\nllo\n0\n\n", chunked), Want: "200 open", Sent: []string{"Content-Length: 5", "hello"}, Forbidden: []string{"transfer-encoding"}},
		{Name: "chunks, in another case", Raw: rawFramed("2\nhe\n3\nllo\n0\n\n", "TRANSFER-encoding:\tChunked "), Want: "200 open", Sent: []string{"Content-Length: 5", "hello"}},
		{Name: "chunks with extensions", Raw: rawFramed("5;a=b;c=\"d\"\nhello\n0;z\n\n", chunked), Want: "200 open", Sent: []string{"Content-Length: 5", "hello"}},
		{Name: "chunks with leading zeros", Raw: rawFramed("0005\nhello\n000\n\n", chunked), Want: "200 open", Sent: []string{"Content-Length: 5", "hello"}},
		{Name: "chunks in upper case", Raw: rawFramed("A\n0123456789\n0\n\n", chunked), Want: "200 open", Sent: []string{"Content-Length: 10"}},
		{Name: "no chunk but the last", Raw: rawFramed("0\n\n", chunked), Want: "200 open", Sent: []string{"Content-Length: 0"}},
		{Name: "64 KiB in a chunk", Raw: rawFramed("10000\n"+kib64+"\n0\n\n", chunked), Want: "200 open", Sent: []string{"Content-Length: 65536", kib64}},
		{Name: "a trailer is dropped", Raw: rawFramed("5\nhello\n0\nX-Late: 1\nIdempotency-Key: other\n\n", chunked, "Idempotency-Key: mine"), Want: "200 open", Sent: []string{"Idempotency-Key: mine"}, Forbidden: []string{"other", "x-late"}},
		{Name: "100-continue", Raw: rawPost("/pay/k", "body", "Expect: 100-continue"), Want: "200 open", Sent: []string{"body"}, Forbidden: []string{"expect"}},
		{Name: "100-continue without a body", Raw: rawPost("/pay/k", "", "Expect: 100-continue"), Want: "200 open", Forbidden: []string{"expect"}},
		{Name: "names in lower case", Raw: "GET /read/k HTTP/1.1\nhost: s\nx-request-id: ~ID~\n\n", Want: "200 open"},
		{Name: "white space round a value", Raw: rawGet("/read/k", "X-Novel: \t a b \t"), Want: "200 open", Sent: []string{"X-Novel: a b"}},
		{Name: "no white space before a value", Raw: rawGet("/read/k", "X-Novel:a"), Want: "200 open", Sent: []string{"X-Novel: a"}},
		{Name: "an empty value", Raw: rawGet("/read/k", "X-Novel:"), Want: "200 open", Sent: []string{"X-Novel: "}},
		{Name: "colons in a value", Raw: rawGet("/read/k", "X-Novel: a:b::c"), Want: "200 open", Sent: []string{"X-Novel: a:b::c"}},
		{Name: "bytes beyond ASCII in a value", Raw: rawGet("/read/k", "X-Novel: \xe9"), Want: "200 open", Sent: []string{"X-Novel: \xe9"}},
		{Name: "all characters of a name", Raw: rawGet("/read/k", "!#$%&'*+-.^_`|~09Az: 1"), Want: "200 open"},
		{Name: "two lines of one name", Raw: rawGet("/read/k", "X-Novel: 1", "X-Novel: 2"), Want: "200 open", Sent: []string{"X-Novel: 1", "X-Novel: 2"}},
		{Name: "line feeds alone", Raw: rawGet("/read/k"), Exact: true, Want: "200 open", Sent: []string{"X-Request-ID: ~ID~"}},
		{Name: "a thousand short lines", Raw: rawGet("/read/k", strings.TrimSuffix(strings.Repeat("A: 1\n", 1000), "\n")), Want: "200 open"},
		{Name: "a host with a port", Raw: "GET /read/k HTTP/1.1\nHost: S.example.:8080\nX-Request-ID: ~ID~\n\n", Want: "200 open", Sent: []string{"Host: S.example.:8080"}},
		{Name: "an IPv6 host", Raw: "GET /read/k HTTP/1.1\nHost: [2001:db8::1]:80\nX-Request-ID: ~ID~\n\n", Want: "200 open", Sent: []string{"Host: [2001:db8::1]:80"}},
		{Name: "HTTP/1.0", Raw: "GET /read/k HTTP/1.0\nHost: s\nX-Request-ID: ~ID~\n\n", Want: "200 close", Sent: []string{"GET /read/k HTTP/1.1"}},
		{Name: "HTTP/1.0 without a host", Raw: "GET /read/k HTTP/1.0\nX-Request-ID: ~ID~\n\n", Want: "200 close"},
		{Name: "HTTP/1.0 that is kept", Raw: "GET /read/k HTTP/1.0\nHost: s\nX-Request-ID: ~ID~\nConnection: keep-alive\n\n", Want: "200 open"},
		{Name: "Connection: close", Raw: rawGet("/read/k", "Connection: close"), Want: "200 close", Forbidden: []string{"connection"}},
		{Name: "Connection: close among others", Raw: rawGet("/read/k", "Connection: x-a,, CLOSE ,", "X-A: 1"), Want: "200 close", Forbidden: []string{"x-a", "connection"}},
		{Name: "Connection: keep-alive", Raw: rawGet("/read/k", "Connection: keep-alive", "Keep-Alive: timeout=9999"), Want: "200 open", Forbidden: []string{"keep-alive"}},
		{Name: "close and keep-alive", Raw: rawGet("/read/k", "Connection: keep-alive, close"), Want: "200 close"},
		{Name: "a header nominated by Connection", Raw: rawGet("/read/k", "Connection: X-Mine, x-other", "x-mine: 1", "X-OTHER: 2", "X-Third: 3"), Want: "200 open", Sent: []string{"X-Third: 3"}, Forbidden: []string{"x-mine", "x-other"}},
		{Name: "hop-by-hop headers", Raw: rawGet("/read/k", "TE: trailers", "Proxy-Connection: keep-alive", "Proxy-Authorization: Basic x", "Upgrade: h2c", "Connection: TE, Upgrade"), Want: "200 open", Forbidden: []string{"te:", "proxy-", "upgrade"}},
		{Name: "an upgrade is ignored", Raw: rawGet("/read/k", "Connection: Upgrade", "Upgrade: websocket", "Sec-Websocket-Key: x"), Want: "200 open", Sent: []string{"Sec-Websocket-Key: x"}, Forbidden: []string{"upgrade"}},
		{Name: "a trailer that is announced", Raw: rawFramed("0\nX-Late: 1\n\n", chunked, "Trailer: X-Late"), Want: "200 open", Forbidden: []string{"trailer:", "x-late"}},
		{Name: "response headers in a request", Raw: rawGet("/read/k", "X-Not-Processed: 1", "Retry-After: 9", "X-Server-Load: TEXT queue=1"), Want: "200 open", Sent: []string{"X-Not-Processed: 1"}},
		{Name: "malformed hints", Raw: rawGet("/read/k", "X-Cost: many", "X-Cost: 7", "X-Retried: yes", "X-Retried: 1", "X-Attrs: ,,=,"), Want: "200 open", Sent: []string{"X-Cost: many", "X-Attrs: ,,=,"}},
		{Name: "the longest timeout", Raw: rawGet("/read/k", "X-Timeout-Ms: 18446744073709551615"), Want: "200 open"},
		{Name: "an empty timeout", Raw: rawGet("/read/k", "X-Timeout-Ms:"), Want: "200 open"},
		{Name: "the longest key", Raw: rawFramed("", "Idempotency-Key: "+strings.Repeat("k", httpcall.MaxIdentifierLength)), Want: "200 open"},
		{Name: "cookies and authorization", Raw: rawGet("/read/k", "Cookie: a=b; c=d", "Authorization: Bearer x.y"), Want: "200 open", Sent: []string{"Cookie: a=b; c=d", "Authorization: Bearer x.y"}},
		{Name: "health", Raw: "GET /healthz HTTP/1.1\nHost: s\n\n", Want: "200 open", SocketsOnly: "a round tripper has no listener to ask"},

		// Message framing.
		{Name: "a length and chunks", Raw: rawFramed("0\n\nGET /read/smuggled HTTP/1.1\nHost: s\nX-Request-ID: ~ID~x\n\n", "Content-Length: 60", chunked), Want: bad, Overrides: handlerOnly("200 200 open", parsedByNetHTTP+"; the bytes after the chunks are the next request to it")},
		{Name: "chunks and a length", Raw: rawFramed("0\n\n", chunked, "Content-Length: 5"), Want: bad, Overrides: handlerOnly("200 open", parsedByNetHTTP)},
		{Name: "one length twice", Raw: rawFramed("hello", "Content-Length: 5", "Content-Length: 5"), Want: bad, Overrides: handlerOnly("200 open", parsedByNetHTTP)},
		{Name: "two lengths", Raw: rawFramed("hello", "Content-Length: 5", "Content-Length: 6"), Want: bad},
		{Name: "a list of lengths", Raw: rawFramed("hello", "Content-Length: 5, 5"), Want: bad},
		{Name: "a length that is negative", Raw: rawFramed("hello", "Content-Length: -5"), Want: bad},
		{Name: "a length with a sign", Raw: rawFramed("hello", "Content-Length: +5"), Want: bad},
		{Name: "a length in hexadecimal", Raw: rawFramed("hello", "Content-Length: 0x5"), Want: bad},
		{Name: "a length with a point", Raw: rawFramed("hello", "Content-Length: 5.0"), Want: bad},
		{Name: "a length with white space inside", Raw: rawFramed("hello", "Content-Length: 5 5"), Want: bad},
		{Name: "a length of a word", Raw: rawFramed("hello", "Content-Length: five"), Want: bad},
		{Name: "an empty length", Raw: rawFramed("", "Content-Length:"), Want: bad},
		{Name: "a length beyond 64 bits", Raw: rawFramed("", "Content-Length: 18446744073709551621"), Want: bad},
		{Name: "a length over the limit", Raw: rawFramed("", "Content-Length: 33554433"), Want: "413 close"},
		{Name: "a length of 60 MB", Raw: rawFramed("hello", "Content-Length: 60000000"), Want: "413 close"},
		{Name: "too long, with 100-continue", Raw: rawFramed("", "Content-Length: 33554433", "Expect: 100-continue"), Want: "413 close"},
		{Name: "white space before the colon of a length", Raw: rawFramed("hello", "Content-Length : 5"), Want: bad},
		{Name: "another coding", Raw: rawFramed("0\n\n", "Transfer-Encoding: xchunked"), Want: bad, Overrides: handlerOnly("501 close", netHTTPStatus)},
		{Name: "two codings", Raw: rawFramed("0\n\n", "Transfer-Encoding: gzip, chunked"), Want: bad, Overrides: handlerOnly("501 close", netHTTPStatus)},
		{Name: "identity", Raw: rawFramed("0\n\n", "Transfer-Encoding: identity"), Want: bad, Overrides: handlerOnly("501 close", netHTTPStatus)},
		{Name: "chunked twice", Raw: rawFramed("0\n\n", chunked, chunked), Want: bad, Overrides: handlerOnly("501 close", netHTTPStatus)},
		{Name: "chunked in a list", Raw: rawFramed("0\n\n", "Transfer-Encoding: chunked, chunked"), Want: bad, Overrides: handlerOnly("501 close", netHTTPStatus)},
		{Name: "chunked with a parameter", Raw: rawFramed("0\n\n", "Transfer-Encoding: chunked;q=1"), Want: bad, Overrides: handlerOnly("501 close", netHTTPStatus)},
		{Name: "chunked behind a vertical tab", Raw: rawFramed("0\n\n", "Transfer-Encoding: \vchunked"), Want: bad},
		{Name: "chunked in quotes", Raw: rawFramed("0\n\n", "Transfer-Encoding: \"chunked\""), Want: bad, Overrides: handlerOnly("501 close", netHTTPStatus)},
		{Name: "an empty coding", Raw: rawFramed("0\n\n", "Transfer-Encoding:"), Want: bad, Overrides: handlerOnly("501 close", netHTTPStatus)},
		{Name: "white space before the colon of a coding", Raw: rawFramed("0\n\n", "Transfer-Encoding : chunked"), Want: bad},
		{Name: "a coding on a folded line", Raw: rawFramed("0\n\n", "Transfer-Encoding:", " chunked"), Want: bad, Overrides: handlerOnly("200 open", parsedByNetHTTP)},
		{Name: "a coding hidden behind a bare CR", Raw: rawFramed("0\n\n", "X-A: b\rTransfer-Encoding: chunked"), Want: bad},
		{Name: "chunks from HTTP/1.0", Raw: "POST /pay/k HTTP/1.0\nHost: s\nX-Request-ID: ~ID~\nTransfer-Encoding: chunked\n\n0\n\n", Want: bad, Overrides: handlerOnly("200 close", parsedByNetHTTP+", without the body that HTTP/1.0 cannot have")},
		{Name: "a chunk size that is no number", Raw: rawFramed("zz\nhello\n0\n\n", chunked), Want: bad},
		{Name: "a negative chunk", Raw: rawFramed("-5\nhello\n0\n\n", chunked), Want: bad},
		{Name: "a chunk with 0x", Raw: rawFramed("0x5\nhello\n0\n\n", chunked), Want: bad},
		{Name: "a chunk without a size", Raw: rawFramed("\nhello\n0\n\n", chunked), Want: bad},
		{Name: "a chunk beyond 64 bits", Raw: rawFramed("10000000000000005\nhello\n0\n\n", chunked), Want: bad},
		{Name: "a chunk that is longer than it says", Raw: rawFramed("3\nhello\n0\n\n", chunked), Want: bad},
		{Name: "a chunk that is shorter than it says", Raw: rawFramed("9\nhello\n0\n\n", chunked), HalfClose: true, Want: bad},
		{Name: "chunks without an end", Raw: rawFramed("5\nhello\n", chunked), HalfClose: true, Want: bad},
		{Name: "chunks without their last line", Raw: rawFramed("5\nhello\n0\n", chunked), HalfClose: true, Want: bad},
		{Name: "chunks beyond the buffer", Raw: rawFramed("10001\n"+kib64+"x\n0\n\n", chunked), Want: "200 open"},
		{Name: "chunks one byte beyond the buffer", Raw: rawFramed("10000\n"+kib64+"\n1\nx\n0\n\n", chunked), Want: "200 open"},
		{Name: "a trailer over the limit", Raw: rawFramed("0\n"+strings.Repeat("X-Late: 1\n", 2000)+"\n", chunked), Want: bad},
		{Name: "a malformed trailer", Raw: rawFramed("0\nnonsense\n\n", chunked), Want: bad},
		{Name: "a trailer with white space in a name", Raw: rawFramed("0\nX A: b\n\n", chunked), Want: bad, Overrides: libraryForms("200 open", parsedByNetHTTP+", without the trailer")},
		{Name: "half a body", Raw: rawFramed("hel", "Content-Length: 5"), HalfClose: true, Want: bad},
		{Name: "a body of a safe request", Raw: rawGet("/read/k", "Content-Length: 5") + "hello", Want: bad},
		{Name: "chunks of a safe request", Raw: rawGet("/read/k", chunked) + "0\n\n", Want: bad},
		{Name: "a pipelined request", Raw: rawGet("/read/k") + strings.ReplaceAll(rawGet("/read/l"), "~ID~", "~ID~-2"), Want: bad, Overrides: handlerOnly("200 200 open", netHTTPPipelining)},
		{Name: "a pipelined request after a body", Raw: rawPost("/pay/k", "body") + strings.ReplaceAll(rawGet("/read/l"), "~ID~", "~ID~-2"), Want: bad, Overrides: handlerOnly("200 200 open", netHTTPPipelining)},
		{Name: "more than the length", Raw: rawFramed("hello and more", "Content-Length: 5"), Want: bad, Overrides: handlerOnly("200 close", netHTTPPipelining+"; here it is no request")},

		// Heads that cannot be read.
		{Name: "no HTTP", Raw: "HELLO\n\n", Want: bad},
		{Name: "a hello of TLS", Raw: "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", Exact: true, Want: bad},
		{Name: "the preface of HTTP/2", Raw: "PRI * HTTP/2.0\n\nSM\n\n", Want: bad},
		{Name: "HTTP/0.9", Raw: "GET /read/k\n\n", Want: bad},
		{Name: "HTTP/2.0", Raw: strings.Replace(rawGet("/read/k"), "HTTP/1.1", "HTTP/2.0", 1), Want: bad, Overrides: handlerOnly("505 close", netHTTPStatus)},
		{Name: "HTTP/1.2", Raw: strings.Replace(rawGet("/read/k"), "HTTP/1.1", "HTTP/1.2", 1), Want: bad, Overrides: handlerOnly("200 open", parsedByNetHTTP)},
		{Name: "HTTP/01.1", Raw: strings.Replace(rawGet("/read/k"), "HTTP/1.1", "HTTP/01.1", 1), Want: bad},
		{Name: "http in lower case", Raw: strings.Replace(rawGet("/read/k"), "HTTP/1.1", "http/1.1", 1), Want: bad},
		{Name: "something behind the version", Raw: strings.Replace(rawGet("/read/k"), "HTTP/1.1", "HTTP/1.1 x", 1), Want: bad},
		{Name: "two spaces in the first line", Raw: strings.Replace(rawGet("/read/k"), "GET ", "GET  ", 1), Want: bad},
		{Name: "a tab in the first line", Raw: strings.Replace(rawGet("/read/k"), "GET ", "GET\t", 1), Want: bad},
		{Name: "a space before the method", Raw: " " + rawGet("/read/k"), Want: bad},
		{Name: "a line before the first", Raw: "\n" + rawGet("/read/k"), Want: bad},
		{Name: "a method of other characters", Raw: strings.Replace(rawGet("/read/k"), "GET", "G(ET", 1), Want: bad},
		{Name: "no method", Raw: strings.Replace(rawGet("/read/k"), "GET ", " ", 1), Want: bad},
		{Name: "a line without a colon", Raw: rawGet("/read/k", "nonsense"), Want: bad},
		{Name: "a line without a name", Raw: rawGet("/read/k", ": x"), Want: bad},
		{Name: "white space in a name", Raw: rawGet("/read/k", "X A: b"), Want: bad},
		{Name: "white space before a name", Raw: "GET /read/k HTTP/1.1\n X-A: b\nHost: s\nX-Request-ID: ~ID~\n\n", Want: bad},
		{Name: "a tab before the colon", Raw: rawGet("/read/k", "X-A\t: b"), Want: bad},
		{Name: "a name beyond ASCII", Raw: rawGet("/read/k", "X-\xe9: b"), Want: bad},
		{Name: "a parenthesis in a name", Raw: rawGet("/read/k", "X(A): b"), Want: bad},
		{Name: "a NUL in a value", Raw: rawGet("/read/k", "X-A: \x00"), Want: bad},
		{Name: "a NUL in a name", Raw: rawGet("/read/k", "X-\x00A: b"), Want: bad},
		{Name: "a bare CR in a value", Raw: rawGet("/read/k", "X-A: b\rc"), Want: bad},
		{Name: "a bell in a value", Raw: rawGet("/read/k", "X-A: \a"), Want: bad},
		{Name: "a DEL in a value", Raw: rawGet("/read/k", "X-A: \x7f"), Want: bad},
		{Name: "a folded line", Raw: rawGet("/read/k", "X-A: b", " c"), Want: bad, Overrides: handlerOnly("200 open", parsedByNetHTTP)},
		{Name: "a line folded with a tab", Raw: rawGet("/read/k", "X-A: b", "\tX-Request-ID: other"), Want: bad, Overrides: handlerOnly("200 open", parsedByNetHTTP)},
		{Name: "a head over the limit", Raw: rawGet("/read/k", "X-A: "+strings.Repeat("x", 20_000)), Want: "431 close", Overrides: libraryForms("200 open", applicationLimit)},
		{Name: "headers over the limit", Raw: rawGet("/read/k", strings.TrimSuffix(strings.Repeat("A: 1\n", 4000), "\n")), Want: "431 close", Overrides: libraryForms("200 open", applicationLimit)},
		{Name: "a target over the limit", Raw: rawGet("/read/" + strings.Repeat("k", 20_000)), Want: "431 close", Overrides: libraryForms("200 open", applicationLimit)},
		{Name: "half a head", Raw: "GET /read/k HTTP/1.1\nHost", HalfClose: true, Want: "close", Overrides: handlerOnly("400 close", netHTTPStatus)},
		{Name: "nothing", Raw: "", HalfClose: true, Want: "close"},

		// Hosts.
		{Name: "no host", Raw: "GET /read/k HTTP/1.1\nX-Request-ID: ~ID~\n\n", Want: bad, SocketsOnly: "a round tripper takes the host of the URL"},
		{Name: "an empty host", Raw: "GET /read/k HTTP/1.1\nHost:\nX-Request-ID: ~ID~\n\n", Want: bad},
		{Name: "two hosts", Raw: "GET /read/k HTTP/1.1\nHost: s\nHost: t\nX-Request-ID: ~ID~\n\n", Want: bad},
		{Name: "one host twice", Raw: "GET /read/k HTTP/1.1\nHost: s\nHost: s\nX-Request-ID: ~ID~\n\n", Want: bad},
	}
	for _, host := range []string{"a b", "a b/c", "a/c", "u@s", "s?x", "s\\x", "a\tb", "[::1", "[s]", "::1", "s:x", "s:99999", ":80", "a%zz", "[::1%eth0]", "h\xc3\xa9", "http://s"} {
		cases = append(cases, RequestCase{Name: "the host " + host, Raw: "GET /read/k HTTP/1.1\nHost: " + host + "\nX-Request-ID: ~ID~\n\n", Want: bad})
	}
	for _, target := range []string{
		"/read/../order/k", "/read/%2e%2e/order/k", "/read/.%2E/order/k", "/read%2f..%2forder%2fk", "/read/x%2f..%2f..%2forder", "/read/..", "/read/.",
		"/./read/k", "/../read/k", "/read/..;/order/k", "/read/..%3bv/order", "/read\\..\\order", "/read/x\\..\\..\\order", "/read%5c..%5corder",
		"/re%00ad/k", "/read%0d%0a/k", "/read%7f/k", "/read%2fk", "/read%5ck", "/read\\k", "/read/%", "/read/%2", "/read/%zz", "/read/k#x", "/read/k?a#b",
		"read/k", "?read", "*", "s:80",
	} {
		cases = append(cases, RequestCase{Name: "the target " + target, Raw: rawGet(target), Want: bad})
	}
	cases = append(cases,
		RequestCase{Name: "a whole URL for a target", Raw: rawGet("http://s/read/k"), Want: bad, Overrides: handlerOnly("200 open", parsedByNetHTTP)},
		RequestCase{Name: "a control in the target", Raw: rawGet("/read/\x01"), Want: bad},
		RequestCase{Name: "a space in the target", Raw: rawGet("/read/a b"), Want: bad},

		// Headers, classes and methods that the protocol requires.
		RequestCase{Name: "no id", Raw: "GET /read/k HTTP/1.1\nHost: s\n\n", Want: bad, SocketsOnly: "a round tripper makes one up"},
		RequestCase{Name: "an empty id", Raw: "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID:\n\n", Want: bad, SocketsOnly: "a round tripper makes one up"},
		RequestCase{Name: "two ids", Raw: rawGet("/read/k", "X-Request-ID: ~ID~-2"), Want: bad},
		RequestCase{Name: "one id twice", Raw: rawGet("/read/k", "x-request-id: ~ID~"), Want: bad},
		RequestCase{Name: "an ID over the limit", Raw: "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: " + strings.Repeat("i", httpcall.MaxIdentifierLength+1) + "\n\n", Want: bad},
		RequestCase{Name: "no key", Raw: "POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: ~ID~\nContent-Length: 0\n\n", Want: bad},
		RequestCase{Name: "an empty key", Raw: "POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: ~ID~\nIdempotency-Key:\nContent-Length: 0\n\n", Want: bad},
		RequestCase{Name: "two keys", Raw: rawPost("/order/k", "", "Idempotency-Key: other"), Want: bad},
		RequestCase{Name: "two keys, one empty", Raw: rawPost("/order/k", "", "idempotency-key:"), Want: bad},
		RequestCase{Name: "a key over the limit", Raw: rawFramed("", "Idempotency-Key: "+strings.Repeat("k", httpcall.MaxIdentifierLength+1)), Want: bad},
		RequestCase{Name: "two timeouts", Raw: rawGet("/read/k", "X-Timeout-Ms: 5", "X-Timeout-Ms: 500"), Want: bad},
		RequestCase{Name: "two tenants", Raw: rawGet("/read/k", "X-Tenant-Id: a", "X-Tenant-Id: b"), Want: bad},
		RequestCase{Name: "another class", Raw: rawGet("/novel/k"), Want: "404 close"},
		RequestCase{Name: "a class in another case", Raw: rawGet("/READ/k"), Want: "404 close"},
		RequestCase{Name: "an empty class", Raw: rawGet("//read/k"), Want: "404 close"},
		RequestCase{Name: "no class", Raw: rawGet("/"), Want: "404 close"},
		RequestCase{Name: "a parameter in the class", Raw: rawGet("/read;v=1/k"), Want: "404 close"},
		RequestCase{Name: "a query for a class", Raw: rawGet("/?read"), Want: "404 close"},
		RequestCase{Name: "health with a query", Raw: rawGet("/healthz?x"), Want: "404 close"},
		RequestCase{Name: "health that is posted", Raw: rawPost("/healthz", ""), Want: "404 close"},
		RequestCase{Name: "a get of a keyed class", Raw: rawGet("/order/k", "Idempotency-Key: k"), Want: "405 close"},
		RequestCase{Name: "a post of a safe class", Raw: rawPost("/read/k", ""), Want: "405 close"},
		RequestCase{Name: "a method in lower case", Raw: strings.Replace(rawGet("/read/k"), "GET", "get", 1), Want: "405 close"},
	)
	for _, method := range []string{"PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "NOVEL"} {
		cases = append(cases, RequestCase{Name: "the method " + method, Raw: strings.Replace(rawPost("/pay/k", ""), "POST", method, 1), Want: "405 close"})
	}
	cases = append(cases, RequestCase{Name: "the method HEAD", Head: true, Raw: strings.Replace(rawGet("/read/k"), "GET", "HEAD", 1), Want: "405 close"})
	for _, wait := range []string{"0", "-4", "soon", "1e3", "1.5", "99999999999999999999", "5 5", "0x5"} {
		cases = append(cases, RequestCase{Name: "the timeout " + wait, Raw: rawGet("/read/k", "X-Timeout-Ms: "+wait), Want: bad})
	}
	for _, option := range []string{
		"Idempotency-Key", "close, idempotency-KEY", "keep-alive,\tIdempotency-Key ,", "X-Request-ID", "X-Timeout-Ms", "X-Tenant-Id", "X-Cost", "X-Retried",
		"Host", "Content-Type", "Content-Length", "Authorization", "Cookie", "X-A, X-Request-Id", "X-Attrs", "Traceparent",
	} {
		cases = append(cases, RequestCase{
			Name: "Connection: " + option, Raw: rawPost("/order/k", "body", "Connection: "+option, "Content-Type: text/plain"), Want: bad,
		})
	}
	cases = append(cases, RequestCase{
		Name: "a key nominated in a second line", Raw: rawPost("/order/k", "", "Connection: keep-alive", "Connection: Idempotency-Key"), Want: bad,
	})
	return cases
}
