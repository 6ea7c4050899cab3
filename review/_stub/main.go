// Command _stub plays the scripted cases of the review: it starts the project's program as separate processes, with
// stand-ins of the store, the workers, the operator and the clients, and judges one rule.
package main

import (
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 3 {
		fail("usage: stub CASE FOLDER")
	}
	play := cases[os.Args[1]]
	if play == nil {
		fail("no case %s", os.Args[1])
	}
	w := newWorld(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fail("interrupted")
	}()
	play(w)
	w.end()
}
