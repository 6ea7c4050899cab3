package pool

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Others filled a backend server that this entry hasn't heard of yet. It said
// so once; until the others have told, nothing more goes there.
func TestFullBackendServerIsPassedOverForAMoment(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 2, 2)
	first := p.expectOnline(g, nil)
	p.Done(first.ID, false, false, testStart)
	p.NoteFull(first.ID, testStart)
	for range 2 {
		g.Expect(p.expectOnline(g, nil).ID).NotTo(Equal(first.ID))
	}
	g.Expect(p.Free("s", 0, testStart)).To(BeZero())
	g.Expect(p.Free("s", 0, testStart.Add(fullTime))).To(Equal(2))
	c, ok := p.Online("s", nil, testStart.Add(fullTime))
	g.Expect(ok).To(BeTrue())
	g.Expect(c.ID).To(Equal(first.ID))
}

// Where batch items are known to run, a full backend server still has something
// that gives way; it isn't taken for one that is full of online work.
func TestFullBackendServerKeepsItsBatchItems(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 1, 4)
	p.SetPeer("b", []Load{{Server: Hash("i-0"), Online: 1, Batch: 1}}, testStart)
	p.NoteFull("i-0", testStart)
	c := p.expectOnline(g, nil)
	g.Expect(c.Full()).To(BeTrue())
	g.Expect(c.Online).To(Equal(3))
	g.Expect(c.Batch).To(Equal(1))
}
