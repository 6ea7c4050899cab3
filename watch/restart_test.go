package watch

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/event"
)

// ids returns the sorted IDs of the listed backend servers; a draining one is marked.
func (l *list) ids() string {
	ids := slices.Sorted(maps.Keys(l.servers))
	for i, id := range ids {
		if l.servers[id].Draining {
			ids[i] += " draining"
		}
	}
	return strings.Join(ids, ",")
}

// A backend server that restarted must be used again although its sequence starts again, and no late
// registration of an earlier process may bring that one back.
func TestIncarnations(t *testing.T) {
	for name, test := range map[string]struct {
		// steps are registrations of i-1; an empty one removes it.
		steps []string
		want  string
	}{
		"later start, lower sequence":               {[]string{"r9@5", "r1@6"}, "i-1@6"},
		"later start after draining":                {[]string{"d9@5", "r1@6"}, "i-1@6"},
		"first stated start":                        {[]string{"d9", "r1@6"}, "i-1@6"},
		"earlier start":                             {[]string{"r1@6", "r9@5"}, "i-1@6"},
		"earlier start, draining":                   {[]string{"r1@6", "d9@5"}, "i-1@6"},
		"no start after a stated one":               {[]string{"r1@6", "d9"}, "i-1@6"},
		"equal starts, higher sequence":             {[]string{"r1@6", "d2@6"}, "i-1@6 draining"},
		"equal starts, lower sequence":              {[]string{"d2@6", "r1@6"}, "i-1@6 draining"},
		"no starts, lower sequence":                 {[]string{"d2", "r1"}, "i-1 draining"},
		"earlier start after the removal":           {[]string{"r1@6", "", "r9@5"}, ""},
		"no start after the removal of a stated":    {[]string{"r1@6", "", "r9"}, ""},
		"equal start after the removal":             {[]string{"r2@6", "", "r1@6"}, "i-1@6"},
		"later start after the removal":             {[]string{"r2@6", "", "r1@7"}, "i-1@7"},
		"no start after the removal of one without": {[]string{"d2", "", "r1"}, "i-1"},
		"earlier start after an unreadable one":     {[]string{"r1@6", "x", "r9@5"}, ""},
		"earlier start after two removals":          {[]string{"r1@6", "", "r9@5", "", "r9@5"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			l := newList()
			for _, value := range test.steps {
				l.Apply(record("i-1", value), false)
			}
			NewWithT(t).Expect(l.ids()).To(Equal(test.want))
		})
	}
}

// A registration that can't be read names no usable backend server: requests must no longer go to the
// one that was known under its key, also within an outage's grace period, and the others must stay.
func TestUnreadableRegistrationRemovesItsServer(t *testing.T) {
	g := NewWithT(t)
	l := newList()
	l.Metrics = metrics.NewRegistry()
	l.Apply(append(record("i-1", "r1"), record("i-2", "r1@5")...), true)
	l.StoreRecovered()
	l.Apply(append(record("i-1", ""), record("i-2", "")...), false)
	g.Expect(l.ids()).To(Equal("i-1,i-2@5"))
	l.Apply(append(record("i-1", "x"), record("i-3", "x")...), false)
	g.Expect(l.ids()).To(Equal("i-2@5"))
	g.Expect(l.lapsed).To(HaveLen(1))
	g.Expect(metrics.GetOrRegisterCounter("servers.unreadable", l.Metrics).Count()).To(BeEquivalentTo(2))
}

// A reload of all registrations must follow the same rules, and must not forget the starts.
func TestIncarnationsOverReloads(t *testing.T) {
	g := NewWithT(t)
	l := newList()
	l.Apply(append(record("i-1", "r9@5"), record("i-2", "r9@5")...), true)
	l.Apply(append(record("i-1", "r1@6"), record("i-3", "r1")...), true)
	g.Expect(l.ids()).To(Equal("i-1@6,i-3"))
	l.Apply(append(record("i-1", "r9@5"), record("i-2", "r9@4")...), true)
	g.Expect(l.ids()).To(Equal("i-1@6"))
}

// A backend server of which the registration expired in an outage of the store may have restarted in it.
func TestLapsedServerRestarts(t *testing.T) {
	g := NewWithT(t)
	l := newList()
	l.Apply(record("i-1", "r9@5"), true)
	l.StoreRecovered()
	l.Apply(record("i-1", ""), false)
	l.Apply(record("i-1", "r9@4"), false)
	g.Expect(l.lapsed).To(HaveLen(1), "an earlier start must not renew it")
	l.Apply(record("i-1", "r1@6"), false)
	l.Expire(time.Now().Add(2 * reregisterTime))
	g.Expect(l.ids()).To(Equal("i-1@6"))
}

// Names are never used up: what is remembered of removed backend servers must be bounded.
func TestRemovedStartsAreBounded(t *testing.T) {
	g := NewWithT(t)
	l := newList()
	for n := range maxRemovedStarts + 10 {
		id := fmt.Sprint("i-", n)
		l.Apply(record(id, "r1@6"), false)
		l.Apply(record(id, ""), false)
	}
	g.Expect(l.removedStarts.Len()).To(Equal(maxRemovedStarts))
}

// A restart must be found in the log under both IDs, and a backend server that repeats a registration
// that is ignored must not fill the log.
func TestRegistrationLines(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	l := newList()
	l.Metrics = metrics.NewRegistry()
	l.Events = &event.Logger{Sink: &log.Logger{Writer: log.IOWriter{Writer: &lines}}}
	l.Apply(record("i-1", "r9@5"), false)
	l.Apply(record("i-1", "r1@6"), false)
	g.Expect(lines.String()).To(MatchRegexp(`"event":407.*"server":"i-1@6".*"replaced":"i-1@5".*restarted`))
	for range 3 {
		lines.Reset()
		l.Apply(record("i-1", "r9@5"), false)
		l.Apply(record("i-2", "x"), false)
	}
	g.Expect(lines.String()).To(BeEmpty())
	l.Apply(record("i-2", "x1y"), false)
	l.Apply(record("i-3", "x"), false)
	g.Expect(strings.Count(lines.String(), `"event":407`)).To(Equal(2), "another error and another key have lines of their own")
	g.Expect(metrics.GetOrRegisterCounter("servers.restarted", l.Metrics).Count()).To(BeEquivalentTo(1))
	g.Expect(metrics.GetOrRegisterCounter("servers.outdated", l.Metrics).Count()).To(BeEquivalentTo(3))
}

// Thousands of unreadable registrations must neither fill the log nor the memory.
func TestLineLimit(t *testing.T) {
	g := NewWithT(t)
	var l lineLimit
	start := time.Now()
	g.Expect(l.allow("k", "a", start)).To(BeTrue())
	g.Expect(l.allow("k", "a", start.Add(lineInterval-1))).To(BeFalse())
	g.Expect(l.allow("k", "b", start)).To(BeTrue())
	g.Expect(l.allow("k", "a", start.Add(lineInterval))).To(BeTrue())
	at, written := start.Add(time.Hour), 0
	for n := range 3 * maxLimitedLines {
		if l.allow(fmt.Sprint(n%(2*maxLimitedLines)), "a", at) {
			written++
		}
	}
	g.Expect(written).To(Equal(maxLimitedLines))
	g.Expect(l.allow("k", "a", at.Add(lineInterval))).To(BeTrue())
	g.Expect(l.lines.Len()).To(Equal(maxLimitedLines))
}
