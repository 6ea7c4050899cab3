package items

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an item that ends each backend server taking down one after the other, and against delays of
// items whose backend servers are lost for other reasons.
func TestItemsThatEndBackendServersWait(t *testing.T) {
	const length = time.Minute
	for name, tt := range map[string]struct {
		// run returns how the next run ends.
		run     func(random *rand.Rand) (ended, completed bool, events int, took time.Duration)
		minRuns int
		maxRuns int
	}{
		"ends each before an event": {func(*rand.Rand) (bool, bool, int, time.Duration) { return true, false, 0, 100 * time.Millisecond }, 3, 6},
		"ends each after ten events": {func(*rand.Rand) (bool, bool, int, time.Duration) {
			return true, false, 10, 300 * time.Millisecond
		}, 3, 6},
		"preempted between": {func(r *rand.Rand) (bool, bool, int, time.Duration) {
			return r.IntN(2) == 0, false, 0, 100 * time.Millisecond
		}, 3, 12},
		"backend servers are lost after most of a run": {func(*rand.Rand) (bool, bool, int, time.Duration) {
			return true, false, 100, 3 * time.Second
		}, 18, 20},
		"every other one fails": {func(r *rand.Rand) (bool, bool, int, time.Duration) {
			ended := r.IntN(2) == 0
			return ended, !ended, 0, time.Second
		}, 20, 60},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			var b Breaks
			runs := 0
			for now := time.Duration(0); now < length; {
				ended, completed, events, took := tt.run(random)
				b.Record(ended, completed, events)
				runs++
				now += took + max(b.Delay(), 200*time.Millisecond)
			}
			NewWithT(t).Expect(runs).To(And(BeNumerically(">=", tt.minRuns), BeNumerically("<=", tt.maxRuns)))
		})
	}
}
