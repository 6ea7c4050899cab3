package items

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a series of lost backend servers being answered by a series of runs, and against an item waiting longer
// the more of them were lost during its runs.
func TestItemsWaitBrieflyAfterBreaks(t *testing.T) {
	const (
		length = time.Minute
		// calmTime is the time of calm within which an item has to run again.
		calmTime = 5 * time.Second
	)
	for name, tt := range map[string]struct {
		// run returns how the next run ends.
		run     func(random *rand.Rand) (ended, completed bool, events int, took time.Duration)
		minRuns int
		maxRuns int
	}{
		"each is lost before an event": {func(*rand.Rand) (bool, bool, int, time.Duration) { return true, false, 0, 100 * time.Millisecond }, 12, 18},
		"each is lost after ten events": {func(*rand.Rand) (bool, bool, int, time.Duration) {
			return true, false, 10, 300 * time.Millisecond
		}, 12, 18},
		"preempted between": {func(r *rand.Rand) (bool, bool, int, time.Duration) {
			return r.IntN(2) == 0, false, 0, 100 * time.Millisecond
		}, 12, 60},
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
				NewWithT(t).Expect(b.Delay()).To(BeNumerically("<", calmTime))
				now += took + max(b.Delay(), 200*time.Millisecond)
			}
			NewWithT(t).Expect(runs).To(And(BeNumerically(">=", tt.minRuns), BeNumerically("<=", tt.maxRuns)))
		})
	}
}
