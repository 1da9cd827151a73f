package bfcommand

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"bilberryflow.org/bftrial/internal/bfdemo"
	"bilberryflow.org/lib/bfprogram"
)

// Exit codes of bftrial.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs one subcommand and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	binaries := "bin"
	parser := flaggy.NewParser("bftrial")
	parser.Description = "Runs the demo and the measurements with real processes on loopback."
	parser.Version = bfprogram.Version
	parser.String(&binaries, "b", "binaries", "Directory of the built programs.")
	demo := flaggy.NewSubcommand("demo")
	demo.Description = "Shows the whole path and ends."
	parser.AttachSubcommand(demo, 1)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "bftrial:", err)
		return exitUsage
	}
	var err error
	switch {
	case demo.Used:
		err = bfdemo.Run(binaries, out)
	default:
		fmt.Fprintln(errOut, "bftrial: a subcommand is needed; see --help")
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(errOut, "bftrial:", err)
		return exitFailed
	}
	return exitDone
}
