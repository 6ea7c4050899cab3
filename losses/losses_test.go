package losses

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/audit"
	"github.com/sardinerock/sardinerock/event"
)

var testStart = time.Date(2026, 1, 2, 10, 0, 0, 0, time.UTC)

// line returns a log line with a time after milliseconds past testStart; fields is JSON.
func line(process string, after int, id event.ID, fields string) string {
	at := testStart.Add(time.Duration(after) * time.Millisecond).Format(time.RFC3339Nano)
	return fmt.Sprintf("{\"time\":%q,\"level\":\"info\",\"event\":%d,\"process\":%q,%s,\"message\":\"m\"}\n", at, id, process, fields)
}

func report(g *WithT, logs ...string) *Report {
	lines, problems, err := audit.ReadFile("a.log", strings.NewReader(strings.Join(logs, "")))
	g.Expect(err).NotTo(HaveOccurred())
	return Make(lines, problems)
}

// Each kind of log line that reports a loss must give one row with the right kind, cause,
// lateness and example.
func TestEachLossHasItsCause(t *testing.T) {
	const late = `"request":"r1","route":"chat","late":true,"target":300,"pause":250,"first":900,`
	for name, tt := range map[string]struct {
		id     event.ID
		fields string
		want   Loss
	}{
		"slot held by online work":  {event.RequestServed, late + `"inLine":800,"behind":"online","toFirst":80`, Loss{Kind: Late, Cause: causeSlotOnline, Lateness: 600 * time.Millisecond}},
		"slot held by batch work":   {event.RequestServed, late + `"inLine":800,"behind":"batch","toFirst":80`, Loss{Kind: Late, Cause: causeSlotBatch, Lateness: 600 * time.Millisecond}},
		"slow first byte":           {event.RequestServed, late + `"inLine":10,"toFirst":880`, Loss{Kind: Late, Cause: causeSlow, Lateness: 600 * time.Millisecond}},
		"retried by caller":         {event.RequestServed, late + `"before":1000,"inLine":10,"toFirst":80`, Loss{Kind: Late, Cause: causeCallerRetried, Lateness: 1600 * time.Millisecond}},
		"long pause":                {event.RequestServed, `"request":"r1","route":"chat","late":true,"target":300,"pause":250,"first":100,"toFirst":90,"longestPause":700`, Loss{Kind: Late, Cause: causePause, Lateness: 450 * time.Millisecond}},
		"refused":                   {event.RequestRefused, `"request":"r1","route":"chat","status":503,"reason":"no slot"`, Loss{Kind: Refused, Cause: "no slot"}},
		"over quota":                {event.OverQuota, `"request":"r1","route":"chat","team":"a"`, Loss{Kind: Refused, Cause: causeQuota}},
		"failed":                    {event.RequestRefused, `"request":"r1","route":"chat","status":502,"reason":"it broke"`, Loss{Kind: Failed, Cause: "it broke"}},
		"answer aborted":            {event.AnswerBroken, `"request":"r1","route":"chat","error":"reset"`, Loss{Kind: Failed, Cause: "reset"}},
		"caller left without right": {event.CallerLeft, `"request":"r1","route":"chat","took":2000,"inLine":1990,"behind":"rights"`, Loss{Kind: Left, Cause: causeSlotRights}},
		"caller left the queue":     {event.CallerLeft, `"request":"r1","route":"chat","took":2000,"inLine":1990,"behind":"fresh"`, Loss{Kind: Left, Cause: causeSlotHeadroom}},
		"late job":                  {event.JobAccepted, `"job":"r1","route":"chat","late":true`, Loss{Kind: JobLate, Cause: causeSlowAccept}},
		"preempted item":            {event.ItemRecorded, `"item":"r1","job":"j","route":"chat","succeeded":true,"verdict":0,"late":500,"age":9000,"ran":4000,"runs":3,"gaveWay":2,"recording":10`, Loss{Kind: ItemLate, Cause: causePreempted, Lateness: 500 * time.Millisecond}},
		"item queued too long":      {event.ItemRecorded, `"item":"r1","job":"j","route":"chat","succeeded":true,"verdict":0,"late":500,"age":9000,"ran":4000,"runs":1,"recording":10`, Loss{Kind: ItemLate, Cause: causeQueued, Lateness: 500 * time.Millisecond}},
		"item waited for the store": {event.ItemRecorded, `"item":"r1","job":"j","route":"chat","succeeded":true,"verdict":0,"late":500,"age":9000,"ran":2000,"runs":1,"recording":6000`, Loss{Kind: ItemLate, Cause: causeStore, Lateness: 500 * time.Millisecond}},
		"item given up":             {event.ItemRecorded, `"item":"r1","job":"j","route":"chat","succeeded":false,"verdict":0,"reason":"it is too old"`, Loss{Kind: ItemFailed, Cause: "it is too old"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := report(g, line("front-1", 0, tt.id, tt.fields))
			g.Expect(r.Rows).To(HaveLen(1))
			got := r.Rows[0]
			g.Expect(Loss{Kind: got.Kind, Cause: got.Cause, Lateness: time.Duration(got.LostSeconds * 1e9)}).To(Equal(tt.want))
			g.Expect(got.Example).To(Equal("r1"))
			g.Expect(got.Route).To(Equal("chat"))
			g.Expect(got.Processes).To(HaveKeyWithValue("front-1", 1))
		})
	}
}

