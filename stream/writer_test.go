package stream

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/sardinerock/sardinerock"
)

// propertyRuns is how many random runs each property gets; the users ask for at least 10,000.
const propertyRuns = "10000"

func checkProperty(t *testing.T, property func(*rapid.T)) {
	old := flag.Lookup("rapid.checks").Value.String()
	if err := flag.Set("rapid.checks", propertyRuns); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = flag.Set("rapid.checks", old) }()
	rapid.Check(t, property)
}

// fate is what the log makes of one append.
type fate int

const (
	fateTaken fate = iota
	fateRefused
	// fateAnswerLost takes effect, but the answer is an error.
	fateAnswerLost
	// fateLost never takes effect, and the answer is the same error.
	fateLost
	// fateLate answers the same error and takes effect at any later time.
	fateLate
	fates
)

var errNoAnswer = errors.New("no answer")

// stepLog is a log whose next answers are set by the test.
type stepLog struct {
	records []sardinerock.LogRecord
	first   int64
	next    int64
	late    [][]byte
	fate    fate
	jump    int64
}

func (l *stepLog) put(data []byte) int64 {
	offset := l.next
	l.records = append(l.records, sardinerock.LogRecord{Offset: offset, Data: data})
	l.next += 1 + l.jump
	return offset
}

func (l *stepLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	switch l.fate {
	case fateTaken:
		return l.put(data), nil
	case fateRefused:
		return 0, sardinerock.ErrLogRefused
	case fateAnswerLost:
		l.put(data)
	case fateLate:
		l.late = append(l.late, data)
	}
	return 0, errNoAnswer
}

func (l *stepLog) deliver(i int) {
	l.put(l.late[i])
	l.late = append(l.late[:i:i], l.late[i+1:]...)
}

func (l *stepLog) Read(_ context.Context, _ string, from int64, _ time.Duration) ([]sardinerock.LogRecord, error) {
	if from < l.first {
		return nil, sardinerock.ErrLogGap
	}
	for i, r := range l.records {
		if r.Offset >= from {
			return l.records[i:], nil
		}
	}
	return nil, nil
}

func (l *stepLog) Bounds(context.Context, string) (sardinerock.LogBounds, error) {
	return sardinerock.LogBounds{First: l.first, Next: l.next}, nil
}

// process is one writer with its own tail, stepped by the test.
type process struct {
	w       *Writer
	tail    *Tail
	group   *group
	applied map[string]int
}

func newProcess(l *stepLog, id uint64, now func() time.Time) *process {
	p := &process{applied: map[string]int{}}
	p.w = &Writer{Log: l, Stream: "s", ID: id, Now: now, ReadsBack: true, MaxBytes: 60}
	p.tail = &Tail{Log: l, Stream: "s"}
	p.tail.Apply = func(e *Entry) {
		p.w.Observe(e)
		for _, r := range e.Records {
			if r != nil {
				p.applied[string(r)]++
			}
		}
	}
	return p
}

// step makes the next append that the writer wants to make.
func (p *process) step() {
	if p.group == nil {
		p.group = p.w.take()
	}
	if p.group == nil {
		return
	}
	if !p.w.settle(p.group) {
		_ = p.w.try(context.Background(), p.group)
	}
	if p.w.settle(p.group) {
		p.group = nil
	}
}

func (p *process) poll(most int) {
	records, err := p.tail.Read(context.Background(), 0)
	if err == nil {
		p.tail.Fold(records[:min(most, len(records))])
	}
}

// writerModel draws what happens to two writers on one stream.
type writerModel struct {
	t       *rapid.T
	log     *stepLog
	now     time.Time
	all     []*process
	tickets map[string]*Ticket
}

func (m *writerModel) draw(name string, most int) int { return rapid.IntRange(0, most).Draw(m.t, name) }

func (m *writerModel) act() {
	p := m.all[m.draw("process", len(m.all)-1)]
	m.log.jump = int64(m.draw("jump", 2))
	switch m.draw("act", 7) {
	case 0, 1:
		name := fmt.Sprint("record-", len(m.tickets))
		var giveUp time.Time
		if m.draw("gives up", 2) > 0 {
			giveUp = m.now.Add(time.Duration(m.draw("patience", 3)) * time.Second)
		}
		m.tickets[name] = p.w.Queue([]byte(name), giveUp)
	case 2, 3:
		m.log.fate = fate(m.draw("fate", int(fates)-1))
		p.step()
	case 4:
		p.poll(m.draw("records", 4))
	case 5:
		m.now = m.now.Add(time.Second)
	case 6:
		if len(m.log.late) > 0 {
			m.log.deliver(m.draw("late", len(m.log.late)-1))
		}
	case 7:
		m.restart(p)
	}
}

