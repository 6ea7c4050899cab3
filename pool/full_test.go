package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// maxFullTime is after which time a backend server that once reported that it is
// full is asked again at the latest.
const maxFullTime = 70 * time.Millisecond

// Other entries have filled a backend server, and their loads have not been received
// yet. After it reports that it is full, it must get no request for a moment.
func TestFullBackendServerIsSkippedForAMoment(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 2, 2)
	first := p.expectOnline(g, nil)
	p.Done(first.ID, false, false, testStart)
	p.RecordFull(first.ID, testStart)
	for range 2 {
		g.Expect(p.expectOnline(g, nil).ID).NotTo(Equal(first.ID))
	}
	g.Expect(p.FreeSlots("s", 0, testStart)).To(BeZero())
	g.Expect(p.FreeSlots("s", 0, testStart.Add(maxFullTime))).To(Equal(2))
	c, ok := p.ChooseOnline("s", &Request{}, testStart.Add(maxFullTime))
	g.Expect(ok).To(BeTrue())
	g.Expect(c.ID).To(Equal(first.ID))
}

// If batch items are known to run on a full backend server, they must still count as
// batch items that can be preempted, not as online work.
func TestFullBackendServerKeepsItsBatchItems(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 1, 4)
	p.SetPeer("b", []Load{{Server: Hash("i-0"), Online: 1, Batch: 1}}, testStart)
	p.RecordFull("i-0", testStart)
	c := p.expectOnline(g, nil)
	g.Expect(c.Full()).To(BeTrue())
	g.Expect(c.Online).To(Equal(3))
	g.Expect(c.Batch).To(Equal(1))
}

// During a burst nearly all reservations fail, so that backend servers are not asked
// for up to half a second. After the burst a few successful reservations must
// suffice for all of them to be asked again.
func TestEndOfBurstIsDetected(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 40, 7)
	now := testStart
	for range 100 {
		now = now.Add(time.Second)
		for n := range 40 {
			p.RecordFull(fmt.Sprint("i-", n), now)
		}
	}
	g.Expect(p.FreeSlots("s", 0, now)).To(BeZero())
	for range 2 * reserveRateWeight {
		p.RecordReserved("i-0")
	}
	g.Expect(p.FreeSlots("s", 0, now.Add(maxFullTime))).To(Equal(40 * 7))
}
