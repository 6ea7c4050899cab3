package bench

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/bundle"
)

func TestTracesAreWhatTheGeneratorMakes(t *testing.T) {
	for _, deployment := range []string{KesslingMarrow, Goldfields} {
		t.Run(deployment, func(t *testing.T) {
			g := NewWithT(t)
			trace, err := Generate(deployment, TraceSeed, TraceLength)
			g.Expect(err).NotTo(HaveOccurred())
			var again bytes.Buffer
			g.Expect(trace.Write(&again)).To(Succeed())
			kept, err := os.ReadFile("../traces/" + deployment + ".jsonl")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(kept, again.Bytes())).To(BeTrue(), "run: go run ./traces/gen traces")
			read, err := ReadTrace(&again)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read).To(Equal(trace))
			_, faults := bundle.Parse(mustRead(t, "../traces/"+deployment+".bundle.json"))
			g.Expect(faults).To(BeEmpty())
		})
	}
}

func mustRead(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(name)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return raw
}

func TestBadTracesAreRefusedWithTheLine(t *testing.T) {
	const header = `{"deployment":"x","durationMs":1000}` + "\n"
	for name, test := range map[string]struct{ text, want string }{
		"no header":        {"", "line 1"},
		"unknown field":    {header + `{"atMs":1,"kind":"call","speed":2}`, "line 2"},
		"unknown kind":     {header + `{"atMs":1,"kind":"walk"}`, `kind "walk"`},
		"not in order":     {header + `{"atMs":5,"kind":"call"}` + "\n" + `{"atMs":4,"kind":"call"}`, "line 3"},
		"job with no item": {header + `{"atMs":1,"kind":"job","maxTokens":4}`, "needs items"},
		"no length":        {header + `{"atMs":1,"kind":"online"}`, "maxTokens 0"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadTrace(strings.NewReader(test.text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(test.want)))
		})
	}
}

// A small trace on a small fleet: the report is there, and its last line has every figure.
func TestReplayWritesItsReport(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	trace, err := Generate(Goldfields, 2, TraceLength)
	g.Expect(err).NotTo(HaveOccurred())
	trace.Header.Sides, trace.Header.Entries = 6, 2
	file, err := os.Create(folder + "/trace.jsonl")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(trace.Write(file)).To(Succeed())
	g.Expect(file.Close()).To(Succeed())

	var out strings.Builder
	r := Replay{Trace: file.Name(), Report: folder + "/report", Length: time.Second, Policy: PolicyFifo, Out: &out}
	g.Expect(r.Run(t.Context())).To(Succeed(), "%s", &out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var summary Summary
	g.Expect(json.Unmarshal([]byte(lines[len(lines)-1]), &summary)).To(Succeed())
	g.Expect(summary.BatchItems).To(BeNumerically(">", 0))
	g.Expect(summary.Baseline.Policy).To(Equal(PolicyFifo))
	for _, name := range []string{rowsFile, progressFile, summaryFile, firstPicture, batchPicture} {
		info, err := os.Stat(folder + "/report/" + name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(info.Size()).To(BeNumerically(">", 100), name)
	}
}
