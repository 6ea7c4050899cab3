package speed

import (
	"slices"
	"time"
)

const (
	// MaxReports is how many reports are sent in one message.
	MaxReports = 2
	// reportTime is how long reports are sent: messages that were received are forwarded to other
	// entries within it. It is the time between two messages of an entry without changes.
	reportTime = 200 * time.Millisecond
	// reportInterval is the time between two rotations. Thirty entries report on each of forty
	// backend servers more than once a second, and only a fifth of the messages carry reports.
	reportInterval = time.Second
	// maxReportWeight is how many responses one report counts for at most.
	maxReportWeight = 8
	// reportOctave is the number of steps of a reported level in an octave.
	reportOctave = 16
	// highLoadFlag marks evidence of responses under high load; the other bits are their number.
	highLoadFlag = 0x80
)

// Report is what one entry's own responses show of a backend server, since the entry's report on it
// before. So no response counts twice, and no estimate of another entry is fed back.
type Report struct {
	// Server is the hash of the backend server's id.
	Server uint32
	// Level is the time per event: 500 us times 2 to the power of Level/16.
	Level uint8
	// Evidence is the number of responses, with the top bit set if they were sent under high load.
	Evidence uint8
}

// Reports returns what this entry sends to the others now.
func (t *Table) Reports(now time.Time) []Report {
	switch since := now.Sub(t.reportedAt); {
	case since >= 0 && since < reportTime:
		return t.reports
	case since >= 0 && since < reportInterval:
		return nil
	}
	t.reports, t.reportedAt = nil, now
	for range t.rotation {
		t.next = (t.next + 1) % len(t.rotation)
		r := t.rotation[t.next]
		for n := range r.bands {
			r.bands[n].dropOldPending(now)
			if p := &r.bands[n].pending; p.count > 0 && len(t.reports) < MaxReports {
				t.reports = append(t.reports, newReport(r.Hash, p, n > 0))
				*p = cell{}
			}
		}
		if len(t.reports) == MaxReports {
			break
		}
	}
	return t.reports
}

func newReport(hash uint32, c *cell, high bool) Report {
	level := c.sum / float64(c.count) * reportOctave / octave
	r := Report{Server: hash, Level: uint8(level + 0.5), Evidence: uint8(min(c.count, highLoadFlag-1))}
	if high {
		r.Evidence |= highLoadFlag
	}
	return r
}

// Receive adds the reports of another entry. Those that its message before had too are skipped,
// since each report is sent in several messages.
func (t *Table) Receive(reports, before []Report, now time.Time) {
	for n, r := range reports {
		if n >= MaxReports {
			return
		}
		known := t.byHash[r.Server]
		count := int(r.Evidence &^ highLoadFlag)
		if known == nil || count == 0 || slices.Contains(before, r) {
			continue
		}
		b := &known.bands[0]
		if r.Evidence&highLoadFlag != 0 {
			b = &known.bands[1]
		}
		b.add(float64(r.Level)*octave/reportOctave, min(count, maxReportWeight), now)
	}
}
