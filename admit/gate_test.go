package admit_test

import (
	"strconv"
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

// Drafts come four at a time. The slots that they took are kept free of batch
// work afterwards, so that the next four find them at once, but not for good:
// after some minutes without a burst batch work has them again.
func TestReserveFollowsBursts(t *testing.T) {
	x := NewWithT(t)
	g := &admit.Gate{Limits: sardinerock.GateLimits{MinSlots: 32, MaxSlots: 32}}
	for i := range 4 {
		g.Offer(epoch, sardinerock.Work{Attempt: strconv.Itoa(i)})
	}
	for i := range 4 {
		g.Done(epoch.Add(time.Second), strconv.Itoa(i), sardinerock.GateSample{})
	}
	fill := func(now time.Time) int {
		for i := range 40 {
			g.Offer(now, sardinerock.Work{Attempt: now.String() + strconv.Itoa(i), Class: sardinerock.ClassBatch})
		}
		return g.State().BatchRunning
	}
	x.Expect(fill(epoch.Add(2 * time.Second))).To(Equal(28))
	x.Expect(fill(epoch.Add(3 * time.Minute))).To(Equal(32))
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
