package ledger

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const testRecordBytes = 4 << 10

// table is a ledger with the records of its topics.
type table struct {
	*Ledger
	g *WithT
	// jobLog and workLog are the records of both topics.
	jobLog, workLog []sardinerock.StoreRecord
	changes         int
}

func newTable(t *testing.T) *table {
	return &table{Ledger: emptyLedger(), g: NewWithT(t)}
}

func emptyLedger() *Ledger {
	l := &Ledger{Events: &event.Logger{}}
	l.Prepare()
	l.ApplyJobs(nil, true)
	l.ApplyWork(nil, true)
	return l
}

// commit makes a plan of changes and applies its records.
func (t *table) commit(changes ...func(p *Plan) (Verdict, error)) []Verdict {
	p := t.NewPlan(testRecordBytes)
	var verdicts []Verdict
	for _, change := range changes {
		t.changes++
		p.Change = ChangeName("w", t.changes, 0)
		v, err := change(p)
		t.g.Expect(err).NotTo(HaveOccurred())
		verdicts = append(verdicts, v)
	}
	t.append(p.Records)
	return verdicts
}

// append brings records into their topics and applies them.
func (t *table) append(records []sardinerock.StoreRecord) {
	for _, r := range records {
		k, err := parseKey(r.Key)
		t.g.Expect(err).NotTo(HaveOccurred())
		if k.ofItem() {
			r.Offset = int64(len(t.workLog))
			t.workLog = append(t.workLog, r)
			t.ApplyWork([]sardinerock.StoreRecord{r}, false)
		} else {
			r.Offset = int64(len(t.jobLog))
			t.jobLog = append(t.jobLog, r)
			t.ApplyJobs([]sardinerock.StoreRecord{r}, false)
		}
	}
}

// newest returns the newest record of each key in the order of the topic.
func newest(log []sardinerock.StoreRecord) []sardinerock.StoreRecord {
	last := map[string]int{}
	for i, r := range log {
		last[r.Key] = i
	}
	var records []sardinerock.StoreRecord
	for i, r := range log {
		if last[r.Key] == i && r.Value != nil {
			records = append(records, r)
		}
	}
	return records
}

func testJob(id string, items int, tokens int64) *Accepted {
	a := &Accepted{ID: id, Route: "letters", Host: "a.example", CreatedAt: 1000, Digest: 7}
	for i := range items {
		a.Items = append(a.Items, sardinerock.BatchItem{ID: string(rune('a' + i)), Path: "/x", Body: []byte("body"), Tokens: tokens})
	}
	return a
}

func accept(a *Accepted, most int64) func(p *Plan) (Verdict, error) {
	return func(p *Plan) (Verdict, error) { return p.Accept(a, most) }
}

func finish(job string, index int, text string) func(p *Plan) (Verdict, error) {
	return func(p *Plan) (Verdict, error) {
		return p.Finish(job, index, &sardinerock.BatchResult{Item: string(rune('a' + index)), Succeeded: true, Text: text})
	}
}

func proceed(job string, index int, last, text string) func(p *Plan) (Verdict, error) {
	return func(p *Plan) (Verdict, error) { return p.Proceed(job, index, Progress{LastEvent: last, Text: text}) }
}

// expectSameAfterReload checks that reading the newest record of each key gives the same results.
func (t *table) expectSameAfterReload(job string) {
	want, known := t.Results(job, 0)
	for name, order := range map[string][]func(l *Ledger){
		"jobs first": {t.loadJobs, t.loadWork}, "work first": {t.loadWork, t.loadJobs}, "jobs again": {t.loadJobs, t.loadWork, t.loadJobs},
	} {
		other := &Ledger{Events: &event.Logger{}}
		other.Prepare()
		for _, load := range order {
			load(other)
		}
		got, alsoKnown := other.Results(job, 0)
		t.g.Expect(alsoKnown).To(Equal(known), name)
		t.g.Expect(got).To(Equal(want), name)
		t.g.Expect(other.Waiting("letters")).To(Equal(t.Waiting("letters")), name)
	}
}

func (t *table) loadJobs(l *Ledger) { l.ApplyJobs(newest(t.jobLog), true) }

func (t *table) loadWork(l *Ledger) { l.ApplyWork(newest(t.workLog), true) }

// A caller's job is sent again, because the first answer was lost on the way,
// and reaches two entries at once. It must count once against the quota and
// its items must not be listed twice.
func TestAcceptedOnce(t *testing.T) {
	l := newTable(t)
	l.g.Expect(l.commit(accept(testJob("j1", 2, 10), 100), accept(testJob("j1", 2, 10), 100))).To(Equal([]Verdict{Made, Made}))
	l.g.Expect(l.commit(accept(testJob("j1", 2, 10), 100))).To(Equal([]Verdict{Made}))
	l.g.Expect(l.Waiting("letters")).To(BeEquivalentTo(20))
	other := testJob("j1", 2, 10)
	other.Digest = 8
	l.g.Expect(l.commit(accept(other, 100))).To(Equal([]Verdict{Conflict}))
}

