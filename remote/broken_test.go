package remote

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/fakes"
)

// serve answers each request with a script, which is given the connection and the request, and then closes the connection.
func serve(t *testing.T, play func(c *net.TCPConn, r *http.Request)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					play(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestMalformedResponseIsAnError guards against bytes that aren't a response of HTTP/1.1 counting as one of a plain service, of the
// log, or of an engine.
func TestMalformedResponseIsAnError(t *testing.T) {
	for client, tt := range map[string]struct {
		body string
		call func(t *testing.T, url string) error
	}{
		"service": {"body", func(t *testing.T, url string) error {
			_, err := (&Service{Sender{URL: url}}).Call(t.Context(), &sardinerock.ServiceRequest{Method: http.MethodPost, Path: "/x", Body: []byte("x")})
			return err
		}},
		"append": {`{"offset":7}`, func(t *testing.T, url string) error {
			_, err := (&Log{Sender: Sender{URL: url}}).Append(t.Context(), "s", []byte("x"))
			NewWithT(t).Expect(err).NotTo(MatchError(sardinerock.ErrLogRefused), "the record may be stored")
			return err
		}},
		"read": {`{"records":[]}`, func(t *testing.T, url string) error {
			_, err := (&Log{Sender: Sender{URL: url}}).Read(t.Context(), "s", 0, 0)
			return err
		}},
		"engine": {"data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n", func(t *testing.T, url string) error {
			_, err := (&Engine{Sender{URL: url}}).Generate(t.Context(), &sardinerock.EngineRequest{Path: "/x"}, func(sardinerock.Token) error { return nil })
			return err
		}},
		"report": {"{}", func(t *testing.T, url string) error {
			_, err := (&Engine{Sender{URL: url}}).Report(t.Context())
			return err
		}},
	} {
		for name, text := range fakes.Malformed("", tt.body) {
			if name == "trailer" && client != "service" {
				// These bodies mark their own end, and nothing after it is read.
				continue
			}
			t.Run(client+" "+name, func(t *testing.T) {
				err := tt.call(t, serve(t, func(c *net.TCPConn, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, text)
					c.Close()
				}))
				g := NewWithT(t)
				g.Expect(err).To(HaveOccurred())
				g.Expect(err).NotTo(MatchError(sardinerock.ErrNotSent))
			})
		}
	}
}

// TestConnectionAfterAMalformedHeadIsClosed guards against a connection being used again after what it brought wasn't a response.
func TestConnectionAfterAMalformedHeadIsClosed(t *testing.T) {
	g := NewWithT(t)
	used := make(chan string, 3)
	s := &Service{Sender{URL: serve(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		used <- c.RemoteAddr().String()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nOther : x\r\nContent-Length: 0\r\n\r\n")
	})}}
	for range 3 {
		_, err := s.Call(t.Context(), &sardinerock.ServiceRequest{Method: http.MethodGet, Path: "/x"})
		g.Expect(err).To(HaveOccurred())
	}
	first, second, third := <-used, <-used, <-used
	g.Expect([]string{second, third}).NotTo(ContainElement(first))
	g.Expect(second).NotTo(Equal(third))
}

// TestEarlyReplyThatIsResetIsAnError guards against a part of a reply without framing counting as one because the write of the
// request got the reset of the connection.
func TestEarlyReplyThatIsResetIsAnError(t *testing.T) {
	const pause = 50 * time.Millisecond
	for name, end := range map[string]func(c *net.TCPConn){
		"reset":             func(c *net.TCPConn) { time.Sleep(pause); _ = c.SetLinger(0); c.Close() },
		"unread data":       func(c *net.TCPConn) { time.Sleep(pause); c.Close() },
		"half closed first": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(pause); _ = c.SetLinger(0); c.Close() },
	} {
		for _, size := range []int{1 << 20, 12 << 20} {
			for _, length := range []string{"", "Content-Length: 4\r\n"} {
				t.Run(fmt.Sprint(name, " ", size, " ", length), func(t *testing.T) {
					url := serve(t, func(c *net.TCPConn, _ *http.Request) {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+length+"\r\npart")
						end(c)
					})
					for range 20 {
						reply, err := (&Service{Sender{URL: url}}).Call(t.Context(), &sardinerock.ServiceRequest{Method: http.MethodPost, Path: "/x", Body: []byte(strings.Repeat("u", size))})
						g := NewWithT(t)
						if length == "" {
							g.Expect(err).To(HaveOccurred())
							g.Expect(err).NotTo(MatchError(sardinerock.ErrNotSent))
							continue
						}
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(string(reply.Body)).To(Equal("part"))
					}
				})
			}
		}
	}
}
