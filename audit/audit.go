package audit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock/event"
)

// Line is one parsed log line of this system.
type Line struct {
	Time    time.Time
	Process string
	Event   event.ID
	Message string
	// Fields holds the remaining fields, without the level, as encoding/json decodes them.
	Fields map[string]any
}

// Errors of lines that can't be used.
var (
	// errForeignLine marks a line that another program wrote, such as a log collector.
	errForeignLine = errors.New("not a log line of this system")
	errTruncated   = errors.New("log line is truncated or damaged: not valid JSON")
)

// parse parses a line. It ignores what precedes the first brace, because log
// collectors put a prefix there.
func parse(raw []byte) (Line, error) {
	brace := bytes.IndexByte(raw, '{')
	if brace < 0 {
		return Line{}, errForeignLine
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[brace:], &fields); err != nil {
		if bytes.HasPrefix(raw[brace:], []byte(`{"time":`)) {
			return Line{}, errTruncated
		}
		return Line{}, errForeignLine
	}
	number, ok := fields["event"].(float64)
	if !ok {
		return Line{}, errForeignLine
	}
	line := Line{Event: event.ID(number), Fields: fields}
	line.Process, _ = fields["process"].(string)
	line.Message, _ = fields["message"].(string)
	text, _ := fields["time"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return Line{}, fmt.Errorf("log line has an invalid time: %w", err)
	}
	line.Time = parsed
	for _, name := range []string{"time", "level", "event", "process", "message"} {
		delete(fields, name)
	}
	return line, nil
}

// idFields are the fields that can hold the id of a request, job or item.
var idFields = []string{"request", "job", "item"}

// mentions reports whether one of the line's id fields equals id.
func (l *Line) mentions(id string) bool {
	return slices.ContainsFunc(idFields, func(name string) bool { return l.Fields[name] == id })
}

// contextEvents are events that concern many requests: changes in the known state of the
// store, the configuration, the peers and the backend servers, and starts and stops of
// processes.
var contextEvents = []event.ID{
	event.BackendState, event.LogOutage, event.LogBack, event.AppendFailed, event.BundleInForce, event.BundleRejected,
	event.PeerUp, event.PeerDown, event.Started, event.Stopping, event.Stopped, event.Reloaded, event.LinesDropped,
}

const (
	// contextBefore is how long before a request's first line context events are selected.
	contextBefore = 2 * time.Second
	// restartWindow is the time after a request's last line in which two context events are
	// still selected: a start of its process, and a peer's report that its process failed.
	restartWindow = 10 * time.Second
)

// Select returns the lines that mention an id, with the context events of the processes
// and backend servers that those lines name, sorted by time. It returns nil if no line
// mentions the id. Lines of different processes are ordered only as well as the clocks
// of those processes agree.
func Select(lines []Line, id string) []Line {
	var selected []Line
	processes, servers := map[string]bool{}, map[any]bool{}
	for _, l := range lines {
		if l.mentions(id) {
			selected = append(selected, l)
			processes[l.Process] = true
			if s := l.Fields["server"]; s != nil {
				servers[s] = true
			}
		}
	}
	if len(selected) == 0 {
		return nil
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].Time.Before(selected[j].Time) })
	first, last := selected[0].Time.Add(-contextBefore), selected[len(selected)-1].Time
	for _, l := range lines {
		if l.mentions(id) || l.Time.Before(first) || l.Time.After(last.Add(restartWindow)) || !slices.Contains(contextEvents, l.Event) {
			continue
		}
		peer, _ := l.Fields["peer"].(string)
		lost := l.Event == event.PeerDown && processes[peer]
		if !lost && (!processes[l.Process] || l.Time.After(last) && l.Event != event.Started) {
			continue
		}
		// A restart names both the new and the earlier process of a backend server.
		replaced, _ := l.Fields["replaced"].(string)
		if s := l.Fields["server"]; s == nil || servers[s] || servers[replaced] {
			selected = append(selected, l)
		}
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].Time.Before(selected[j].Time) })
	return selected
}

// WriteText writes lines that Select returned as text, one per row: the time since the
// first line that mentions the id, an asterisk if the line mentions the id, process, event number,
// message and fields. The last row is the outcome.
func WriteText(w io.Writer, lines []Line, id string) error {
	start := lines[slices.IndexFunc(lines, func(l Line) bool { return l.mentions(id) })].Time
	for i := range lines {
		l := &lines[i]
		marker := " "
		if l.mentions(id) {
			marker = "*"
		}
		if _, err := fmt.Fprintf(w, "%+9.3fs %s %-22s %3d %s%s\n", l.Time.Sub(start).Seconds(), marker, l.Process, l.Event, l.Message, l.details(id)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "outcome: "+Outcome(lines, id))
	return err
}

// details formats the fields that aren't empty, sorted by name, without those whose value is id.
func (l *Line) details(id string) string {
	names := make([]string, 0, len(l.Fields))
	for name, value := range l.Fields {
		if value != id && value != "" && value != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// finalEvents are the events that end a request, item or job, each with the text that
// Outcome reports for it.
var finalEvents = map[event.ID]string{
	event.RequestServed:  "answered",
	event.RequestRefused: "refused or given up",
	event.OverQuota:      "refused, its team's quota was used up",
	event.AnswerBroken:   "broken off in the middle of the answer",
	event.CallerLeft:     "the caller disconnected",
	event.ItemRecorded:   "recorded",
	event.JobAccepted:    "accepted",
	event.JobCancelled:   "ended by its caller",
	event.ItemFailed:     "given up",
}

// Outcome returns one line of text that says how a request, item or job ended, with its
// last failed attempt. lines are those that Select returned for the id.
func Outcome(lines []Line, id string) string {
	text, lastAttempt := "no log line says how it ended: such lines were dropped or are not in these files", ""
	var last *Line
	for i := range lines {
		l := &lines[i]
		if last != nil && l.Event == event.Started && l.Process == last.Process {
			// The process was killed: one that shuts down gracefully logs how its
			// requests ended.
			text = fmt.Sprintf("%s was lost with it: it started again %.1f s after the last line, without a graceful stop before",
				l.Process, l.Time.Sub(last.Time).Seconds())
			break
		}
		if last != nil && l.Event == event.PeerDown && l.Fields["peer"] == last.Process && l.Fields["leaving"] != true {
			text = fmt.Sprintf("%s was lost with it: %s reported it unreachable %.1f s after the last line", last.Process, l.Process, l.Time.Sub(last.Time).Seconds())
			break
		}
		if !l.mentions(id) {
			continue
		}
		last = l
		switch l.Event {
		case event.TryFailed, event.ItemStopped:
			if l.Fields["error"] != nil {
				lastAttempt = fmt.Sprintf("; last failed attempt: server=%v %v", l.Fields["server"], l.Fields["error"])
			}
		}
		if meaning, ok := finalEvents[l.Event]; ok {
			last = nil
			text = meaning
			for _, name := range []string{"status", "reason", "error", "succeeded", "runs", "took"} {
				if value := l.Fields[name]; value != nil {
					text += fmt.Sprintf(", %s %v", name, value)
				}
			}
		}
	}
	return text + lastAttempt
}
