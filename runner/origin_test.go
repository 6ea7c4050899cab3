package runner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/items"
	"github.com/sardinerock/sardinerock/pool"
)

// TestItemWaitsForItsVersionOnlyWhileThatIsSooner guards against a text being discarded while no version has room, and
// against an item waiting for its version while another one would finish it sooner.
func TestItemWaitsForItsVersionOnlyWhileThatIsSooner(t *testing.T) {
	for name, tt := range map[string]struct {
		// versions serve the route, of which full has no free slot.
		versions, full []string
		wait           time.Duration
		service        string
		want           bool
	}{
		"free slot":                     {[]string{"v1", "v2"}, nil, 2 * maxRoomWait, "s", false},
		"full for a moment":             {[]string{"v1", "v2"}, []string{"v1"}, maxRoomWait - time.Millisecond, "s", false},
		"full, another has room":        {[]string{"v1", "v2"}, []string{"v1"}, maxRoomWait, "s", true},
		"full, no other has room":       {[]string{"v1", "v2"}, []string{"v1", "v2"}, 2 * maxRoomWait, "s", false},
		"left":                          {[]string{"v2"}, nil, 0, "s", true},
		"the route has another service": {[]string{"v1"}, nil, 0, "u", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, _ := newRunner(0)
			now := time.Now()
			var list []sardinerock.BackendServer
			for n, v := range tt.versions {
				list = append(list, sardinerock.BackendServer{ID: fmt.Sprint("i-", n), Service: "s", Version: v, Slots: 1})
			}
			r.Pool.SetServers(list)
			for _, v := range tt.full {
				_, ok := r.Pool.ChooseOnline("s", &pool.Request{Origin: sardinerock.Origin{Service: "s", Version: v}}, now)
				g.Expect(ok).To(BeTrue())
			}
			route := &sardinerock.Route{Shares: []sardinerock.ServiceShare{{Service: tt.service, Weight: 1}}}
			progress := blobs.Progress{Text: "a\nb", Position: sardinerock.Position{LastEvent: "2", Origin: sardinerock.Origin{Service: "s", Version: "v1"}}}
			j := &loadedJob{progress: map[int]blobs.Progress{0: progress}}
			r.Pace = &items.Pacer{ViewAge: r.ViewAge, Random: rand.New(rand.NewPCG(1, 1))}
			choose := func(at time.Time) *candidate {
				c := &candidate{body: &sardinerock.BatchItem{ID: "item"}, progress: j.progress[0], route: route}
				r.chooseService(c, j)
				if _, ok := r.Pool.ChooseBatch(c.service, pool.BatchRequest{Origin: c.origin}, at); !ok {
					r.recordNoRoom(c, 0, at)
				}
				return c
			}
			choose(now)
			choose(now.Add(tt.wait))
			c := choose(now.Add(tt.wait))
			g.Expect(c.origin.Known()).To(Equal(!tt.want))
			g.Expect(len(j.progress) == 0).To(Equal(tt.want))
			if tt.want {
				g.Expect(r.items[c.key].text).To(BeEmpty())
				g.Expect(r.items[c.key].needsStart()).To(BeFalse(), "starting over is no run that may have failed")
			}
		})
	}
}
