package items

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/ledger"
)

func TestMaxRuns(t *testing.T) {
	for name, tt := range map[string]struct{ failures, attempts, runs int }{
		"may be rejected for good":        {0, 3, 3},
		"has failed":                      {1, 3, 9},
		"may be rejected, one attempt":    {0, 1, 3},
		"route without repeated attempts": {1, 1, 3},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(MaxRuns(tt.failures, tt.attempts)).To(Equal(tt.runs))
		})
	}
}

// Guards against a process that takes a job over, or restarts, running an item of which an earlier
// process may have recorded nothing.
func TestOnlyTheFirstProcessStartsUnrecorded(t *testing.T) {
	for name, tt := range map[string]struct {
		open ledger.OpenItem
		may  bool
	}{
		"first owner":            {ledger.OpenItem{FirstOwner: "a", FirstOwnerStart: 7}, true},
		"first owner, restarted": {ledger.OpenItem{FirstOwner: "a", FirstOwnerStart: 6}, false},
		"successor":              {ledger.OpenItem{FirstOwner: "b", FirstOwnerStart: 7}, false},
		"process not known":      {ledger.OpenItem{FirstOwner: "a"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(MayStartUnrecorded(&tt.open, "a", 7)).To(Equal(tt.may))
		})
	}
}
