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

// table is a ledger with the offset that its next record gets.
type table struct {
	*Ledger
	g    *WithT
	next int64
	log  []sardinerock.StoreRecord
}

func newTable(t *testing.T) *table {
	l := &Ledger{Events: &event.Logger{}}
	l.Prepare()
	return &table{Ledger: l, g: NewWithT(t)}
}

// commit makes a plan of changes and applies its records.
func (t *table) commit(changes ...func(p *Plan) (Verdict, error)) []Verdict {
	p := t.NewPlan(testRecordBytes)
	var verdicts []Verdict
	for _, change := range changes {
		v, err := change(p)
		t.g.Expect(err).NotTo(HaveOccurred())
		verdicts = append(verdicts, v)
	}
	for i := range p.Records {
		p.Records[i].Offset = t.next
		t.next++
	}
	t.log = append(t.log, p.Records...)
	t.Apply(p.Records, false)
	return verdicts
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
	newest := map[string]int{}
	for i, r := range t.log {
		newest[r.Key] = i
	}
	var records []sardinerock.StoreRecord
	for i, r := range t.log {
		if newest[r.Key] == i && r.Value != nil {
			records = append(records, r)
		}
	}
	other := &Ledger{Events: &event.Logger{}}
	other.Prepare()
	other.Apply(records, true)
	want, known := t.Results(job, 0)
	got, alsoKnown := other.Results(job, 0)
	t.g.Expect(alsoKnown).To(Equal(known))
	t.g.Expect(got).To(Equal(want))
	t.g.Expect(other.Waiting("letters")).To(Equal(t.Waiting("letters")))
}

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
	l.g.Expect(open[0].Progress).To(Equal(Progress{LastEvent: "2", Text: "e1\ne2", Steps: 1}))
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
	_, known := l.Results("j1", 0)
	l.g.Expect(known).To(BeFalse())
	_, known = l.Results("j2", 0)
	l.g.Expect(known).To(BeTrue(), "an open job stays")
	newest := map[string][]byte{}
	for _, r := range l.log {
		newest[r.Key] = r.Value
	}
	for key, value := range newest {
		if strings.Contains(key, "/j1/") {
			l.g.Expect(value).To(BeNil(), key)
		}
	}
	l.expectSameAfterReload("j2")
}

func TestParseKeyRefusesWhatIsNotItsOwn(t *testing.T) {
	for name, key := range map[string]string{
		"unknown kind":  "x/j1/0",
		"too short":     "r/j1/0",
		"no number":     "r/j1/a/0",
		"negative":      "p/j1/0/-1/0",
		"nothing":       "",
		"slash too few": "j/j1",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseKey(key)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}