// Two jobs that fit alone but not together come at the same moment. The one
// that stands second is refused, and room comes back as items finish or the job ends.
func TestQuotaHoldsWithinOnePlan(t *testing.T) {
	l := newTable(t)
	l.g.Expect(l.commit(accept(testJob("j1", 2, 30), 100), accept(testJob("j2", 2, 30), 100))).To(Equal([]Verdict{Made, OverQuota}))
	l.commit(finish("j1", 0, "x"))
	l.g.Expect(l.Waiting("letters")).To(BeEquivalentTo(30))
	l.g.Expect(l.commit(accept(testJob("j2", 2, 30), 100))).To(Equal([]Verdict{Made}))
	l.commit(func(p *Plan) (Verdict, error) { return p.End("j2") })
	l.g.Expect(l.Waiting("letters")).To(BeEquivalentTo(30))
	l.commit(finish("j2", 1, "y"))
	l.g.Expect(l.Waiting("letters")).To(BeEquivalentTo(30), "an ended job's items count once only")
	l.expectSameAfterReload("j1")
	l.expectSameAfterReload("j2")
}

// Two entries ran the same item, since each took the other for gone. The
// caller must see one result at one position.
func TestSecondResultIsVoid(t *testing.T) {
	l := newTable(t)
	l.commit(accept(testJob("j1", 3, 1), 0))
	l.g.Expect(l.commit(finish("j1", 2, "first"), finish("j1", 2, "second"), finish("j1", 0, "third"))).To(Equal([]Verdict{Made, Void, Made}))
	l.g.Expect(l.commit(finish("j1", 2, "again"))).To(Equal([]Verdict{Void}))
	page, _ := l.Results("j1", 0)
	l.g.Expect(page.Results).To(HaveLen(2))
	l.g.Expect(page.Results[0].Text).To(Equal("first"))
	l.expectSameAfterReload("j1")
}

// An item's text is recorded in steps while it runs; the entry is lost, and
// another one goes on from the last step. The text must be whole, each event once.
func TestTextIsMadeOfSteps(t *testing.T) {
	l := newTable(t)
	l.commit(accept(testJob("j1", 1, 1), 0))
	l.g.Expect(l.commit(proceed("j1", 0, "2", "e1\ne2"))).To(Equal([]Verdict{Made}))
	l.g.Expect(l.commit(proceed("j1", 0, "2", "e1\ne2"))).To(Equal([]Verdict{Void}), "nothing new")
	l.g.Expect(l.commit(proceed("j1", 0, "9", "other"))).To(Equal([]Verdict{Void}), "not what stands there")
	open := l.OpenItems(func(string) bool { return true })
	l.g.Expect(open[0].Progress).To(Equal(Progress{LastEvent: "2", Text: "e1\ne2", Step: "w-2"}))
	// A step and the result in one append: the result has to build on the step.
	l.commit(proceed("j1", 0, "3", "e1\ne2\ne3"), finish("j1", 0, "e1\ne2\ne3\ne4"))
	page, _ := l.Results("j1", 0)
	l.g.Expect(page.Results[0].Text).To(Equal("e1\ne2\ne3\ne4"))
	l.g.Expect(page.Open).To(BeFalse())
	l.expectSameAfterReload("j1")
}

// A text larger than the store's largest record comes back whole.
func TestLargeValuesTakeSeveralRecords(t *testing.T) {
	l := newTable(t)
	l.commit(accept(testJob("j1", 1, 1), 0))
	text := strings.Repeat("0123456789", 2000)
	l.commit(finish("j1", 0, text))
	page, _ := l.Results("j1", 0)
	l.g.Expect(page.Results[0].Text).To(Equal(text))
	l.expectSameAfterReload("j1")
}

// Old jobs are removed with all their records, open ones are not.
func TestExpireLeavesNoRecord(t *testing.T) {
	l := newTable(t)
	l.commit(accept(testJob("j1", 1, 1), 0), accept(testJob("j2", 1, 1), 0))
	l.commit(proceed("j1", 0, "1", "e1"))
	l.commit(finish("j1", 0, "e1\n"+strings.Repeat("x", 2*testRecordBytes)))
	l.commit(func(p *Plan) (Verdict, error) { return p.Expire(time.UnixMilli(2000), 1000) })
	l.g.Expect(l.Orphans()).To(Equal([]string{"j1"}))
	l.commit(func(p *Plan) (Verdict, error) { return p.Clear([]string{"j1", "j2"}, 1000) })
	l.g.Expect(l.Orphans()).To(BeEmpty())
	_, known := l.Results("j1", 0)
	l.g.Expect(known).To(BeFalse())
	_, known = l.Results("j2", 0)
	l.g.Expect(known).To(BeTrue(), "an open job stays")
	for _, r := range append(newest(l.jobLog), newest(l.workLog)...) {
		l.g.Expect(r.Key).NotTo(ContainSubstring("/j1/"))
	}
	l.expectSameAfterReload("j2")
}

