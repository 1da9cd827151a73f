// Command bfplatform stands in for the platform: a transactional table service
// and an object store, in memory, whose outages are switched over HTTP.
package main

import (
	"os"

	"bilberryflow.org/bfplatform/internal/bfcommand"
)

func main() { os.Exit(bfcommand.Program().Main()) }
