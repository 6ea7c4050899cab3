package items

import (
	"time"

	"github.com/sardinerock/sardinerock/ledger"
)

const (
	// failuresPerAttempt is the number of failed runs that an item may have for each attempt of its
	// route. An item is normally given up after one for each; more are possible if its owners are
	// lost before they have recorded a failure.
	failuresPerAttempt = 3
	// maxRejections is the number of runs that may end with a backend server rejecting the item for
	// good. A rejection is recorded only as the item's result.
	maxRejections = 3
)

// SteadyTime is how long an item's owner must have kept its job, and the entry and the store must
// have worked, before a run that may be one more than MaxRuns. The outcome of such a run is
// recorded even if many runs before it were lost with their owners.
const SteadyTime = 3 * time.Second

// NextStart returns the limit to record with the start of an item's next run, and whether that has to
// wait for SteadyTime. runs is the number of runs that may have failed so far, the unrecorded first
// one included. Runs of lost owners postpone the next one, but never prevent it: nothing shows that they
// failed.
func NextStart(runs, failures, attempts int) (limit int, steady bool) {
	limit = MaxRuns(failures, attempts)
	return max(limit, runs+1), runs >= limit-1
}

// MaxRuns returns the number of runs that an item with a number of recorded failures may have
// while its owners are lost, if each of these runs may have failed. attempts is that of the item's
// route. An item without a recorded failure may be one that each backend server rejects for good.
func MaxRuns(failures, attempts int) int {
	if failures == 0 {
		return maxRejections
	}
	return failuresPerAttempt * attempts
}

// MayStartUnrecorded reports whether a process may run an item without recording the start of the
// run: only the process to which the job was assigned when it was accepted, as long as no other entry has
// claimed it, and only until its first failed run. Every other one may have lost a predecessor that ran the item and recorded
// nothing.
func MayStartUnrecorded(open *ledger.OpenItem, name string, processStart int64) bool {
	return open.FirstOwner == name && open.FirstOwnerStart == processStart && processStart != 0 && open.Epoch == 0
}