// restart reads again from a checkpoint that another process made, after the log dropped what came before it.
func (m *writerModel) restart(p *process) {
	from := m.all[m.draw("from", len(m.all)-1)]
	snapshot := from.tail.Seen.Snapshot(0)
	data, err := proto.Marshal(&Part{Writers: snapshot})
	if err != nil {
		m.t.Fatal(err)
	}
	part := &Part{}
	if err := proto.Unmarshal(data, part); err != nil {
		m.t.Fatal(err)
	}
	if from.tail.Next < p.tail.Next {
		return
	}
	applied := map[string]int{}
	for name, n := range from.applied {
		applied[name] = n
	}
	p.tail.Seen, p.tail.Next, p.applied = RestoreSeen(part.GetWriters()), from.tail.Next, applied
}

// finish lets the log answer until every record's fate is known.
func (m *writerModel) finish() {
	m.log.fate = fateTaken
	m.now = m.now.Add(time.Hour)
	for range 200 {
		open := false
		for _, p := range m.all {
			p.step()
			p.poll(1000)
			p.step()
			open = open || p.group != nil || p.w.hasWork()
		}
		if !open {
			return
		}
	}
	for _, p := range m.all {
		m.t.Logf("writer %d: group %+v, %d queued, tail at %d of %d", p.w.ID, p.group, len(p.w.queue), p.tail.Next, m.log.next)
	}
	m.t.Fatal("a record's fate stays open although the log answers")
}

// Callers are told "accepted" or "not run" for a record, and both must stay
// true whatever copies of it turn up later. Two writers meet an append that is
// refused, whose answer is lost before or after it took effect, or that takes
// effect at any later time; they repeat, give up and withdraw, and read again
// from each other's checkpoints. Each record that was acknowledged counts once
// in every reader, each that was called not appended never.
func TestPropertyRecordsCountOnce(t *testing.T) {
	checkProperty(t, func(r *rapid.T) {
		m := &writerModel{t: r, log: &stepLog{}, now: time.Unix(1000, 0), tickets: map[string]*Ticket{}}
		now := func() time.Time { return m.now }
		m.all = []*process{newProcess(m.log, 11, now), newProcess(m.log, 22, now)}
		for range rapid.IntRange(5, 60).Draw(r, "steps") {
			m.act()
		}
		m.finish()
		for len(m.log.late) > 0 {
			m.log.deliver(0)
		}
		reader := newProcess(m.log, 33, now)
		for _, p := range append(m.all, reader) {
			p.poll(1 << 20)
			m.expectCounts(p)
		}
	})
}

func (m *writerModel) expectCounts(p *process) {
	for name, ticket := range m.tickets {
		_, err := ticket.Wait(context.Background())
		want := 1
		if err != nil {
			want = 0
		}
		if p.applied[name] != want {
			m.t.Fatalf("writer %d: %s ended with %v and counts %d times", p.w.ID, name, err, p.applied[name])
		}
	}
}

// The caller of a second record is told "accepted" although the log refused
// it. The first one's answer was lost, so it was withdrawn, too late; the tail
// read that withdrawal only when the second was under way and took it for the
// second's. Found by the property above after 6482 runs.
func TestLateWithdrawalSaysNothingOfTheNextRecord(t *testing.T) {
	g := NewWithT(t)
	l := &stepLog{fate: fateAnswerLost}
	p := newProcess(l, 1, time.Now)
	p.w.Queue([]byte("first"), time.Now())
	p.group = p.w.take()
	_ = p.w.try(context.Background(), p.group)
	l.fate = fateTaken
	p.step()
	p.poll(1)
	p.step()
	second := p.w.Queue([]byte("second"), time.Time{})
	l.fate = fateRefused
	p.step()
	p.poll(1)
	p.step()
	g.Expect(p.applied).To(HaveKeyWithValue("first", 1))
	g.Expect(second.p.done).NotTo(BeClosed())
	l.fate = fateTaken
	p.step()
	p.poll(1)
	g.Expect(second.p.done).To(BeClosed())
	g.Expect(p.applied).To(HaveKeyWithValue("second", 1))
}

// A caller that stops waiting before its record went out is told for certain
// that it will not be there; one that stops later learns that this is open.
func TestAbandonedRecord(t *testing.T) {
	g := NewWithT(t)
	l := &stepLog{}
	p := newProcess(l, 1, time.Now)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := p.w.Queue([]byte("a"), time.Time{}).Wait(over)
	g.Expect(err).To(MatchError(ErrNotAppended))
	ticket := p.w.Queue([]byte("b"), time.Time{})
	l.fate = fateLost
	p.step()
	_, err = ticket.Wait(over)
	g.Expect(err).To(MatchError(ErrUnresolved))
	p.poll(10)
	g.Expect(p.applied).To(BeEmpty())
}

// Callers that wait when an entry stops are told so at once, not at their deadline.
func TestStoppedWriterAnswersWhatWaits(t *testing.T) {
	g := NewWithT(t)
	p := newProcess(&stepLog{}, 1, time.Now)
	before := p.w.Queue([]byte("a"), time.Time{})
	over, cancel := context.WithCancel(context.Background())
	cancel()
	_ = p.w.Run(over)
	after := p.w.Queue([]byte("b"), time.Time{})
	for _, ticket := range []*Ticket{before, after} {
		g.Expect(ticket.p.done).To(BeClosed())
	}
}
