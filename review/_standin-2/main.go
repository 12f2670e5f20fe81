// Command standin-2 plays the cases of the second review: it starts the gateway by the deploy file's command, and stands in for
// clients, database hosts, discovery and the platform. It is called by the cases' scripts, review/N/run.sh.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	root      string     // the repository
	temporary string     // a folder of this run's own
	trouble   bool       // false: the same without the disruption
	processes []*gateway // all that were started
	ending    sync.Mutex // held from the clean-up on
)

// longest is how long a case may take.
const longest = 110 * time.Second

// cases are the cases by their numbers. Each returns whether the rule was broken.
var cases = map[string]func(*record) bool{}

func main() {
	if len(os.Args) != 3 {
		cannotRun(fmt.Errorf("usage: standin-2 CASE FOLDER"))
	}
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun(fmt.Errorf("no such case"))
	}
	var err error
	if root, err = os.Getwd(); err != nil {
		cannotRun(err)
	}
	if temporary, err = os.MkdirTemp("", "r2"); err != nil {
		cannotRun(err)
	}
	trouble = os.Getenv("TROUBLE") != "0"
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
		select {
		case s := <-signals:
			cannotRun(fmt.Errorf("%v", s))
		case <-time.After(longest):
			cannotRun(fmt.Errorf("it takes too long"))
		}
	}()
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	broken := play(rec)
	cleanUp()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// cleanUp ends all processes and removes the temporary folder.
func cleanUp() {
	ending.Lock() // never released: the program ends
	for _, g := range processes {
		g.stop()
	}
	if temporary != "" {
		os.RemoveAll(temporary)
	}
}

// cannotRun ends the program: the case could not be played.
func cannotRun(err error) {
	fmt.Println("the case can't run:", err)
	cleanUp()
	os.Exit(2)
}
