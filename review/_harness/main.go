package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a run.
const maxTime = 110 * time.Second

// cases maps the names of the cases to their functions, which return whether the rule held. trouble is unset for the run without the disruption.
var cases = map[string]func(w *world, trouble bool) (held bool, err error){
	"silent-drain":  silentDrainCase,
	"silent-config": silentConfigCase,
	"deadly":        deadlyCase,
	"ended":         endedCase,
	"quota":         quotaCase,
	"reborn":        rebornCase,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		runWorker(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
		done <- result{held, err}
	}()
	code := exitNotRun
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			w.logf("the case couldn't run: %v", r.err)
		case r.held:
			w.logf("result: the rule held")
			code = exitHeld
		default:
			w.logf("result: the rule was broken")
			code = exitBroken
		}
	case <-interrupted:
		w.logf("interrupted")
	case <-time.After(maxTime):
		w.logf("the case took too long")
	}
	w.close()
	os.Exit(code)
}
