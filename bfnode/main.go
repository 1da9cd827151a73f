// Command bfnode is the node that runs beside each target instance.
package main

import (
	"os"

	"bilberryflow.org/bfnode/internal/bfcommand"
)

func main() { os.Exit(bfcommand.Program().Main()) }
