// Command standin runs the cases of the review that are scripts: it starts nodes of the deploy file as
// separate processes, and is the platform's store, the servers and the clients around them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// background holds the goroutines that live until the process ends; nobody waits for them.
var background sync.WaitGroup

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"behind": behind,
	"reborn": reborn,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE ROOT FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func run(name, root, folder string, trouble bool) int {
	body, found := cases[name]
	if !found {
		fmt.Println("unknown case", name)
		return failed
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer rec.file.Close()
	d, err := newDeployment(rec, root)
	if err != nil {
		rec.say("could not run: %v", err)
		return failed
	}
	defer d.end()
	isBroken, err := body(d, trouble)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return failed
	case isBroken:
		rec.say("the rule is broken")
		return broken
	}
	rec.say("the rule held")
	return held
}
