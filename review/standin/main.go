// Command standin runs one case of the review: the processes of the system between stand-ins of the users' clients, servers
// and platform. Its arguments are the name of the case and the path of the record.
package main

import (
	"fmt"
	"os"
)

// scenarios holds the function of each case. It returns an error if the case could not run.
var scenarios = map[string]func(w *world) error{}

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run(os.Args)) }

func run(args []string) int {
	if len(args) != 3 || scenarios[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecorder(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	if err := scenarios[args[1]](w); err != nil {
		rec.say("the case could not run: %v", err)
		return exitNotRun
	}
	if w.broken > 0 {
		rec.say("the rule was broken %d times", w.broken)
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
