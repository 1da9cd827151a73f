// Command bftarget simulates a target instance.
package main

import (
	"os"

	"bilberryflow.org/bftarget/internal/bfcommand"
)

func main() { os.Exit(bfcommand.Program().Main()) }