// Answers, items and jobs on time, rejections of invalid requests and results that were
// not recorded must give no row.
func TestOnTimeIsNoLoss(t *testing.T) {
	g := NewWithT(t)
	r := report(g,
		line("front-1", 0, event.RequestServed, `"request":"r1","first":80`),
		line("front-1", 0, event.ItemRecorded, `"item":"i1","succeeded":true,"verdict":0,"age":9000`),
		line("front-1", 0, event.ItemRecorded, `"item":"i1","succeeded":true,"verdict":4,"late":9000`),
		line("front-1", 0, event.JobAccepted, `"job":"j1","late":false`),
		line("front-1", 0, event.RequestRefused, `"request":"r3","status":404,"reason":"no route"`),
		line("front-1", 0, event.LinesDropped, `"lines":7`),
	)
	g.Expect(r.Rows).To(BeEmpty())
	g.Expect([]int{r.Answered, r.Items, r.Dropped}).To(Equal([]int{1, 1, 7}))
}

// An entry is killed while it answers, so no line reports how the request ended. The loss
// must be found from the entry's next start, or from the missing outcome.
func TestRequestsOfAKilledEntryAreLost(t *testing.T) {
	g := NewWithT(t)
	r := report(g,
		line("front-1", 0, event.RouteChosen, `"request":"r1","route":"chat","server":"i-1"`),
		line("front-1", 10, event.RouteChosen, `"request":"r2","route":"chat","server":"i-1"`),
		line("front-1", 20, event.RequestServed, `"request":"r2","route":"chat"`),
		line("front-2", 30, event.RouteChosen, `"request":"r3","route":"chat","server":"i-1"`),
		line("front-1", 2000, event.Started, `"role":"entry"`),
		line("front-2", 20000, event.PeerUp, `"peer":"front-1"`),
		line("front-2", 20010, event.RouteChosen, `"request":"r4","route":"chat","server":"i-1"`),
	)
	g.Expect(r.Rows).To(HaveLen(2))
	found := map[string]string{}
	for _, row := range r.Rows {
		g.Expect(row.Kind).To(Equal(Lost))
		found[row.Example] = row.Cause
	}
	g.Expect(found).To(Equal(map[string]string{"r1": causeEntryLost, "r3": causeNoOutcome}))
}

// Unusable input must be reported with file and line, and the other lines must still count.
func TestUnusableInputIsReported(t *testing.T) {
	good := line("front-1", 0, event.RequestRefused, `"request":"r1","status":503,"reason":"no slot"`)
	for name, tt := range map[string]struct {
		logs string
		rows int
		want string
	}{
		"not a log":           {"hello\nworld\n", 0, "a.log: no log line of this system"},
		"empty":               {"", 0, "a.log: no log line of this system"},
		"truncated line":      {good + good[:60] + "\n" + good, 1, "a.log:2: log line is truncated or damaged"},
		"truncated last line": {good + good[:60], 1, "a.log:2: log line is truncated or damaged"},
		"overlong line":       {good + strings.Repeat("x", 3<<20) + "\n" + good, 1, "a.log:2: log line is longer than"},
		"invalid time":        {good + strings.Replace(good, "2026", "then", 1), 1, "a.log:2: log line has an invalid time"},
		"several runs":        {good + line("front-1", 3600_000, event.Started, `"role":"entry"`), 1, "no log line for 3600 s"},
		"clock skew": {
			line("front-1", 5000, event.JobAccepted, `"job":"j"`) + line("front-2", 1000, event.ItemStarted, `"job":"j","item":"i"`) + good,
			1, "the clock of front-2 is at least 4.0 s behind that of front-1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := report(g, tt.logs)
			g.Expect(r.Rows).To(HaveLen(tt.rows))
			g.Expect(r.Problems).To(HaveLen(1))
			g.Expect(r.Problems[0].String()).To(ContainSubstring(tt.want))
		})
	}
}

func TestTextAndJSON(t *testing.T) {
	g := NewWithT(t)
	r := report(g,
		line("front-1", 0, event.RequestRefused, `"request":"r1","route":"chat","status":503,"reason":"no slot"`),
		line("front-2", 2500, event.RequestRefused, `"request":"r2","route":"chat","status":503,"reason":"no slot"`),
	)
	var out bytes.Buffer
	g.Expect(r.WriteText(&out)).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`2 +0\.0 +refused +chat +no slot +r1`))
	g.Expect(out.String()).To(MatchRegexp(`front-2 +refused 1`))
	g.Expect(out.String()).To(MatchRegexp(`\+2 s +refused 1`))
	out.Reset()
	g.Expect(r.WriteJSON(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring(`"seconds": {`))
	g.Expect(out.String()).To(ContainSubstring(`"example": "r1"`))
}

func FuzzMake(f *testing.F) {
	f.Add([]byte(line("front-1", 0, event.RequestServed, `"request":"r1","late":true,"first":"x"`)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		lines, problems, err := audit.ReadFile("f", bytes.NewReader(raw))
		if err != nil {
			t.Fatal(err)
		}
		if err := Make(lines, problems).WriteText(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
}
