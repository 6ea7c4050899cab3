package ledger

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const testRecordBytes = 4 << 10

// testLedger is a ledger with the records of its topics.
type testLedger struct {
	*Ledger
	g *WithT
	// jobLog and workLog hold all records appended to the two topics.
	jobLog, workLog []sardinerock.StoreRecord
	changes         int
}

func newTestLedger(t *testing.T) *testLedger {
	return &testLedger{Ledger: emptyLedger(), g: NewWithT(t)}
}

func emptyLedger() *Ledger {
	l := &Ledger{Events: &event.Logger{}}
	l.Prepare()
	l.ApplyJobs(nil, true)
	l.ApplyWork(nil, true)
	return l
}

// commit plans changes and applies their records.
func (t *testLedger) commit(changes ...func(p *Plan) (Verdict, error)) []Verdict {
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

// append appends records to their topics and applies them.
func (t *testLedger) append(records []sardinerock.StoreRecord) {
	for _, r := range records {
		k, err := parseKey(r.Key)
		t.g.Expect(err).NotTo(HaveOccurred())
		if k.aboutItems() {
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

// compacted returns the newest record of each key in the order of the topic.
func compacted(log []sardinerock.StoreRecord) []sardinerock.StoreRecord {
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
	for range items {
		a.Tokens = append(a.Tokens, tokens)
	}
	return a
}

func accept(a *Accepted, maxTokens int64) func(p *Plan) (Verdict, error) {
	return func(p *Plan) (Verdict, error) { return p.Accept(a, maxTokens) }
}

// finish plans a result with a text at an offset of the text topic.
func finish(job string, index int, offset int64) func(p *Plan) (Verdict, error) {
	return func(p *Plan) (Verdict, error) {
		return p.Finish(job, index, &Outcome{Item: string(rune('a' + index)), Succeeded: true, Text: textAt(offset)})
	}
}

func textAt(offset int64) sardinerock.ContentRef {
	return sardinerock.ContentRef{Partition: 3, Digest: uint64(offset), Ranges: []sardinerock.RecordRange{{Offset: offset, Records: 1, Bytes: 4}}}
}

// expectSameAfterReload checks that a load of the newest record of each key gives the same
// results, whichever topic is loaded first.
func (t *testLedger) expectSameAfterReload(job string) {
	want, known := t.Results(job, 0)
	for name, order := range map[string][]func(l *Ledger){
		"jobs first": {t.loadJobs, t.loadWork}, "work first": {t.loadWork, t.loadJobs}, "jobs twice": {t.loadJobs, t.loadWork, t.loadJobs},
	} {
		reloaded := &Ledger{Events: &event.Logger{}}
		reloaded.Prepare()
		for _, load := range order {
			load(reloaded)
		}
		got, reloadedKnown := reloaded.Results(job, 0)
		t.g.Expect(reloadedKnown).To(Equal(known), name)
		t.g.Expect(got).To(Equal(want), name)
		t.g.Expect(reloaded.WaitingTokens(QuotaKey{Route: "letters"})).To(Equal(t.WaitingTokens(QuotaKey{Route: "letters"})), name)
	}
}

func (t *testLedger) loadJobs(l *Ledger) { l.ApplyJobs(compacted(t.jobLog), true) }

func (t *testLedger) loadWork(l *Ledger) { l.ApplyWork(compacted(t.workLog), true) }

// A caller submits a job again because the first answer was lost, and the two submissions reach
// two entries at once. The job must count once against the quota and its items must not be listed
// twice.
func TestAcceptedOnce(t *testing.T) {
	l := newTestLedger(t)
	l.g.Expect(l.commit(accept(testJob("j1", 2, 10), 100), accept(testJob("j1", 2, 10), 100))).To(Equal([]Verdict{Applied, Applied}))
	l.g.Expect(l.commit(accept(testJob("j1", 2, 10), 100))).To(Equal([]Verdict{Applied}))
	l.g.Expect(l.WaitingTokens(QuotaKey{Route: "letters"})).To(BeEquivalentTo(20))
	other := testJob("j1", 2, 10)
	other.Digest = 8
	l.g.Expect(l.commit(accept(other, 100))).To(Equal([]Verdict{Conflict}))
}

// Two jobs that fit the quota alone but not together arrive at the same moment. The second one
// must be rejected. The quota is freed as items finish or the job ends.
func TestQuotaHoldsWithinOnePlan(t *testing.T) {
	l := newTestLedger(t)
	l.g.Expect(l.commit(accept(testJob("j1", 2, 30), 100), accept(testJob("j2", 2, 30), 100))).To(Equal([]Verdict{Applied, OverQuota}))
	l.commit(finish("j1", 0, 1))
	l.g.Expect(l.WaitingTokens(QuotaKey{Route: "letters"})).To(BeEquivalentTo(30))
	l.g.Expect(l.commit(accept(testJob("j2", 2, 30), 100))).To(Equal([]Verdict{Applied}))
	l.commit(func(p *Plan) (Verdict, error) { return p.End("j2") })
	l.g.Expect(l.WaitingTokens(QuotaKey{Route: "letters"})).To(BeEquivalentTo(30))
	l.commit(finish("j2", 1, 2))
	l.g.Expect(l.WaitingTokens(QuotaKey{Route: "letters"})).To(BeEquivalentTo(30), "tokens of an ended job are released only once")
	l.expectSameAfterReload("j1")
	l.expectSameAfterReload("j2")
}

// Two entries ran the same item because each considered the other unavailable. The caller must
// see one result at one position.
func TestSecondResultIsIgnored(t *testing.T) {
	l := newTestLedger(t)
	l.commit(accept(testJob("j1", 3, 1), 0))
	l.g.Expect(l.commit(finish("j1", 2, 1), finish("j1", 2, 2), finish("j1", 0, 3))).To(Equal([]Verdict{Applied, Stale, Applied}))
	l.g.Expect(l.commit(finish("j1", 2, 4))).To(Equal([]Verdict{Stale}))
	page, _ := l.Results("j1", 0)
	l.g.Expect(page.Results).To(HaveLen(2))
	l.g.Expect(page.Results[0].Text).To(Equal(textAt(1)))
	l.expectSameAfterReload("j1")
}

// The record of a job with many items exceeds the store's size limit for a record. It must be
// read back complete from several records.
func TestLargeJobsTakeSeveralRecords(t *testing.T) {
	const items = 3 * testRecordBytes
	l := newTestLedger(t)
	l.commit(accept(testJob("j1", items, 1), 0))
	l.g.Expect(len(l.jobLog)).To(BeNumerically(">", 1))
	l.g.Expect(l.WaitingTokens(QuotaKey{Route: "letters"})).To(BeEquivalentTo(items))
	l.expectSameAfterReload("j1")
}

// Expired jobs must be removed with all their records; open jobs must stay.
func TestExpireLeavesNoRecord(t *testing.T) {
	l := newTestLedger(t)
	l.commit(accept(testJob("j1", 1, 1), 0), accept(testJob("j2", 1, 1), 0))
	l.commit(func(p *Plan) (Verdict, error) { return p.Fail("j1", 0) })
	l.commit(finish("j1", 0, 1))
	expired := l.Expired(time.UnixMilli(2000), 10)
	l.g.Expect(expired).To(HaveLen(1))
	l.g.Expect(expired[0].Results).To(HaveLen(1), "their texts have to be removed as well")
	l.commit(func(p *Plan) (Verdict, error) {
		return p.Expire([]string{"j1", "j2", "j3"}, time.UnixMilli(2000), 1000)
	})
	l.g.Expect(l.Orphans()).To(Equal([]string{"j1"}))
	l.commit(func(p *Plan) (Verdict, error) { return p.RemoveOrphans([]string{"j1", "j2"}, 1000) })
	l.g.Expect(l.Orphans()).To(BeEmpty())
	_, known := l.Results("j1", 0)
	l.g.Expect(known).To(BeFalse())
	_, known = l.Results("j2", 0)
	l.g.Expect(known).To(BeTrue(), "an open job stays")
	for _, r := range append(compacted(l.jobLog), compacted(l.workLog)...) {
		l.g.Expect(r.Key).NotTo(ContainSubstring("/j1/"))
	}
	l.expectSameAfterReload("j2")
}

// A record with a malformed key must be skipped rather than applied to the wrong job or item.
func TestParseKeyRejectsMalformedKeys(t *testing.T) {
	for name, key := range map[string]string{
		"unknown kind":         "x/j1/0",
		"too short":            "r/j1/0",
		"index isn't a number": "r/j1/a/w-1.0/0",
		"negative index":       "f/j1/-1/w-1.0/0",
		"part isn't a number":  "f/j1/1/w-1.0/x",
		"empty key":            "",
		"job key without part": "j/j1",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseKey(key)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// The answer to an append is lost, and the store executes the append only after its retry;
// another entry's result comes between them. Entries that follow the topic see the first copy, an
// entry that starts later loads the newest record of each key. Both must list the same results at
// the same positions.
func TestRetriedRecordMovesNoResult(t *testing.T) {
	l := newTestLedger(t)
	l.commit(accept(testJob("j1", 2, 1), 0))
	plan := func(index, change, retries int, offset int64) []sardinerock.StoreRecord {
		p := l.NewPlan(testRecordBytes)
		p.Change = ChangeName("w", change, retries)
		_, err := finish("j1", index, offset)(p)
		l.g.Expect(err).NotTo(HaveOccurred())
		return p.Records
	}
	first, retry, other := plan(0, 1, 0, 1), plan(0, 1, 1, 1), plan(1, 2, 0, 2)
	for _, records := range [][]sardinerock.StoreRecord{first, other, retry} {
		l.append(records)
	}
	page, _ := l.Results("j1", 0)
	l.g.Expect(page.Results).To(HaveLen(2))
	l.g.Expect(page.Results[0].Text).To(Equal(textAt(1)))
	l.expectSameAfterReload("j1")
}

// The record of a failed run is appended twice because the first answer was lost. If it counted
// twice, the item would be given up with an attempt remaining.
func TestRepeatedFailureCountsOnce(t *testing.T) {
	l := newTestLedger(t)
	l.commit(accept(testJob("j1", 1, 1), 0))
	for retries := range 2 {
		p := l.NewPlan(testRecordBytes)
		p.Change = ChangeName("w", 1, retries)
		_, err := p.Fail("j1", 0)
		l.g.Expect(err).NotTo(HaveOccurred())
		l.append(p.Records)
	}
	l.commit(func(p *Plan) (Verdict, error) { return p.Fail("j1", 0) })
	l.g.Expect(l.OpenItems("")[0].Failures).To(Equal(2))
}

// Two owners plan the start of the last run that an item may have on the same state, one of them
// before it reads that the job was claimed, and appends are repeated after lost answers. One start
// must be valid, and it must be the same one for an entry that loads the topic later: otherwise the
// item would run once more for each owner that is lost.
func TestStartsStayWithinTheirLimit(t *testing.T) {
	const limit = 3
	l := newTestLedger(t)
	job := testJob("j1", 1, 1)
	job.Owner, job.OwnerStart = "a", 7
	l.commit(accept(job, 0))
	start := func(writer string, change, retries, epoch int) []sardinerock.StoreRecord {
		p := l.NewPlan(testRecordBytes)
		p.Change = ChangeName(writer, change, retries)
		_, err := p.Start("j1", 0, epoch, limit)
		l.g.Expect(err).NotTo(HaveOccurred())
		return p.Records
	}
	outdated := start("a", 9, 0, 0)
	l.append(start("a", 1, 0, 0))
	l.append(start("a", 1, 1, 0))
	l.commit(func(p *Plan) (Verdict, error) { return p.Claim("j1", "b", 0) })
	l.append(outdated)
	first, second := start("b", 1, 0, 1), start("b", 2, 0, 1)
	l.append(first)
	l.append(second)
	late := emptyLedger()
	l.loadWork(late)
	l.loadJobs(late)
	for name, entry := range map[string]*Ledger{"follows": l.Ledger, "loads later": late} {
		for change, valid := range map[string]bool{
			ChangeName("a", 1, 0): true, ChangeName("a", 9, 0): false, ChangeName("b", 1, 0): true, ChangeName("b", 2, 0): false,
		} {
			l.g.Expect(entry.Started("j1", 0, change)).To(Equal(valid), name+" "+change)
		}
		open := entry.OpenItems("b")[0]
		l.g.Expect(open.Runs).To(Equal(limit), name)
		l.g.Expect([]any{open.FirstOwner, open.FirstOwnerStart, open.Epoch}).To(Equal([]any{"a", int64(7), 1}), name)
	}
	l.g.Expect(start("b", 3, 0, 1)).To(BeEmpty(), "no run is left")
}

// Two entries consider the owner of a job unavailable and both claim it. The first claim in the
// topic is valid for all, the other one is ignored, and a retry of either changes nothing.
func TestFirstClaimHolds(t *testing.T) {
	l := newTestLedger(t)
	job := testJob("j1", 1, 1)
	job.Owner = "a"
	l.commit(accept(job, 0))
	l.g.Expect(l.Ownerships()).To(Equal([]Ownership{{Job: "j1", Owner: "a"}}))
	claim := func(owner string, change, retries int) []sardinerock.StoreRecord {
		p := l.NewPlan(testRecordBytes)
		p.Change = ChangeName(owner, change, retries)
		_, err := p.Claim("j1", owner, 0)
		l.g.Expect(err).NotTo(HaveOccurred())
		return p.Records
	}
	b, c, retry := claim("b", 1, 0), claim("c", 1, 0), claim("c", 1, 1)
	for _, records := range [][]sardinerock.StoreRecord{b, c, retry} {
		l.append(records)
	}
	l.g.Expect(l.Owner("j1")).To(Equal("b"))
	l.g.Expect(l.OpenItems("b")).To(HaveLen(1))
	l.g.Expect(l.OpenItems("a")).To(BeEmpty())
	l.g.Expect(l.commit(func(p *Plan) (Verdict, error) { return p.Claim("j1", "a", 0) })).To(Equal([]Verdict{Stale}), "another claim holds its epoch")
	l.commit(func(p *Plan) (Verdict, error) { return p.Claim("j1", "a", 1) })
	l.g.Expect(l.Owner("j1")).To(Equal("a"))

	late := emptyLedger()
	l.loadWork(late)
	late.ApplyJobs(l.jobLog, false)
	l.g.Expect(late.Ownerships()).To(Equal(l.Ownerships()), "an entry that starts later reads the same owners")
	l.commit(finish("j1", 0, 1))
	l.g.Expect(l.Ownerships()).To(BeEmpty())
}

// The topics are loaded independently, so an entry may read records about items before the
// acceptance of their job. No result may be lost, and tokens must be counted once.
func TestRecordsBeforeTheirJob(t *testing.T) {
	l := newTestLedger(t)
	l.commit(accept(testJob("j1", 2, 10), 0), finish("j1", 0, 1))
	late := emptyLedger()
	l.loadWork(late)
	late.ApplyJobs(l.jobLog, false)
	l.g.Expect(late.WaitingTokens(QuotaKey{Route: "letters"})).To(BeEquivalentTo(10))
	page, _ := late.Results("j1", 0)
	l.g.Expect(page.Results).To(HaveLen(1))
}
