package losses

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/sardinerock/sardinerock/audit"
	"github.com/sardinerock/sardinerock/event"
)

// Row counts the losses of one kind, cause and route.
type Row struct {
	Kind  Kind   `json:"kind"`
	Cause string `json:"cause"`
	Route string `json:"route,omitempty"`
	Count int    `json:"count"`
	// LostSeconds is the sum of their lateness.
	LostSeconds float64 `json:"lostSeconds"`
	// Processes counts them by entry, Seconds by second since Report.From.
	Processes map[string]int `json:"processes"`
	Seconds   map[int]int    `json:"seconds"`
	// Example is the id of the first one, for the explain command.
	Example string `json:"example"`
}

// Report holds the losses of the time that the logs cover.
type Report struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Answered counts the requests with a complete answer, Items the items with a result.
	Answered int `json:"answered"`
	Items    int `json:"items"`
	// Dropped counts the lines that processes dropped over their log budget. Up to as many
	// losses may be missing from the report.
	Dropped int `json:"droppedLines"`
	// Rows are sorted by count, the largest first.
	Rows     []Row           `json:"rows"`
	Problems []audit.Problem `json:"problems,omitempty"`
}

// Make builds a report from the lines of all entries. It sorts lines by time, and adds
// gaps and clock skew between entries to the problems.
func Make(lines []audit.Line, problems []audit.Problem) *Report {
	r := &Report{Problems: problems}
	slices.SortStableFunc(lines, func(a, b audit.Line) int { return a.Time.Compare(b.Time) })
	if len(lines) > 0 {
		r.From, r.To = lines[0].Time, lines[len(lines)-1].Time
	}
	var all []Loss
	for n := range lines {
		l := &lines[n]
		r.count(l)
		if loss, ok := lossOf(l); ok {
			all = append(all, loss)
		}
	}
	r.addRows(append(all, unfinished(lines)...))
	r.Problems = append(append(r.Problems, gaps(lines)...), skews(lines)...)
	return r
}

func (r *Report) count(l *audit.Line) {
	switch l.Event {
	case event.RequestServed:
		r.Answered++
	case event.ItemRecorded:
		if number(l, "verdict") == 0 && l.Fields["error"] == nil {
			r.Items++
		}
	case event.LinesDropped:
		r.Dropped += int(number(l, "lines"))
	}
}

// addRows groups losses into rows and sorts these by count, the largest first.
func (r *Report) addRows(all []Loss) {
	type key struct {
		kind         Kind
		cause, route string
	}
	rows := map[key]*Row{}
	for n := range all {
		l := &all[n]
		k := key{l.Kind, l.Cause, l.Route}
		row := rows[k]
		if row == nil {
			row = &Row{Kind: l.Kind, Cause: l.Cause, Route: l.Route, Example: l.ID, Processes: map[string]int{}, Seconds: map[int]int{}}
			rows[k] = row
		}
		row.Count++
		row.LostSeconds += l.Lateness.Seconds()
		row.Processes[l.Process]++
		row.Seconds[int(l.At.Sub(r.From).Seconds())]++
	}
	for _, row := range rows {
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Route, b.Route))
	})
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as tables of text: by cause, by entry and by second.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s to %s, %.0f s: %d requests answered, %d items with a result\n",
		r.From.UTC().Format(time.RFC3339), r.To.UTC().Format(time.RFC3339), r.To.Sub(r.From).Seconds(), r.Answered, r.Items)
	if r.Dropped > 0 {
		fmt.Fprintf(t, "%d lines were dropped over the budget; losses that they reported are missing here\n", r.Dropped)
	}
	fmt.Fprintln(t, "\ncount\tlost s\tkind\troute\tcause\texample")
	for n := range r.Rows {
		row := &r.Rows[n]
		fmt.Fprintf(t, "%d\t%.1f\t%s\t%s\t%s\t%s\n", row.Count, row.LostSeconds, row.Kind, row.Route, row.Cause, row.Example)
	}
	fmt.Fprintln(t, "\nby entry\t")
	writeSums(t, sums(r.Rows, func(row *Row) map[string]int { return row.Processes }), func(name string) string { return name })
	fmt.Fprintln(t, "\nby second\t")
	writeSums(t, sums(r.Rows, func(row *Row) map[int]int { return row.Seconds }), func(s int) string { return fmt.Sprintf("%+d s", s) })
	for n := range r.Problems {
		fmt.Fprintf(t, "problem: %s\n", r.Problems[n].String())
	}
	return t.Flush()
}

// sums adds up the counts of all rows for each kind. counts returns those of a row by K,
// the entry or the second.
func sums[K cmp.Ordered](rows []Row, counts func(row *Row) map[K]int) map[K]map[Kind]int {
	all := map[K]map[Kind]int{}
	for n := range rows {
		for k, count := range counts(&rows[n]) {
			if all[k] == nil {
				all[k] = map[Kind]int{}
			}
			all[k][rows[n].Kind] += count
		}
	}
	return all
}

func writeSums[K cmp.Ordered](w io.Writer, all map[K]map[Kind]int, name func(k K) string) {
	keys := make([]K, 0, len(all))
	for k := range all {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(w, "%s\t", name(k))
		kinds := make([]Kind, 0, len(all[k]))
		for kind := range all[k] {
			kinds = append(kinds, kind)
		}
		slices.Sort(kinds)
		for _, kind := range kinds {
			fmt.Fprintf(w, " %s %d", kind, all[k][kind])
		}
		fmt.Fprintln(w)
	}
}
