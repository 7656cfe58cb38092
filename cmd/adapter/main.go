// Command adapter hosts instances of the decision module and speaks the
// simulator's wire on standard input and output.
package main

import (
	"fmt"
	"os"

	"quillfront/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
