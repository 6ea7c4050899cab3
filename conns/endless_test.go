package conns_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/platform"
)

const (
	// maxEndlessBytes is more than a connection's buffers hold, besides what is read.
	maxEndlessBytes = 24 << 20
	// endlessTime bounds a test of bytes without end.
	endlessTime = 10 * time.Second

	endlessChunk = 16 << 10
	streamHead   = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
)

// endless writes a head, and then repeats a text until the connection is closed. It counts the bytes.
func endless(written *atomic.Int64, head, repeated string) script {
	return func(c net.Conn, r *http.Request) bool {
		head := strings.ReplaceAll(head, "$ID", r.Header.Get("Request-Id"))
		if _, err := io.WriteString(c, head); err != nil {
			return false
		}
		chunk := bytes.Repeat([]byte(repeated), endlessChunk/len(repeated)+1)
		for written.Load() < 20*maxEndlessBytes {
			n, err := c.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
		return false
	}
}

// TestHeadsWithoutEndAreBounded guards against a backend server that sends bytes without end in place of a response
// being read until the request's time is over.
func TestHeadsWithoutEndAreBounded(t *testing.T) {
	for name, tt := range map[string]struct{ head, repeated string }{
		"bytes without a line":           {"", "x"},
		"status line":                    {"HTTP/1.1 200 ", "O"},
		"header line":                    {"HTTP/1.1 200 OK\r\nRequest-Id: ", "a"},
		"header lines":                   {"HTTP/1.1 200 OK\r\n", "Header: value\r\n"},
		"folded header":                  {"HTTP/1.1 200 OK\r\nHeader: value\r\n", " value\r\n"},
		"informational heads":            {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"response to another, length":    {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"response to another, chunks":    {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"response to another, unframed":  {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x"},
		"responses to others":            {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx"},
		"chunk extension, of another":    {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer, of another's response": {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Trailer: value\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var written atomic.Int64
			b := startBackend(t, endless(&written, tt.head, tt.repeated), write(okResponse))
			c := &conns.Conns{Dialect: platform.Dialect{}}
			ctx, cancel := context.WithTimeout(context.Background(), endlessTime)
			defer cancel()
			_, err := c.Send(ctx, &b.BackendServer, call("r1"), sardinerock.Attempt{Instance: b.ID, Remaining: time.Second}, nil)
			g.Expect(err).To(MatchError(conns.ErrIncomplete))
			g.Expect(errors.Is(err, conns.ErrNotSent)).To(BeFalse(), "the request may have run")
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the connection is closed at once")
			g.Expect(written.Load()).To(BeNumerically("<", maxEndlessBytes))
			body, err := exchange(c, b, "r2")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("body"))
		})
	}
}

// TestReservationsWithoutEndAreBounded guards against the same in the response to a reservation.
func TestReservationsWithoutEndAreBounded(t *testing.T) {
	for name, tt := range map[string]struct{ head, repeated string }{
		"header line": {"HTTP/1.1 200 OK\r\nHeader: ", "a"},
		"body":        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var written atomic.Int64
			hang := endless(&written, tt.head, tt.repeated)
			b := startBackend(t, hang, hang, hang)
			begin := time.Now()
			_, err := (&conns.Conns{Dialect: platform.Dialect{}}).Reserve(context.Background(), &b.BackendServer, 100, time.Second)
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(begin)).To(BeNumerically("<", endlessTime))
			g.Expect(written.Load()).To(BeNumerically("<", maxEndlessBytes))
		})
	}
}

// TestEventsWithoutEndAreBounded guards against an event that a backend server never ends being kept in memory, and
// searched for its end from its start at each read.
func TestEventsWithoutEndAreBounded(t *testing.T) {
	for name, tt := range map[string]struct{ head, repeated string }{
		"data line":            {streamHead + "\r\nid: 1\ndata: ", "x"},
		"data lines":           {streamHead + "\r\nid: 1\n", "data: x\n"},
		"data lines in chunks": {streamHead + "Transfer-Encoding: chunked\r\n\r\n", "8\r\ndata: x\n\r\n"},
		"comments":             {streamHead + "\r\n", ": x\n"},
		"empty lines":          {streamHead + "\r\n", "\n"},
		"bytes without a line": {streamHead + "Content-Length: 99999999999\r\n\r\n", "x"},
		"later in the stream":  {streamHead + "\r\nid: 1\ndata: x\n\nid: 2\ndata: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var written atomic.Int64
			b := startBackend(t, endless(&written, tt.head, tt.repeated))
			ctx, cancel := context.WithTimeout(context.Background(), endlessTime)
			defer cancel()
			resp, err := (&conns.Conns{Dialect: platform.Dialect{}}).Send(ctx, &b.BackendServer, call("r1"), sardinerock.Attempt{Instance: b.ID, Remaining: time.Second}, nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Finish()
			reader := &conns.EventReader{Response: resp, ReadDeadline: func() time.Time { return time.Time{} }}
			for err == nil {
				_, err = reader.Next()
			}
			g.Expect(err).To(And(MatchError(conns.ErrIncomplete), MatchError(conns.ErrTooLarge)))
			g.Expect(resp.Err()).To(MatchError(conns.ErrTooLarge))
			g.Expect(written.Load()).To(BeNumerically("<", maxEndlessBytes))
		})
	}
}

// TestLargeResponsesPass guards against the bounds cutting proper responses: a long stream, a large event, a large body and many headers.
func TestLargeResponsesPass(t *testing.T) {
	event := "id: 1\ndata: " + strings.Repeat("x", 100<<10) + "\n\n"
	for name, tt := range map[string]struct{ head, body string }{
		"large body":   {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nResponse-Signature: s\r\nContent-Length: 67108864\r\n\r\n", strings.Repeat("x", 64<<20)},
		"large events": {streamHead + "\r\n", strings.Repeat(event, 100)},
		"many headers": {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nResponse-Signature: s\r\nContent-Length: 4\r\n" + strings.Repeat("Header: "+strings.Repeat("v", 100)+"\r\n", 300) + "\r\n", "body"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := startBackend(t, func(c net.Conn, r *http.Request) bool {
				write(tt.head)(c, r)
				_, err := io.WriteString(c, tt.body)
				return err == nil && name != "large events"
			})
			resp, err := (&conns.Conns{Dialect: platform.Dialect{}}).Send(context.Background(), &b.BackendServer, call("r1"), sardinerock.Attempt{Instance: b.ID, Remaining: time.Second}, nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Finish()
			if name != "large events" {
				body, err := io.ReadAll(resp)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(HaveLen(len(tt.body)))
				return
			}
			reader, events := &conns.EventReader{Response: resp, ReadDeadline: func() time.Time { return time.Time{} }}, 0
			for err == nil {
				var e conns.Event
				if e, err = reader.Next(); err == nil {
					g.Expect(e.Raw).To(HaveLen(len(event)))
					events++
				}
			}
			g.Expect(err).To(MatchError(conns.ErrUnproven))
			g.Expect(events).To(Equal(100))
		})
	}
}
