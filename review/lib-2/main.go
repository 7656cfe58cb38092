//go:build review2

// Program review2 holds the stand-ins and the judges of the cases of the second review. Each
// subcommand is one process of a case.
package main

import (
	"fmt"
	"os"
)

var commands = map[string]func(args []string) int{}

func main() {
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 COMMAND [flags]")
		os.Exit(2)
	}
	os.Exit(commands[os.Args[1]](os.Args[2:]))
}
