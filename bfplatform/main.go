// Command bfplatform simulates the platform: a transactional table service and an
// object store, in memory, with faults that are injected over HTTP.
package main

import (
	"os"

	"bilberryflow.org/bfplatform/internal/bfcommand"
)

func main() { os.Exit(bfcommand.Program().Main()) }
