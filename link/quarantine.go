package link

import (
	"time"

	"github.com/sardinerock/sardinerock/retry"
	"github.com/sardinerock/sardinerock/wire"
)

// ToWire converts the crash records of suspected requests to their form in
// heartbeats. Expiry is sent as the remaining time, since clocks may differ.
func ToWire(records []retry.CrashRecord) []*wire.Quarantine {
	var all []*wire.Quarantine
	for _, r := range records {
		all = append(all, &wire.Quarantine{
			Fingerprint: r.Fingerprint,
			Guilty:      r.Blocked,
			LeftMs:      uint32(r.Remaining.Milliseconds()),
			Crashes:     r.Crashes,
			Losses:      r.Losses,
			Cleared:     r.Cleared,
		})
	}
	return all
}

// FromWire is the reverse of ToWire.
func FromWire(all []*wire.Quarantine) []retry.CrashRecord {
	var records []retry.CrashRecord
	for _, q := range all {
		records = append(records, retry.CrashRecord{
			Fingerprint: q.Fingerprint,
			Blocked:     q.Guilty,
			Remaining:   time.Duration(q.LeftMs) * time.Millisecond,
			Crashes:     q.Crashes,
			Losses:      q.Losses,
			Cleared:     q.Cleared,
		})
	}
	return records
}