func TestParseKeyRefusesWhatIsNotItsOwn(t *testing.T) {
	for name, key := range map[string]string{
		"unknown kind":  "x/j1/0",
		"too short":     "r/j1/0",
		"no number":     "r/j1/a/w-1.0/0",
		"negative":      "p/j1/-1/w-1.0/0",
		"no part":       "p/j1/1/w-1.0/x",
		"nothing":       "",
		"slash too few": "j/j1",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseKey(key)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// A store loses the answer to an append and does it all the same, later than
// its repeat, in front of which another entry's result stands. The entries that
// followed saw the first copy, one that starts afterwards reads the newest of
// each key. Both must list the same results at the same positions.
func TestRepeatedRecordMovesNothing(t *testing.T) {
	l := newTable(t)
	l.commit(accept(testJob("j1", 2, 1), 0))
	plan := func(index, change, repeats int, text string) []sardinerock.StoreRecord {
		p := l.NewPlan(testRecordBytes)
		p.Change = ChangeName("w", change, repeats)
		_, err := finish("j1", index, text)(p)
		l.g.Expect(err).NotTo(HaveOccurred())
		return p.Records
	}
	first, repeat, other := plan(0, 1, 0, "one"), plan(0, 1, 1, "one"), plan(1, 2, 0, "two")
	for _, records := range [][]sardinerock.StoreRecord{first, other, repeat} {
		l.append(records)
	}
	page, _ := l.Results("j1", 0)
	l.g.Expect(page.Results).To(HaveLen(2))
	l.g.Expect(page.Results[0].Text).To(Equal("one"))
	l.expectSameAfterReload("j1")
}

// A run failed and its record was appended twice, since the first answer was
// lost. An item given up for that would be lost to its caller with a try to spare.
func TestRepeatedFailureCountsOnce(t *testing.T) {
	l := newTable(t)
	l.commit(accept(testJob("j1", 1, 1), 0))
	for repeats := range 2 {
		p := l.NewPlan(testRecordBytes)
		p.Change = ChangeName("w", 1, repeats)
		_, err := p.Fail("j1", 0)
		l.g.Expect(err).NotTo(HaveOccurred())
		l.append(p.Records)
	}
	l.commit(func(p *Plan) (Verdict, error) { return p.Fail("j1", 0) })
	l.g.Expect(l.OpenItems(func(string) bool { return true })[0].Failures).To(Equal(2))
}

// Two entries run the same item and record different steps at the same time;
// one of them ends with a result built on what it had read before. Its text is
// whole and each event is in it once.
func TestResultBuildsOnTheStepsThatItsWriterSaw(t *testing.T) {
	l := newTable(t)
	l.commit(accept(testJob("j1", 1, 1), 0), proceed("j1", 0, "2", "e1\ne2"))
	p := l.NewPlan(testRecordBytes)
	p.Change = ChangeName("other", 1, 0)
	_, err := finish("j1", 0, "e1\ne2\ne3\ne4")(p)
	l.g.Expect(err).NotTo(HaveOccurred())
	l.commit(proceed("j1", 0, "3", "e1\ne2\ne3"))
	l.append(p.Records)
	page, _ := l.Results("j1", 0)
	l.g.Expect(page.Results[0].Text).To(Equal("e1\ne2\ne3\ne4"))
	l.expectSameAfterReload("j1")
}

// An entry reads an item's records before the acceptance of its job, since the
// topics are read apart. Nothing is lost by that, and tokens are counted once.
func TestRecordsBeforeTheirJob(t *testing.T) {
	l := newTable(t)
	l.commit(accept(testJob("j1", 2, 10), 0), finish("j1", 0, "x"))
	late := emptyLedger()
	l.loadWork(late)
	late.ApplyJobs(l.jobLog, false)
	l.g.Expect(late.Waiting("letters")).To(BeEquivalentTo(10))
	page, _ := late.Results("j1", 0)
	l.g.Expect(page.Results).To(HaveLen(1))
}

// Two entries run the same item; each records two steps at once. Only one's
// steps may count, or the text would have an event twice.
func TestStepsOfTwoEntriesDontMix(t *testing.T) {
	l := newTable(t)
	l.commit(accept(testJob("j1", 1, 1), 0))
	p := l.NewPlan(testRecordBytes)
	for n, change := range []func(p *Plan) (Verdict, error){proceed("j1", 0, "2", "e1\ne2"), proceed("j1", 0, "3", "e1\ne2\ne3"), finish("j1", 0, "e1\ne2\ne3\ne4")} {
		p.Change = ChangeName("other", n, 0)
		_, err := change(p)
		l.g.Expect(err).NotTo(HaveOccurred())
	}
	l.commit(proceed("j1", 0, "1", "e1"), proceed("j1", 0, "2", "e1\ne2"))
	l.append(p.Records)
	l.g.Expect(l.OpenItems(func(string) bool { return true })[0].Progress.Text).To(Equal("e1\ne2"))
	l.commit(finish("j1", 0, "e1\ne2\ne3\ne4"))
	page, _ := l.Results("j1", 0)
	l.g.Expect(page.Results[0].Text).To(Equal("e1\ne2\ne3\ne4"))
	l.expectSameAfterReload("j1")
}
