package admit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/admit"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A supervisor's draft arrives while batch work holds every slot: it starts in
// the same call, and the batch stream that has lost least makes room.
func TestOnlinePreemptsTheYoungestBatch(t *testing.T) {
	x := NewWithT(t)
	g := &admit.Gate{Limits: sardinerock.GateLimits{MinSlots: 2, MaxSlots: 2}}
	g.Offer(epoch, sardinerock.Work{Attempt: "old", Class: sardinerock.ClassBatch})
	g.Token(epoch.Add(time.Second), "old")
	g.Offer(epoch.Add(time.Second), sardinerock.Work{Attempt: "young", Class: sardinerock.ClassBatch})
	x.Expect(g.State().BatchRunning).To(Equal(2))
	x.Expect(kinds(g.Offer(epoch.Add(2*time.Second), sardinerock.Work{Attempt: "draft"}))).To(Equal([]string{"preempt young", "start draft"}))
}

func kinds(actions []sardinerock.GateAction) []string {
	names := map[sardinerock.GateActionKind]string{
		sardinerock.GateStart: "start", sardinerock.GateRefuse: "refuse", sardinerock.GatePreempt: "preempt",
	}
	all := make([]string, 0, len(actions))
	for _, a := range actions {
		all = append(all, names[a.Kind]+" "+a.Attempt)
	}
	return all
}
