package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
)

// maxAnswerTokens bounds MaxTokens of a line, and of the model in the bundle.
const maxAnswerTokens = 1024

// Header is the first line of a trace and describes the fleet that it was recorded on.
type Header struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	// DurationMs is the length of the trace in milliseconds.
	DurationMs int64 `json:"durationMs"`
	// Entries, Sides and Services are how many there are of entries, of sides
	// beside model engines and of sides beside plain services. Zones are the
	// availability zones.
	Entries  int      `json:"entries"`
	Sides    int      `json:"sides"`
	Services int      `json:"services"`
	Zones    []string `json:"zones"`
	// Model is the only model. Slots is how many streams one engine runs at once.
	Model string `json:"model"`
	Slots int    `json:"slots"`
	// FirstTokenMs is the deployment's target for the time to first token.
	FirstTokenMs int      `json:"firstTokenMs"`
	ServiceNames []string `json:"serviceNames"`
	Callers      []string `json:"callers"`
}

// Kind is the kind of a line of a trace.
type Kind string

// The kinds of lines.
const (
	// KindOnline is a request for a streamed answer.
	KindOnline Kind = "online"
	// KindCall is a call of a plain service.
	KindCall Kind = "call"
	// KindJob is a batch job.
	KindJob Kind = "job"
)

// Line is one recorded request or job. Only the sizes of prompts are recorded;
// the replay generates a text of that size, always the same for the same line.
type Line struct {
	// AtMs is the time of arrival in milliseconds from the start of the trace.
	AtMs   int64  `json:"atMs"`
	Kind   Kind   `json:"kind"`
	Caller string `json:"caller"`
	// User is the field user of the request, the key that distinguishes requests of the same caller.
	User string `json:"user,omitempty"`
	// Prefix identifies the text that prompts share at their start, PrefixTokens is its length.
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefixTokens,omitempty"`
	// PromptTokens is the length of the rest of the prompt; for a job, of each item's prompt.
	PromptTokens int `json:"promptTokens,omitempty"`
	MaxTokens    int `json:"maxTokens,omitempty"`
	// Items is the number of items of a job.
	Items int `json:"items,omitempty"`
	// Service and Path are the plain service and the path of a call.
	Service string `json:"service,omitempty"`
	Path    string `json:"path,omitempty"`
}

// Trace is a recorded trace; Lines are sorted by AtMs.
type Trace struct {
	Header Header
	Lines  []Line
}

// Write writes the trace as JSONL: the header, then a line for each request and job.
func (t *Trace) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.Header); err != nil {
		return err
	}
	for i := range t.Lines {
		if err := encoder.Encode(&t.Lines[i]); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// Read reads and validates a trace. Errors include the number of the line.
func Read(r io.Reader) (*Trace, error) {
	decoder := json.NewDecoder(bufio.NewReader(r))
	decoder.DisallowUnknownFields()
	var t Trace
	if err := decoder.Decode(&t.Header); err != nil {
		return nil, merry.Prepend(err, "trace: line 1: header")
	}
	last := int64(0)
	for number := 2; ; number++ {
		var line Line
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) {
			return &t, nil
		}
		if err == nil {
			err = line.check(last)
		}
		if err != nil {
			return nil, merry.Prependf(err, "trace: line %d", number)
		}
		last = line.AtMs
		t.Lines = append(t.Lines, line)
	}
}

func (l *Line) check(last int64) error {
	switch {
	case l.AtMs < last:
		return merry.Errorf("atMs %d is before %d of the preceding line, sort the lines by time", l.AtMs, last)
	case l.Kind != KindOnline && l.Kind != KindCall && l.Kind != KindJob:
		return merry.Errorf("kind %q is none of online, call, job", l.Kind)
	case l.Kind == KindJob && l.Items <= 0:
		return merry.New("a job needs items")
	case l.Kind != KindCall && (l.MaxTokens <= 0 || l.MaxTokens > maxAnswerTokens):
		return merry.Errorf("maxTokens %d is not within 1 and %d", l.MaxTokens, maxAnswerTokens)
	}
	return nil
}

// Duration returns the length of the trace.
func (h *Header) Duration() time.Duration { return time.Duration(h.DurationMs) * time.Millisecond }
