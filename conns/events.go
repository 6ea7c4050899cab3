package conns

import (
	"bytes"
	"strconv"
	"strings"
	"time"
)

// Event is one server-sent event of a stream.
type Event struct {
	// Raw holds the bytes as received, valid until the next call of EventReader.Next.
	Raw []byte
	// ID is empty if the event has none.
	ID string
}

// EventReader splits the body of a response into events.
type EventReader struct {
	Response *Response
	// ReadDeadline returns the time by which the next bytes must arrive; the zero time means no limit.
	ReadDeadline func() time.Time

	buffer []byte
	// consumed is the length of the part of the buffer that Next returned.
	consumed int
	err      error
}

// Next returns the next complete event. At the end of the body it returns the remaining bytes
// with io.EOF.
func (e *EventReader) Next() (Event, error) {
	e.buffer = e.buffer[:copy(e.buffer, e.buffer[e.consumed:])]
	e.consumed = 0
	for {
		if end := eventLength(e.buffer); end > 0 {
			e.consumed = end
			return parseEvent(e.buffer[:end]), nil
		}
		if e.err != nil {
			e.consumed = len(e.buffer)
			return parseEvent(e.buffer), e.err
		}
		if err := e.Response.SetReadDeadline(e.ReadDeadline()); err != nil {
			return Event{}, err
		}
		var b [4 << 10]byte
		var n int
		n, e.err = e.Response.Read(b[:])
		e.buffer = append(e.buffer, b[:n]...)
	}
}

// Partial returns the number of bytes that follow the last complete event at the end of the body.
func (e *EventReader) Partial() int {
	if e.err == nil {
		return 0
	}
	return len(e.buffer)
}

// eventLength returns the length of the first event, including the empty line that ends it. It
// returns 0 if the event is incomplete.
func eventLength(b []byte) int {
	end := 0
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 && (end == 0 || i+4 < end) {
		end = i + 4
	}
	return end
}

func parseEvent(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(value))
		}
	}
	return e
}

// Data returns the data lines of the event, joined by newlines, and whether it has any.
func (e *Event) Data() (string, bool) {
	var lines []string
	for line := range bytes.Lines(e.Raw) {
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			value = bytes.TrimRight(value, "\r\n")
			lines = append(lines, string(bytes.TrimPrefix(value, []byte(" "))))
		}
	}
	return strings.Join(lines, "\n"), len(lines) > 0
}

// IsNextEvent reports whether the event id may follow last, the last one that the caller received.
// A backend server that restarts a stream instead of resuming it would send the caller events twice.
// Ids that aren't numbers are not compared.
func IsNextEvent(last, id string) bool {
	lastNumber, lastErr := strconv.ParseInt(last, 10, 64)
	number, err := strconv.ParseInt(id, 10, 64)
	return lastErr != nil || err != nil || number == lastNumber+1
}
