package audit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// maxLineBytes is the length from which on a line is reported as a problem, not parsed.
const maxLineBytes = 1 << 20

// Problem is a line or file that can't be used, or that makes a report unreliable.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1; 0 is the file as a whole.
	Line int `json:"line,omitempty"`
	// What describes what is wrong.
	What string `json:"what"`
}

// String returns "file:line: what", without the line number if that is 0.
func (p *Problem) String() string {
	if p.Line == 0 {
		return p.File + ": " + p.What
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.What)
}

// Read parses the lines of a log and skips all that aren't valid lines of this system.
// The error is that of the reader.
func Read(r io.Reader) ([]Line, error) {
	lines, _, err := ReadFile("", r)
	return lines, err
}

// ReadFile parses the lines of a log and reports damaged or overlong lines, and a file
// without any valid line, as problems with the given file name. Lines of other programs
// are skipped. The error is that of the reader.
func ReadFile(name string, r io.Reader) ([]Line, []Problem, error) {
	var lines []Line
	var problems []Problem
	b := bufio.NewReaderSize(r, maxLineBytes)
	for number := 1; ; number++ {
		raw, tooLong, err := b.ReadLine()
		for unread := tooLong; unread && err == nil; {
			_, unread, err = b.ReadLine()
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return lines, problems, err
		}
		if tooLong {
			problems = append(problems, Problem{name, number, fmt.Sprintf("log line is longer than %d bytes", maxLineBytes)})
			continue
		}
		line, err := parse(raw)
		switch {
		case err == nil:
			lines = append(lines, line)
		case !errors.Is(err, errForeignLine):
			problems = append(problems, Problem{name, number, err.Error()})
		}
	}
	if len(lines) == 0 {
		problems = append(problems, Problem{File: name, What: "no log line of this system; pass the standard output of entries"})
	}
	return lines, problems, nil
}
