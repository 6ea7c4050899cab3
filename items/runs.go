package items

import "github.com/sardinerock/sardinerock/ledger"

const (
	// failuresPerAttempt is the number of failed runs that an item may have for each attempt of its
	// route. An item is normally given up after one for each; more are possible if its owners are
	// lost before they have recorded a failure.
	failuresPerAttempt = 3
	// maxRejections is the number of runs that may end with a backend server rejecting the item for
	// good. A rejection is recorded only as the item's result.
	maxRejections = 3
)

// MaxRuns returns the number of runs that may be started of an item with a number of recorded
// failures, if each of these runs may have failed. attempts is that of the item's route. An item
// without a recorded failure may be one that each backend server rejects for good.
func MaxRuns(failures, attempts int) int {
	if failures == 0 {
		return maxRejections
	}
	return failuresPerAttempt * attempts
}

// MayStartUnrecorded reports whether a process may run an item without recording the start of the
// run: only the process to which the job was assigned when it was accepted, and only until its
// first failed run. Every other one may have lost a predecessor that ran the item and recorded
// nothing.
func MayStartUnrecorded(open *ledger.OpenItem, name string, processStart int64) bool {
	return open.FirstOwner == name && open.FirstOwnerStart == processStart && processStart != 0
}
