package link

import (
	"time"

	"github.com/sardinerock/sardinerock/retry"
	"github.com/sardinerock/sardinerock/wire"
)

// ToWire turns the marks of suspected requests into their form in heartbeats.
// Times travel as what is left of them, since clocks are not shared.
func ToWire(marks []retry.Mark) []*wire.Quarantine {
	var all []*wire.Quarantine
	for _, m := range marks {
		all = append(all, &wire.Quarantine{
			Fingerprint: m.Fingerprint,
			Guilty:      m.Guilty,
			LeftMs:      uint32(m.Left.Milliseconds()),
			Crashes:     m.Crashes,
			Losses:      m.Losses,
			Cleared:     m.Cleared,
		})
	}
	return all
}

// FromWire is the reverse of ToWire.
func FromWire(all []*wire.Quarantine) []retry.Mark {
	var marks []retry.Mark
	for _, q := range all {
		marks = append(marks, retry.Mark{
			Fingerprint: q.Fingerprint,
			Guilty:      q.Guilty,
			Left:        time.Duration(q.LeftMs) * time.Millisecond,
			Crashes:     q.Crashes,
			Losses:      q.Losses,
			Cleared:     q.Cleared,
		})
	}
	return marks
}
