package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("rule broken")

// cases holds the function of each case by its name.
var cases = map[string]func(*deployment) error{
	"config-changes": configChanges,
	"large-bodies":   largeBodies,
	"last-tenant":    lastTenant,
	"lost-end":       lostEnd,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/knapweedhoist", "the program of the deploy file")
	flag.Parse()
	runCase := cases[*name]
	if runCase == nil {
		fmt.Fprintln(os.Stderr, "unknown case:", *name)
		return exitNotRun
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	d, err := newDeployment(rec, *program, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("case not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	start := time.Now()
	err = runCase(d)
	rec.add("case %s, trouble %v, ended after %.1f s", *name, d.trouble, time.Since(start).Seconds())
	switch {
	case errors.Is(err, errBroken):
		rec.verdict("BROKEN: %v", err)
		return exitBroken
	case err != nil:
		rec.verdict("NOT RUN: %v", err)
		return exitNotRun
	default:
		rec.verdict("HELD")
		return exitHeld
	}
}
