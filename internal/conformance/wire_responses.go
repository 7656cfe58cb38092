package conformance

import "strings"

// Responses returns the corpus of server responses.
func Responses() []ResponseCase {
	kib64 := strings.Repeat("0123456789abcdef", 4<<10)
	ok := "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"
	head := func(lines ...string) string { return "HTTP/1.1 200 OK\n" + joinLines(lines) + "\n" }
	chunked := "Transfer-Encoding: chunked"
	served := func(name, raw, body string) ResponseCase {
		return ResponseCase{Name: name, Raw: raw, Want: Served, Body: body, Reused: true}
	}
	// The request may have run, and nothing of the malformed response reaches the client.
	malformed := func(name, raw string) ResponseCase { return ResponseCase{Name: name, Raw: raw, Want: Failed} }
	cases := []ResponseCase{
		// Valid responses.
		served("a length", ok, "ok"),
		served("no body", "HTTP/1.1 200 OK\nContent-Length: 0\n\n", ""),
		served("no reason", "HTTP/1.1 200 \nContent-Length: 2\n\nok", "ok"),
		served("no space behind the code", "HTTP/1.1 200\nContent-Length: 2\n\nok", "ok"),
		served("a reason of many words", "HTTP/1.1 200 It went well: yes\nContent-Length: 2\n\nok", "ok"),
		served("chunks", head(chunked)+"1\no\n1\nk\n0\n\n", "ok"),
		served("chunks with extensions", head(chunked)+"2;a=b\nok\n0\n\n", "ok"),
		served("chunks and a trailer", head(chunked, "Trailer: X-Late")+"2\nok\n0\nX-Late: 1\n\n", "ok"),
		served("an empty body in chunks", head(chunked)+"0\n\n", ""),
		served("64 KiB", head("Content-Length: 65536")+kib64, kib64),
		served("one byte beyond the buffer", head("Content-Length: 65537")+kib64+"x", kib64+"x"),
		served("one byte beyond the buffer, in chunks", head(chunked)+"10001\n"+kib64+"x\n0\n\n", kib64+"x"),
		served("64 KiB in chunks", head(chunked)+"10000\n"+kib64+"\n0\n\n", kib64),
		served("a length of leading zeros", head("Content-Length: 002")+"ok", "ok"),
		served("an interim answer", "HTTP/1.1 100 Continue\n\n"+ok, "ok"),
		served("four interim answers", strings.Repeat("HTTP/1.1 103 Early Hints\nLink: x\n\n", 4)+ok, "ok"),
		served("102 and 100", "HTTP/1.1 102 Processing\n\nHTTP/1.1 100 Continue\n\n"+ok, "ok"),
		{Name: "line feeds alone", Raw: ok, Exact: true, Want: Served, Body: "ok", Reused: true},
		{Name: "Connection: close", Raw: head("Connection: close", "Content-Length: 2") + "ok", Want: Served, Body: "ok"},
		{Name: "HTTP/1.0", Raw: "HTTP/1.0 200 OK\nContent-Length: 2\n\nok", Want: Served, Body: "ok"},
		{Name: "HTTP/1.0 that is kept", Raw: "HTTP/1.0 200 OK\nConnection: keep-alive\nContent-Length: 2\n\nok", Want: Served, Body: "ok", Reused: true},
		{Name: "a body delimited by the close", Raw: head() + "ok", CloseAfter: true, Want: Served, Body: "ok"},
		{Name: "headers are forwarded", Raw: head("Content-Type: text/plain", "X-Two: a", "X-Two: b", "ETag: \"x\"", "Content-Length: 2") + "ok", Want: Served, Body: "ok", Reused: true,
			Headers: []string{"Content-Type: text/plain", "X-Two: a", "X-Two: b", "Etag: \"x\""}},
		{Name: "nominated headers are not forwarded", Raw: head("Connection: X-Mine", "X-Mine: 1", "X-Other: 2", "Content-Length: 2") + "ok", Want: Served, Body: "ok", Reused: true,
			Headers: []string{"X-Other: 2"}, Forbidden: []string{"X-Mine"}},
		{Name: "hop-by-hop headers are not forwarded", Raw: head("Keep-Alive: timeout=77", "Proxy-Authenticate: Basic", "Upgrade: h2c", "Content-Length: 2") + "ok", Want: Served, Body: "ok", Reused: true,
			Forbidden: []string{"Keep-Alive: timeout=77", "Proxy-Authenticate", "Upgrade"}},
		{Name: "Retry-After on a served response", Raw: head("Retry-After: 9", "Content-Length: 2") + "ok", Want: Served, Body: "ok", Reused: true, Headers: []string{"Retry-After: 9"}},
		{Name: "a malformed load report", Raw: head("X-Server-Load: TEXT queue=-1,,=;;util=NaN", "Content-Length: 2") + "ok", Want: Served, Body: "ok", Reused: true},
		{Name: "X-Not-Processed on a served response", Raw: head("X-Not-Processed: 1", "Content-Length: 2") + "ok", Want: Served, Body: "ok", Reused: true},
		{Name: "cookies", Raw: head("Set-Cookie: a=b", "Set-Cookie: c=d", "Content-Length: 2") + "ok", Want: Served, Body: "ok", Reused: true, Headers: []string{"Set-Cookie: a=b", "Set-Cookie: c=d"}},

		// Valid responses followed by surplus bytes: the connection is not reused.
		{Name: "a second copy behind", Raw: ok + ok, Want: Served, Body: "ok"},
		{Name: "noise behind", Raw: ok + "\x00\x01\x02", Want: Served, Body: "ok"},
		{Name: "an interim answer behind", Raw: ok + "HTTP/1.1 100 Continue\n\n", Want: Served, Body: "ok"},
		{Name: "a line behind", Raw: ok + "\n", Want: Served, Body: "ok"},
		{Name: "more chunks behind", Raw: head(chunked) + "2\nok\n0\n\n2\nok\n0\n\n", Want: Served, Body: "ok"},

		// Malformed and incomplete responses.
		malformed("noise", "\x00\x01\x02\x03\n\n"),
		malformed("words", "HELLO\n\n"),
		malformed("another protocol", "SSH-2.0-x\n\n"),
		malformed("HTTP/2.0", strings.Replace(ok, "HTTP/1.1", "HTTP/2.0", 1)),
		malformed("http in lower case", strings.Replace(ok, "HTTP/1.1", "http/1.1", 1)),
		malformed("no version", "200 OK\nContent-Length: 2\n\nok"),
		malformed("a code of two digits", strings.Replace(ok, "200", "20", 1)),
		malformed("a code of four digits", strings.Replace(ok, "200", "2000", 1)),
		malformed("a negative code", strings.Replace(ok, "200", "-20", 1)),
		malformed("a code under 100", strings.Replace(ok, "200", "099", 1)),
		malformed("two spaces before the code", strings.Replace(ok, " 200", "  200", 1)),
		malformed("a line before it", "\n"+ok),
		malformed("two lengths", head("Content-Length: 2", "Content-Length: 3")+"ok"),
		malformed("one length twice", head("Content-Length: 2", "Content-Length: 2")+"ok"),
		malformed("a list of lengths", head("Content-Length: 2, 2")+"ok"),
		malformed("a length and chunks", head("Content-Length: 2", chunked)+"2\nok\n0\n\n"),
		malformed("a negative length", head("Content-Length: -2")+"ok"),
		malformed("a length with a sign", head("Content-Length: +2")+"ok"),
		malformed("a length of a word", head("Content-Length: two")+"ok"),
		malformed("a length of 3 GB", head("Content-Length: 3221225472")+"ok"),
		malformed("a length over the limit", head("Content-Length: 33554433")+kib64+"x"),
		malformed("chunks from HTTP/1.0", "HTTP/1.0 200 OK\n"+chunked+"\n\n2\nok\n0\n\n"),
		malformed("a malformed trailer", head(chunked)+"2\nok\n0\nnonsense\n\n"),
		malformed("another coding", head("Transfer-Encoding: gzip")+"ok"),
		malformed("two codings", head("Transfer-Encoding: gzip, chunked")+"2\nok\n0\n\n"),
		malformed("a chunk size that is no number", head(chunked)+"zz\nok\n0\n\n"),
		malformed("a negative chunk", head(chunked)+"-2\nok\n0\n\n"),
		malformed("a chunk that is longer than it says", head(chunked)+"1\nok\n0\n\n"),
		malformed("a trailer over the limit", head(chunked)+"2\nok\n0\n"+strings.Repeat("X-Late: 1\n", 1000)+"\n"),
		malformed("a folded line", head("X-A: b", " c", "Content-Length: 2")+"ok"),
		malformed("white space in a name", head("X A: b", "Content-Length: 2")+"ok"),
		malformed("white space before a colon", head("Content-Length : 2")+"ok"),
		malformed("a line without a colon", head("nonsense", "Content-Length: 2")+"ok"),
		malformed("a bare CR", head("X-A: b\rContent-Length: 9", "Content-Length: 2")+"ok"),
		malformed("a NUL in a value", head("X-A: \x00", "Content-Length: 2")+"ok"),
		malformed("a head over the limit", head("X-A: "+strings.Repeat("x", 20_000), "Content-Length: 2")+"ok"),
		malformed("five interim answers", strings.Repeat("HTTP/1.1 103 Early Hints\n\n", 5)+ok),
		malformed("a malformed interim response", "HTTP/1.1 103 Early Hints\nnonsense\n\n"+ok),
		malformed("a type that is nominated", head("Connection: close, content-type", "Content-Type: a/b", "Content-Length: 2")+"ok"),
		malformed("a Retry-After that is nominated", head("Connection: Retry-After", "Retry-After: 1", "Content-Length: 2")+"ok"),
		malformed("a load report that is nominated", head("Connection: X-Server-Load", "X-Server-Load: TEXT queue=1", "Content-Length: 2")+"ok"),
		{Name: "X-Not-Processed that is nominated", Raw: "HTTP/1.1 503 No\nConnection: X-Not-Processed\nX-Not-Processed: 1\nContent-Length: 0\n\n", Want: Failed},
		{Name: "nothing, and the end", Raw: "", CloseAfter: true, Want: Failed},
		{Name: "half a head, and the end", Raw: "HTTP/1.1 200 OK\nContent-", CloseAfter: true, Want: Failed},
		{Name: "half a body, and the end", Raw: head("Content-Length: 9") + "half", CloseAfter: true, Want: Failed},
		{Name: "half a chunk, and the end", Raw: head(chunked) + "9\nhalf", CloseAfter: true, Want: Failed},
		{Name: "no last chunk, and the end", Raw: head(chunked) + "2\nok\n", CloseAfter: true, Want: Failed},
		{Name: "no last line, and the end", Raw: head(chunked) + "2\nok\n0\n", CloseAfter: true, Want: Failed},
		{Name: "an interim answer, and the end", Raw: "HTTP/1.1 100 Continue\n\n", CloseAfter: true, Want: Failed},
		{Name: "silence", Raw: "", TimeoutMs: "300", Want: Failed},
		{Name: "silence in the head", Raw: "HTTP/1.1 200 OK\nContent-", Want: Failed},
		{Name: "silence in the body", Raw: head("Content-Length: 9") + "half", Want: Failed},

		// Other status codes.
		{Name: "500", Raw: "HTTP/1.1 500 Oh\nContent-Length: 2\n\nno", Want: Failed, Reused: true},
		{Name: "500 with X-Not-Processed", Raw: "HTTP/1.1 500 Oh\nX-Not-Processed: 1\nContent-Length: 0\n\n", Want: Failed, Reused: true},
		{Name: "503 without X-Not-Processed", Raw: "HTTP/1.1 503 No\nRetry-After: 1\nContent-Length: 0\n\n", Want: Failed, Reused: true},
		{Name: "X-Not-Processed of another value", Raw: "HTTP/1.1 503 No\nX-Not-Processed: yes\nContent-Length: 0\n\n", Want: Failed, Reused: true},
		{Name: "404", Raw: "HTTP/1.1 404 No\nContent-Length: 2\n\nno", Want: Failed, Reused: true},
		{Name: "204", Raw: "HTTP/1.1 204 No\n\n", Want: Failed, Reused: true},
		{Name: "204 with a body", Raw: "HTTP/1.1 204 No\nContent-Length: 2\n\nok", Want: Failed},
		{Name: "304 with a length", Raw: "HTTP/1.1 304 No\nContent-Length: 2\n\n", Want: Failed, Reused: true},
		{Name: "302", Raw: "HTTP/1.1 302 Found\nLocation: /x\nContent-Length: 0\n\n", Want: Failed, Reused: true},
		{Name: "503 with X-Not-Processed", Raw: "HTTP/1.1 503 No\nX-Not-Processed: 1\nContent-Length: 0\n\n", Want: Refused, Reused: true},
		{Name: "504 with X-Not-Processed", Raw: "HTTP/1.1 504 No\nX-Not-Processed: 1\nContent-Length: 0\n\n", Want: Refused, Reused: true},
	}
	return cases
}
