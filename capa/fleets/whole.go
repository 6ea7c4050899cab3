package fleets

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/capa/sample"
	"github.com/sardinerock/sardinerock/fleet"
	"github.com/sardinerock/sardinerock/grants"
)

// operatorToken is the key of the one caller that may publish.
const operatorToken = "sk-operator"

// Whole gives what whole idle entries and sides cost, with all their
// loops. Each side's figure has its stand-in engine in it, which is asked for
// its state, load and cache events, and both ends of its connections.
func Whole(r *meter.Report) error {
	var sideCPU, sideMem, entryCPU, entryMem []meter.Point
	for _, n := range []int{10, 30, 60} {
		used, mem, err := idleFleet(3, n)
		if err != nil {
			return err
		}
		sideCPU = append(sideCPU, meter.At(float64(n), used))
		sideMem = append(sideMem, meter.At(float64(n), mem))
	}
	for _, n := range []int{3, 6, 12} {
		used, mem, err := idleFleet(n, 12)
		if err != nil {
			return err
		}
		entryCPU = append(entryCPU, meter.At(float64(n), used))
		entryMem = append(entryMem, meter.At(float64(n), mem))
	}
	r.Slope("idle side, linked to 3 entries, with its stand-in engine: CPU", "us per s", "side", sideCPU...)
	r.Slope("idle side, linked to 3 entries, with its stand-in engine: memory", "B", "side", sideMem...)
	r.Slope("idle entry, linked to 12 sides and up to 8 entries: CPU, with the other ends", "us per s", "entry", entryCPU...)
	r.Slope("idle entry, linked to 12 sides and up to 8 entries: memory, with the other ends", "B", "entry", entryMem...)
	return nil
}

// idleFleet returns the processor time per second, in microseconds, and the memory of a fleet without requests.
func idleFleet(entries, sides int) (used, mem float64, err error) {
	const window = 5 * time.Second
	debug.FreeOSMemory()
	before := meter.Memory()
	b := sample.Bundle(0, 50, 600)
	operator := &b.Callers[0]
	operator.Operator = true
	operator.KeyHashes = []string{grants.HashToken(operatorToken)}
	f := &fleet.Fleet{Entries: entries, Sides: sides, Zones: []string{"a", "b", "c"}, Bundle: *b, Operator: operatorToken}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := f.Start(ctx); err != nil {
		return 0, 0, fmt.Errorf("fleet of %d entries and %d sides: %w", entries, sides, err)
	}
	defer f.Stop()
	time.Sleep(3 * time.Second)
	cpuBefore := meter.CPU()
	time.Sleep(window)
	used = float64((meter.CPU() - cpuBefore).Microseconds()) / window.Seconds()
	mem = meter.Memory() - before
	runtime.KeepAlive(f)
	return used, mem, nil
}
