package queue

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

func TestJudge(t *testing.T) {
	tables := map[string]struct {
		refusal  sardinerock.Refusal
		attempts Attempts
		want     Verdict
	}{
		"the item is wrong":                      {sardinerock.Refusal{Code: sardinerock.CodeInvalidRequest}, Attempts{Most: 3}, Verdict{}},
		"first loss of a backend server":         {sardinerock.Refusal{Code: sardinerock.CodeBackendLost}, Attempts{Most: 3}, Verdict{Again: true, Counts: true, Wait: failedWait}},
		"last loss of a backend server":          {sardinerock.Refusal{Code: sardinerock.CodeBackendLost}, Attempts{Failed: 2, Most: 3}, Verdict{Counts: true}},
		"lost before it was sent":                {sardinerock.Refusal{Code: sardinerock.CodeBackendLost, Outcome: sardinerock.OutcomeNotRun}, Attempts{Failed: 2, NotRun: 1, Most: 3}, Verdict{Again: true, Wait: notRunWaitFirst}},
		"suspect of crashes, kept back":          {sardinerock.Refusal{Code: sardinerock.CodeCrashSuspect, Outcome: sardinerock.OutcomeNotRun}, Attempts{Failed: 2, Most: 3}, Verdict{Counts: true}},
		"preempted for the hundredth time":       {sardinerock.Refusal{Code: sardinerock.CodePreempted, Outcome: sardinerock.OutcomeRan}, Attempts{NotRun: 100, Most: 3}, Verdict{Again: true, Wait: notRunWaitFirst}},
		"no room, told when to come back":        {sardinerock.Refusal{Code: sardinerock.CodeOverloaded, RetryAfter: time.Second}, Attempts{NotRun: 2, Most: 3}, Verdict{Again: true, Wait: time.Second}},
		"no room for long":                       {sardinerock.Refusal{Code: sardinerock.CodeNoBackend}, Attempts{NotRun: 50, Most: 3}, Verdict{Again: true, Wait: notRunWaitMost}},
		"no room though late":                    {sardinerock.Refusal{Code: sardinerock.CodeNoBackend}, Attempts{NotRun: 1, Due: noon, Now: noon.Add(time.Hour)}, Verdict{Again: true, Wait: notRunWaitFirst}},
		"no room a day after the due time":       {sardinerock.Refusal{Code: sardinerock.CodeNoBackend}, Attempts{NotRun: 1, Due: noon, Now: noon.Add(lateGrace + time.Second)}, Verdict{}},
		"preempted a day after the due time too": {sardinerock.Refusal{Code: sardinerock.CodePreempted}, Attempts{Due: noon, Now: noon.Add(lateGrace + time.Second)}, Verdict{}},
	}
	for name, c := range tables {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(Judge(&c.refusal, c.attempts)).To(Equal(c.want))
		})
	}
}
