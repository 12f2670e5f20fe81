// Command standins runs the cases of this review. Each starts the gateway by the deploy file's command, with small stand-ins for
// clients, database hosts and discovery's agent in this process, and writes a record.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// aCase runs a case with or without its disruption. An error means that the case could not run.
type aCase func(rec *record, root string, disturbed bool) (broke bool, err error)

var cases = map[string]aCase{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(c aCase, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer rec.close()
	root, err := os.Getwd()
	if err != nil {
		rec.say("could not run: %v", err)
		return cannotRun
	}
	broke, err := c(rec, root, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return cannotRun
	case broke:
		rec.say("the rule was broken")
		return broken
	}
	rec.say("the rule held")
	return held
}
