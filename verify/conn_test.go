package verify_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/verify"
)

// pause is long enough for what was sent on loopback to arrive.
const pause = 50 * time.Millisecond

// connect returns both sides of a connection.
func connect(t *testing.T) (c *verify.Conn, other *net.TCPConn) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { raw.Close(); accepted.Close() })
	return verify.NewConn(raw), accepted.(*net.TCPConn)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// TestEndOfAConnection guards against a reset that looks like an orderly end, and against an orderly end that looks like a reset.
func TestEndOfAConnection(t *testing.T) {
	large := strings.Repeat("u", 12<<20)
	for name, tt := range map[string]struct {
		written string
		end     func(other *net.TCPConn)
		want    error
	}{
		"closed":                 {"", func(other *net.TCPConn) { other.Close() }, io.EOF},
		"closed after reading":   {"request", func(other *net.TCPConn) { _, _ = io.ReadFull(other, make([]byte, 7)); other.Close() }, io.EOF},
		"half closed":            {"request", func(other *net.TCPConn) { _ = other.CloseWrite() }, io.EOF},
		"read late":              {large, func(other *net.TCPConn) { time.Sleep(pause); _, _ = io.CopyN(io.Discard, other, 12<<20); other.Close() }, io.EOF},
		"reset":                  {"", reset, verify.ErrReset},
		"reset during a write":   {large, func(other *net.TCPConn) { time.Sleep(pause); reset(other) }, verify.ErrReset},
		"closed during a write":  {large, func(other *net.TCPConn) { time.Sleep(pause); other.Close() }, verify.ErrReset},
		"half closed, unread":    {strings.Repeat("u", 1<<20), func(other *net.TCPConn) { _ = other.CloseWrite() }, verify.ErrReset},
		"half closed, and reset": {"request", func(other *net.TCPConn) { _ = other.CloseWrite(); reset(other) }, verify.ErrReset},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, other := connect(t)
			go func() {
				_, _ = io.WriteString(other, "part")
				tt.end(other)
			}()
			_, _ = io.WriteString(c, tt.written)
			time.Sleep(pause)
			read, err := io.ReadAll(c)
			if tt.want == io.EOF { //nolint:errorlint // it stands for no error
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(c.CheckEnd()).To(Succeed())
				g.Expect(string(read)).To(Equal("part"))
				return
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(c.CheckEnd()).To(MatchError(tt.want))
		})
	}
}

// TestResetDuringARead guards against the same while a request is written and its response read at once.
func TestResetDuringARead(t *testing.T) {
	for range 200 {
		c, other := connect(t)
		go func() { _, _ = io.WriteString(c, strings.Repeat("u", 12<<20)) }()
		go func() {
			_, _ = io.WriteString(other, "part")
			time.Sleep(time.Millisecond)
			reset(other)
		}()
		_, err := io.ReadAll(c)
		NewWithT(t).Expect(err).To(HaveOccurred())
		c.Close()
	}
}
