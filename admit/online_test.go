package admit_test

import (
	"testing"
	"time"

	"github.com/sardinerock/sardinerock"
)

func draft(w *world, caller string) func() *request {
	return func() *request {
		n := 40 + w.random.IntN(160)
		return &request{caller: caller, class: sardinerock.ClassOnline, prompt: 100 + w.random.IntN(600), tokens: n, most: 256, patience: 15 * time.Second, fingerprint: w.random.Uint64()}
	}
}

func TestExploreBurst(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		play := func(online, batch, fifo bool) *world {
			w := newWorld(seed, 3, 6, func(w *world) { w.fifo = fifo })
			if online {
				w.arrive(0, 60*time.Second, 6, draft(w, "a"))
				for i := 10; i < 60; i += 10 {
					w.arrive(time.Duration(i)*time.Second, time.Duration(i)*time.Second+300*time.Millisecond, 100, draft(w, "a"))
				}
			}
			if batch {
				w.batch(400, 300)
			}
			w.run(80 * time.Second)
			return w
		}
		alone, gate, fifo, batch := play(true, false, false), play(true, true, false), play(true, true, true), play(false, true, false)
		t.Log(alone.sum(nil))
		t.Log(gate.sum(nil), gate.batchTokens, gate.wasted)
		t.Log(fifo.sum(nil), fifo.batchTokens)
		t.Log(batch.batchTokens, float64(gate.batchTokens)/float64(batch.batchTokens-alone.sum(nil).good))
	}
}

func TestExploreSaturation(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		play := func(rate float64, fifo bool) *world {
			w := newWorld(seed, 3, 6, func(w *world) { w.fifo = fifo })
			w.arrive(0, 60*time.Second, rate, draft(w, "a"))
			w.run(100 * time.Second)
			return w
		}
		// capacity: 6*16 slots / ~3.2 s = 30/s
		one, three, fifo := play(28, false), play(84, false), play(84, true)
		t.Log(one.sum(nil))
		t.Log(three.sum(nil), three.tries)
		t.Log(fifo.sum(nil))
	}
}
