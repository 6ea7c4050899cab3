package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// part is one group of measurements that can be run by itself.
type part struct {
	name string
	run  func(r *report) error
}

var parts = []part{
	{"link", measureLinks},
	{"tokens", measureTokens},
	{"ping", measurePings},
	{"bundle", measureBundles},
	{"list", measureList},
	{"member", measureMembers},
	{"place", measurePlacement},
	{"route", measureRouting},
	{"gate", measureGate},
	{"jobs", measureJobs},
	{"spread", measureSpread},
}

func main() {
	only := ""
	flaggy.SetName("capa")
	flaggy.SetDescription("measures the slopes of docs/CAPACITY.md")
	flaggy.String(&only, "o", "only", "comma-separated parts to run: "+partNames()+"; all when empty")
	flaggy.Parse()
	r := &report{out: os.Stdout}
	for _, p := range parts {
		if only != "" && !slices.Contains(strings.Split(only, ","), p.name) {
			continue
		}
		started := time.Now()
		if err := p.run(r); err != nil {
			fmt.Fprintf(os.Stderr, "capa: part %s: %v\n", p.name, err)
			os.Exit(1)
		}
		fmt.Fprintf(os.Stderr, "capa: part %s took %.1f s\n", p.name, time.Since(started).Seconds())
	}
}

func partNames() string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.name
	}
	return strings.Join(names, ", ")
}
