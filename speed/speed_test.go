package speed

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var testStart = time.Unix(1000, 0)

const (
	fast = 19 * time.Millisecond
	slow = 41 * time.Millisecond
)

// newTable returns a table of n backend servers of one service.
func newTable(n int) *Table {
	t := &Table{}
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprint("i-", i), Service: "s", Hash: uint32(i + 1)})
	}
	t.SetServers(list)
	return t
}

func sample(event time.Duration) Sample {
	return Sample{Events: 22, Span: 21 * event, FirstByte: 10 * time.Millisecond}
}

// record records a response every 250 ms, the first one at testStart, and returns the time after the last.
func (t *Table) record(id string, event time.Duration, from time.Time, responses int) time.Time {
	for range responses {
		t.Record(id, sample(event), from)
		from = from.Add(250 * time.Millisecond)
	}
	return from
}

// expectEventTime checks an estimate; want 0 is none.
func (t *Table) expectEventTime(g *WithT, id string, want time.Duration, now time.Time, why string) {
	t.Update(now)
	g.Expect(t.Estimate(id, now).EventTime).To(BeNumerically("~", want, want/20), why)
}

// An estimate must need several responses over 2 s, must not change in one slow second, must follow a
// lasting change, and must age. Otherwise a pause of a backend server would move all online work.
func TestEstimateFollowsLastingChangesOnly(t *testing.T) {
	g := NewWithT(t)
	b := newTable(1)
	at := b.record("i-0", fast, testStart, 8)
	b.expectEventTime(g, "i-0", 0, at, "responses of less than 2 s")
	at = b.record("i-0", fast, at, 16)
	b.expectEventTime(g, "i-0", fast, at, "several responses")
	at = b.record("i-0", 10*fast, at, 4)
	b.expectEventTime(g, "i-0", fast, at, "one slow second")
	at = b.record("i-0", fast, at, 12)
	at = b.record("i-0", slow, at, 16)
	b.expectEventTime(g, "i-0", slow, at, "a lasting change")
	b.expectEventTime(g, "i-0", 0, at.Add(maxAge+time.Second), "too old")
}

// A backend server that is restarted must not inherit the estimate of the process before.
func TestEstimateEndsWithTheIncarnation(t *testing.T) {
	g := NewWithT(t)
	b := newTable(1)
	at := b.record("i-0", fast, testStart, 20)
	b.expectEventTime(g, "i-0", fast, at, "learned")
	b.SetServers([]Server{{ID: "i-0@2", Service: "s", Hash: 9}})
	b.expectEventTime(g, "i-0@2", 0, at, "restarted")
	b.SetServers([]Server{{ID: "i-0", Service: "s", Hash: 1}})
	b.expectEventTime(g, "i-0", 0, at, "forgotten")
}

// A backend server that warms up has few requests, and would be taken as the best one. It must count
// as slow until its stated time is over or its speed is known; a repeated registration must not extend that.
func TestWarmUpCountsUntilThereIsAnEstimate(t *testing.T) {
	g := NewWithT(t)
	b := newTable(3)
	at := b.record("i-0", fast, testStart, 20)
	b.record("i-1", slow, testStart, 20)
	cold := Server{ID: "i-2", Service: "s", Hash: 3, WarmUp: 4 * time.Second, Sequence: 1}
	list := []Server{{ID: "i-0", Service: "s", Hash: 1}, {ID: "i-1", Service: "s", Hash: 2}, cold}
	b.SetServers(list)
	b.Update(at)
	g.Expect(b.Estimate("i-2", at).Factor).To(BeNumerically(">=", 2))
	b.SetServers(list)
	b.Update(at.Add(5 * time.Second))
	g.Expect(b.Estimate("i-2", at.Add(5*time.Second)).Factor).To(Equal(1.0), "warm")
	at = b.record("i-2", fast, at, 24)
	b.SetServers(list)
	b.Update(at)
	g.Expect(b.Estimate("i-2", at).Factor).To(BeNumerically("<", 1), "known")
}

// Speeds that differ by less than a factor of 1.5, or of a few outliers only, must change no choice.
func TestDiffer(t *testing.T) {
	for name, test := range map[string]struct {
		first  int
		event  time.Duration
		differ bool
	}{
		"a quarter is twice as fast": {5, fast, true},
		"1.3 times":                  {5, 32 * time.Millisecond, false},
		"one of twenty":              {1, fast, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b, at := newTable(20), testStart
			for n := range 20 {
				event := slow
				if n < test.first {
					event = test.event
				}
				at = b.record(fmt.Sprint("i-", n), event, testStart, 20)
			}
			differ, _, _ := b.Differ("s", at)
			g.Expect(differ).To(Equal(test.differ))
			g.Expect(b.Relative("i-0").Fast).To(BeTrue())
			g.Expect(b.Relative("i-19").Fast).To(BeFalse())
			g.Expect(b.Estimate("i-0", at).Factor < 1).To(Equal(test.differ))
			g.Expect(b.Changes()).To(HaveLen(maxChanges))
		})
	}
}

