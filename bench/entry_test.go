package bench

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/fakes"
	"github.com/sardinerock/sardinerock/fleet"
)

// A clerk's job is accepted by an entry that is lost right afterwards, with all
// its connections and its way to the log. The other entries must finish the job,
// and each item must have its one right result there.
func TestJobOutlivesTheEntryThatAcceptedIt(t *testing.T) {
	g := NewWithT(t)
	h := profiles[Goldfields].header
	f := &fleet.Fleet{
		Entries: 3, Sides: 3, Zones: h.Zones, Seed: 1, Bundle: BundleOf(h), Operator: Token(operatorName),
		Engine: fakes.EngineKnobs{Slots: h.Slots, StepUs: 5000},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 80*time.Second)
	defer cancel()
	g.Expect(f.Start(ctx)).To(Succeed())
	defer f.Stop()
	web := newHTTPClient(connections)
	first := &client{url: f.URLs()[0], token: Token("office"), http: web}
	j, err := demoJob(h.Model)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := first.submit(ctx, j.key, chatPath, j.lines.Bytes())
	g.Expect(err).NotTo(HaveOccurred())
	f.KillEntry(0)
	_, err = first.job(ctx, b.ID)
	g.Expect(err).To(HaveOccurred())
	g.Expect(f.URLs()).To(HaveLen(2))

	for _, url := range f.URLs() {
		other := &client{url: url, token: Token("office"), http: web}
		g.Eventually(func() (string, error) {
			b, err = other.job(ctx, b.ID)
			return b.Status, err
		}).WithTimeout(70 * time.Second).WithPolling(200 * time.Millisecond).Should(Equal("completed"))
		v, err := j.check(ctx, other, b)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v).To(Equal(verdict{right: demoItems}))
	}
}
