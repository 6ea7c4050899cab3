package intake

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// bytesPerByte and bytesPerLine are what is charged for each byte and each line of a head: net/http keeps the lines in a
	// map.
	bytesPerByte = 2
	bytesPerLine = 160
	// drainBytes and drainTime bound what is read from a client after it was rejected.
	drainBytes = 256 << 10
	drainTime  = 500 * time.Millisecond
	// retryAfterSeconds is when clients may come back whose requests were rejected before they were understood.
	retryAfterSeconds = "1"
	// writeTimeout is how long a write to a client may take.
	writeTimeout = 10 * time.Second
)

// errHeadRejected ends the reading of a head that was answered here. It is a time-out, which net/http doesn't answer.
var errHeadRejected net.Error = headError{}

type headError struct{}

func (headError) Error() string { return "head rejected" }

// Timeout implements net.Error.
func (headError) Timeout() bool { return true }

// Temporary implements net.Error.
func (headError) Temporary() bool { return false }

// isTimeout reports whether a deadline has passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.phase.Load() != phaseHead {
		return n, err
	}
	if n > 0 {
		if status, why := c.receiveHead(b[:n]); status != 0 {
			c.listener.reject(why)
			c.rejectHead(status)
			if status == http.StatusRequestHeaderFieldsTooLarge {
				c.drain(b)
			}
			return 0, errHeadRejected
		}
	}
	if err != nil && isTimeout(err) && c.headBytes > 0 {
		if !c.mustYield() {
			c.listener.reject(reasonHead)
			return n, err
		}
		c.rejectHead(http.StatusServiceUnavailable)
		return 0, errHeadRejected
	}
	return n, err
}

// receiveHead checks and charges a part of a head. It returns the status with which the head is rejected, or 0.
func (c *Conn) receiveHead(part []byte) (status int, why reason) {
	now := time.Now()
	limits := c.listener.limits()
	if c.headBytes == 0 {
		if !c.holder.Begin(now) {
			return http.StatusServiceUnavailable, reasonConnections
		}
		timeout := HeadTimeout
		if limits.HeaderTimeout > 0 {
			timeout = min(limits.HeaderTimeout+headMargin, MaxHeadTimeout)
		}
		c.headDeadline = now.Add(timeout)
		_ = c.SetReadDeadline(c.headDeadline)
	}
	c.headBytes += len(part)
	if limits.MaxHeaderBytes > 0 && c.headBytes > limits.MaxHeaderBytes+readAhead {
		return http.StatusRequestHeaderFieldsTooLarge, reasonHead
	}
	charge := int64(bytesPerByte*len(part) + bytesPerLine*bytes.Count(part, []byte{'\n'}))
	if !c.take(charge) {
		return http.StatusServiceUnavailable, reasonMemory
	}
	c.headCharge += charge
	return 0, ""
}

// chargeHeader charges the lines of a head that was received together with an earlier request. It reports whether there
// is memory for it.
func (c *Conn) chargeHeader(h http.Header) bool {
	lines := 0
	for _, values := range h {
		lines += len(values)
	}
	missing := int64(bytesPerLine*lines) - c.headCharge
	return missing <= 0 || c.take(missing)
}

// rejectHead answers a head that isn't complete.
func (c *Conn) rejectHead(status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + retryAfterSeconds + "\r\n"
	}
	// An error means that the client has disconnected.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
}

// drain reads what a client still sends after it was rejected into b, so that it receives the response before its
// connection is reset.
func (c *Conn) drain(b []byte) {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(drainTime)) != nil {
		return
	}
	for read := 0; read < drainBytes; {
		n, err := c.Conn.Read(b)
		if err != nil {
			return
		}
		read += n
	}
}

func (c *Conn) mustYield() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasYielded
}
