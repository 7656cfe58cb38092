// Command adapter hosts instances of the decision module and serves the simulator's line protocol
// on standard input and output.
package main

import (
	"flag"
	"fmt"
	"os"

	"quillfront/internal/config"
	"quillfront/internal/wire"
)

func main() {
	path := flag.String("config", "", "operator configuration file; only its [sites] section is used, and without it sites are not monitored")
	flag.Parse()
	op, err := config.LoadOperator(*path)
	if err == nil {
		err = wire.Serve(os.Stdin, os.Stdout, op.Sites)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
