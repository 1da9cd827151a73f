// Command bftrial runs the demo and the measurements with real processes.
package main

import (
	"fmt"
	"os"

	"bilberryflow.org/bftrial/internal/bfdemo"
)

func main() {
	if err := bfdemo.Run("bin", os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bftrial:", err)
		os.Exit(1)
	}
}
