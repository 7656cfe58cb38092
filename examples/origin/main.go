// Command origin is an HTTP server to run behind quillfront in the examples: it responds with its
// address and a summary of the request.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: origin ADDRESS, such as 127.0.0.1:9001")
		os.Exit(2)
	}
	ln, err := net.Listen("tcp", os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "origin:", err)
		os.Exit(1)
	}
	fmt.Println("at", ln.Addr())
	err = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		n, _ := io.Copy(io.Discard, q.Body)
		fmt.Fprintf(w, "%s: %s %s with %d bytes\n", ln.Addr(), q.Method, q.URL, n)
	}))
	fmt.Fprintln(os.Stderr, "origin:", err)
	os.Exit(1)
}
