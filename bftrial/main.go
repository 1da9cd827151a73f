// Command bftrial runs the demo and the measurements with real processes.
package main

import (
	"os"

	"bilberryflow.org/bftrial/internal/bfcommand"
)

func main() { os.Exit(bfcommand.Main(os.Args[1:], os.Stdout, os.Stderr)) }
