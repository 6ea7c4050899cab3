package conns

import (
	"bytes"
	"errors"
	"io"
	"iter"
	"strconv"
	"strings"
	"time"
)

// maxEventBytes bounds an event. It holds the text of a few tokens.
const maxEventBytes = 256 << 10

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
	// scan is how far the buffer was searched for the end of an event.
	scan scan
	// consumed is the length of the part of the buffer that Next returned.
	consumed int
	err      error
}

// Next returns the next complete event. At the end of the body it returns io.EOF, or ErrUnproven if the
// framing doesn't prove that the body is complete, together with comments and empty lines that follow the last
// event. A body that ends inside an event is incomplete, whatever its framing says: the error then wraps
// ErrInsideEvent.
func (e *EventReader) Next() (Event, error) {
	e.discardConsumed()
	e.scan = scan{}
	for {
		if end := e.scan.eventLength(e.buffer); end > 0 {
			e.consumed = end
			return parseEvent(e.buffer[:end]), nil
		}
		switch {
		case e.err != nil:
			return e.last()
		case len(e.buffer) > maxEventBytes:
			e.err = e.Response.tooLarge()
			return Event{}, e.err
		}
		if err := e.Response.SetReadDeadline(e.ReadDeadline()); err != nil {
			if e.Response.conn.noRoom.Load() {
				e.err = e.Response.noRoom()
				return Event{}, e.err
			}
			return Event{}, err
		}
		var b [4 << 10]byte
		var n int
		n, e.err = e.Response.Read(b[:])
		if err := e.add(b[:n]); err != nil {
			e.err = err
			return Event{}, err
		}
	}
}

// discardConsumed removes what Next returned from the buffer. A buffer that was enlarged for a rare large event is replaced.
func (e *EventReader) discardConsumed() {
	rest := e.buffer[e.consumed:]
	if cap(e.buffer) > freeBytes && e.consumed < cap(e.buffer)/4 && len(rest) <= freeBytes/4 {
		e.buffer = append(make([]byte, 0, freeBytes/4), rest...)
		// Giving back doesn't fail.
		_ = e.Response.conn.holdEvents(cap(e.buffer))
	} else {
		e.buffer = e.buffer[:copy(e.buffer, rest)]
	}
	e.consumed = 0
}

// add adds received bytes to the buffer, for which it takes memory before it is enlarged.
func (e *EventReader) add(received []byte) error {
	if need := len(e.buffer) + len(received); need > cap(e.buffer) {
		size := max(2*cap(e.buffer), need)
		// Both buffers are held while one is copied.
		if err := e.Response.conn.holdEvents(cap(e.buffer) + size); err != nil {
			return e.Response.noRoom()
		}
		larger := make([]byte, len(e.buffer), size)
		copy(larger, e.buffer)
		e.buffer = larger
		_ = e.Response.conn.holdEvents(size)
	}
	e.buffer = append(e.buffer, received...)
	return nil
}

// last returns what follows the last complete event at the end of the body.
func (e *EventReader) last() (Event, error) {
	ended := errors.Is(e.err, io.EOF) || errors.Is(e.err, ErrUnproven)
	if ended && bytes.HasSuffix(e.buffer, []byte("\r\r")) {
		e.consumed = len(e.buffer)
		return parseEvent(e.buffer), nil
	}
	if ended && isInsideEvent(e.buffer) {
		e.err = e.Response.endInsideEvent()
		ended = false
	}
	if !ended {
		return Event{}, e.err
	}
	e.consumed = len(e.buffer)
	return Event{Raw: e.buffer}, e.err
}

// Partial returns the number of bytes that follow the last complete event at the end of the body.
func (e *EventReader) Partial() int {
	if e.err == nil {
		return 0
	}
	return len(e.buffer) - e.consumed
}

// lineEnd returns the length of the first line of b without its end, and where the next line starts. Lines end with
// LF, CRLF or CR. It returns false if the line has no end yet; a CR at the end of b isn't one, since an LF
// may follow.
func lineEnd(b []byte) (length, next int, ok bool) {
	i := bytes.IndexAny(b, "\r\n")
	switch {
	case i < 0 || b[i] == '\r' && i+1 == len(b):
		return 0, 0, false
	case b[i] == '\r' && b[i+1] == '\n':
		return i, i + 2, true
	}
	return i, i + 1, true
}

// scan is a search for the end of an event in a buffer that grows.
type scan struct {
	// start is where the first line starts that hasn't ended, and searched how far its end was searched for.
	start, searched int
	// hasContent is set if a line before it isn't empty.
	hasContent bool
}

// eventLength returns the length of the first event, including the empty line that ends it and any empty lines
// before it. It returns 0 if the event is incomplete.
func (s *scan) eventLength(b []byte) int {
	for {
		length, next, ok := lineEnd(b[s.searched:])
		if !ok {
			// A CR at the end may be followed by an LF.
			s.searched = max(s.searched, len(b)-1)
			return 0
		}
		length += s.searched - s.start
		s.start = s.searched + next
		s.searched = s.start
		if length == 0 && s.hasContent {
			return s.start
		}
		s.hasContent = s.hasContent || length > 0
	}
}

// isInsideEvent reports whether b, which holds no complete event, holds a part of one: anything but comments
// and empty lines.
func isInsideEvent(b []byte) bool {
	for line := range lines(b) {
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// lines returns the lines of b without their ends. The last one needs no end.
func lines(b []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			length, next, ok := lineEnd(b)
			if !ok {
				yield(bytes.TrimSuffix(b, []byte("\r")))
				return
			}
			if !yield(b[:length]) {
				return
			}
			b = b[next:]
		}
	}
}

func parseEvent(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(value))
		}
	}
	return e
}

// HasData reports whether the event has data lines.
func (e *Event) HasData() bool {
	for line := range lines(e.Raw) {
		if bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// Data returns the data lines of the event, joined by newlines, and whether it has any.
func (e *Event) Data() (string, bool) {
	var data []string
	for line := range lines(e.Raw) {
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = append(data, string(bytes.TrimPrefix(value, []byte(" "))))
		}
	}
	return strings.Join(data, "\n"), len(data) > 0
}

// IsNextEvent reports whether the event id may follow last, the last one that the caller received.
// A backend server that restarts a stream instead of resuming it would send the caller events twice.
// Ids that aren't numbers are not compared.
func IsNextEvent(last, id string) bool {
	lastNumber, lastErr := strconv.ParseInt(last, 10, 64)
	number, err := strconv.ParseInt(id, 10, 64)
	return lastErr != nil || err != nil || number == lastNumber+1
}
