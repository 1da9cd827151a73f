// Program harness plays the cases of this review that are scripts. It starts the project's nodes as
// separate processes on loopback addresses; the store, the servers and the clients are stand-ins.
package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// background runs the stand-ins and waits for the nodes; it ends with the process.
var background sync.WaitGroup

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(failed)
	}
	cases := map[string]func(*world) (int, error){"long-body": longBody, "late-beat": lateBeat, "multipart": multipart}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(failed)
	}
	os.Exit(run1(play, os.Args[2]))
}

func run1(play func(*world) (int, error), folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	code, err := play(w)
	if err != nil {
		w.record.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return code
}
