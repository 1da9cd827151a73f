// Command bftarget stands in for a target instance of the users.
package main

import (
	"os"

	"bilberryflow.org/bftarget/internal/bfcommand"
)

func main() { os.Exit(bfcommand.Program().Main()) }