// Entries must learn from each other's responses, must not feed a received report back, and must count
// each report once however many messages carry it.
func TestReportsReachOtherEntriesOnce(t *testing.T) {
	g := NewWithT(t)
	a, b := newTable(3), newTable(3)
	at := testStart
	var before []Report
	for n := 0; at.Sub(testStart) < 8*time.Second; n++ {
		if n%10 == 0 {
			a.Record(fmt.Sprint("i-", n/10%3), sample(slow), at)
		}
		reports := a.Reports(at)
		g.Expect(len(reports)).To(BeNumerically("<=", MaxReports))
		b.Receive(reports, before, at)
		g.Expect(b.Reports(at)).To(BeEmpty())
		before = reports
		at = at.Add(30 * time.Millisecond)
	}
	b.expectEventTime(g, "i-1", slow, at, "reported")
	responses := 0
	for _, c := range b.records["i-1"].bands[0].cells {
		responses += c.count
	}
	g.Expect(responses).To(BeNumerically("<=", 9), "as many as there were")
}

// A peer reports invalid values. They must not move an estimate by more than a bounded step, and other
// backend servers not at all.
func TestInvalidReportsMoveOneRecordALittle(t *testing.T) {
	for name, r := range map[string]Report{
		"slowest": {Server: 1, Level: 255, Evidence: 127}, "fastest": {Server: 1, Evidence: 127},
		"no evidence": {Server: 1, Level: 255}, "unknown": {Server: 77, Level: 255, Evidence: 127},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newTable(2)
			b.record("i-1", fast, testStart, 20)
			at := b.record("i-0", fast, testStart, 20)
			b.Receive([]Report{r, {Server: 1}, {Server: 2, Level: 255, Evidence: 127}}, nil, at)
			at = b.record("i-0", fast, at, 1)
			b.Update(at)
			g.Expect(b.Estimate("i-0", at).EventTime).To(BeNumerically("~", fast, fast/10))
			b.expectEventTime(g, "i-1", fast, at, "beyond the limit of reports")
		})
	}
}

// A caller that reads slowly must not make a backend server look slow, nor, since events queue up
// meanwhile, fast.
func TestSlowReaderDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	var m Meter
	now := testStart
	for n := range 40 {
		arrival := testStart.Add(time.Duration(n) * slow)
		reading := now
		if arrival.After(now) {
			now = arrival
		}
		m.Event(reading, now)
		if n%10 == 9 {
			now = now.Add(7*slow + slow/2)
		}
	}
	s := m.Sample(0.5)
	g.Expect(s.Events).To(BeNumerically(">", 10))
	g.Expect(s.Span / time.Duration(s.Events-1)).To(BeNumerically("~", slow, slow/20))
}

func BenchmarkUpdate(b *testing.B) {
	t := newTable(400)
	now := testStart
	for n := range 400 {
		now = t.record(fmt.Sprint("i-", n), fast+time.Duration(n%2)*slow, testStart, 20)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		t.services["s"].update(t, now, 0)
	}
}

func BenchmarkRecord(b *testing.B) {
	t, s := newTable(400), sample(fast)
	now := testStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		t.Record("i-7", s, now)
	}
}

// With hundreds of backend servers a rotation of the reports takes minutes. Responses that are too old for
// an estimate must not reach other entries as new evidence.
func TestOldResponsesAreNotReported(t *testing.T) {
	g := NewWithT(t)
	b := newTable(2)
	b.record("i-0", slow, testStart, 3)
	g.Expect(b.Reports(testStart.Add(maxAge + time.Second))).To(BeEmpty())
	at := testStart.Add(2 * maxAge)
	b.record("i-1", slow, testStart, 3)
	b.record("i-1", fast, at, 1)
	reports := b.Reports(at)
	g.Expect(reports).To(HaveLen(1))
	g.Expect(timeOf(float64(reports[0].Level) * octave / reportOctave)).To(BeNumerically("~", fast, fast/20))
	g.Expect(reports[0].Evidence).To(Equal(uint8(1)))
}
