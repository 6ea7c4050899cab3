package pool

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

// What depends on start times must not act on a service of which one backend server states none.
func TestStatesStarts(t *testing.T) {
	for name, test := range map[string]struct {
		list []sardinerock.BackendServer
		want bool
	}{
		"none listed":    {nil, false},
		"all stated":     {[]sardinerock.BackendServer{{ID: "a", Service: "s", Started: 1}, {ID: "b", Service: "s", Started: 2}}, true},
		"one not stated": {[]sardinerock.BackendServer{{ID: "a", Service: "s", Started: 1}, {ID: "b", Service: "s"}}, false},
		"one not stated, draining": {
			[]sardinerock.BackendServer{{ID: "a", Service: "s", Started: 1}, {ID: "b", Service: "s", Draining: true}}, true,
		},
		"all draining": {[]sardinerock.BackendServer{{ID: "a", Service: "s", Started: 1, Draining: true}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Pool{}
			p.SetServers(test.list)
			NewWithT(t).Expect(p.StatesStarts("s")).To(Equal(test.want))
		})
	}
}
