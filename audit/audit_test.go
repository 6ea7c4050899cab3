package audit

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const logs = `  3.1 front-1 {"time":"2026-01-02T10:00:01.000Z","level":"info","event":201,"process":"front-1","request":"r1","server":"i-1","online":3,"message":"sent"}
a line of another program
{"time":"2026-01-02T10:00:00.500Z","level":"info","event":407,"process":"front-1","server":"i-1","message":"backend server added or its draining state changed"}
{"time":"2026-01-02T10:00:00.600Z","level":"info","event":407,"process":"front-1","server":"i-9","message":"backend server added or its draining state changed"}
{"time":"2026-01-02T10:00:01.200Z","level":"warn","event":905,"process":"front-1","request":"r1","server":"i-1","error":"reset","message":"try failed"}
{"time":"2026-01-02T10:00:01.300Z","level":"warn","event":901,"process":"front-1","request":"r1","status":502,"reason":"the backend server broke off","runs":1,"message":"given up"}
{"time":"2026-01-02T10:00:01.250Z","level":"info","event":902,"process":"front-2","request":"r2","message":"answered"}
`

func TestLinesAndOutcomeOfARequest(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(logs))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines).To(HaveLen(6))
	chosen := Select(lines, "r1")
	g.Expect(chosen).To(HaveLen(4), "three of its own and the state of its backend server")
	g.Expect(chosen[0].Message).To(Equal("backend server added or its draining state changed"))
	var out bytes.Buffer
	g.Expect(WriteText(&out, chosen, "r1")).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("outcome: refused or given up, status 502, reason the backend server broke off, runs 1; last failed attempt: server=i-1 reset"))
	g.Expect(out.String()).To(ContainSubstring("   -0.500s"))
	g.Expect(Select(lines, "r3")).To(BeEmpty())
}

// A request on the earlier process of a backend server must show that it was replaced, since that explains
// the broken connection.
func TestRestartOfABackendServerIsSelected(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(strings.ReplaceAll(logs, `"server":"i-9"`, `"server":"i-1@b","replaced":"i-1"`)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Select(lines, "r1")).To(HaveLen(5))
}

func TestOutcomeIfTheProcessWasKilled(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(strings.SplitAfter(logs, "\n")[0]))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Outcome(Select(lines, "r1"), "r1")).To(ContainSubstring("no log line says how it ended"))
	restarted, err := Read(strings.NewReader(logs[:strings.IndexByte(logs, '\n')+1] +
		`{"time":"2026-01-02T10:00:03.000Z","level":"info","event":101,"process":"front-1","message":"started"}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Outcome(Select(restarted, "r1"), "r1")).To(ContainSubstring("front-1 was lost with it: it started again 2.0 s"))
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(logs))
	f.Fuzz(func(t *testing.T, raw []byte) {
		lines, err := Read(bytes.NewReader(raw))
		if err == nil && len(lines) > bytes.Count(raw, []byte("\n"))+1 {
			t.Fatalf("read %d lines from input with %d line breaks", len(lines), bytes.Count(raw, []byte("\n")))
		}
	})
}
