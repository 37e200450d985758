// Command standin-3 plays the cases 11 and 12 of this review. It starts stand-ins of the platform's store and cloud, of servers and of
// clients in its own process, and the entry instances as processes with the command of deploy/system.toml. It exits with 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases has the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"silent":  playSilent,
	"upgrade": playUpgrade,
}

// endOnSignal ends the processes that the case has started.
func endOnSignal(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	_ = w.close()
	os.Exit(2)
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE DIR")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption %v", os.Args[1], trouble)
	w, err := newWorld(rec)
	if err != nil {
		rec.note("could not run: %v", err)
		return 2
	}
	go endOnSignal(w)
	broken, err := cases[os.Args[1]](w, trouble)
	err = errors.Join(err, w.close())
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.note("verdict: broken")
		fmt.Println("broken")
		return 1
	default:
		rec.note("verdict: held")
		fmt.Println("held")
		return 0
	}
}
