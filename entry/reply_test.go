package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/wire"
)

// TestMalformedReplyOfASideIsUnknown guards against a reply of a plain service that a side passed on unchecked reaching a caller: the
// entry panics while it writes one with status 0, and one with status 103 becomes an empty success.
func TestMalformedReplyOfASideIsUnknown(t *testing.T) {
	for name, tt := range map[string]struct {
		reply *wire.ServiceReply
		valid bool
	}{
		"success":         {&wire.ServiceReply{Status: 200, Header: map[string]string{"Content-Type": "text/plain"}, Body: []byte("x")}, true},
		"failure":         {&wire.ServiceReply{Status: 599}, true},
		"no reply":        {nil, false},
		"status 0":        {&wire.ServiceReply{}, false},
		"status 99":       {&wire.ServiceReply{Status: 99}, false},
		"status 101":      {&wire.ServiceReply{Status: 101}, false},
		"status 103":      {&wire.ServiceReply{Status: 103}, false},
		"status 600":      {&wire.ServiceReply{Status: 600}, false},
		"status 1200":     {&wire.ServiceReply{Status: 1200}, false},
		"blank in a name": {&wire.ServiceReply{Status: 200, Header: map[string]string{"Other ": "x"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := &reader{execution: &execution{request: &sardinerock.Request{Service: "letters"}}}
			result, f := r.handleEnd(&wire.End{Outcome: uint32(sardinerock.OutcomeRan), Reply: tt.reply})
			if tt.valid {
				g.Expect(f).To(BeNil())
				g.Expect(result.Reply.Status).To(BeEquivalentTo(tt.reply.Status))
				return
			}
			g.Expect(f).NotTo(BeNil())
			g.Expect(f.refusal.Outcome).To(Equal(sardinerock.OutcomeUnknown))
		})
	}
}
