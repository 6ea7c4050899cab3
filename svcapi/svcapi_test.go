package svcapi_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/calls"
	"github.com/sardinerock/sardinerock/remote"
	"github.com/sardinerock/sardinerock/svcapi"
)

// Guards against a reply of a plain service that has neither a length nor chunks, so that it may be cut off, reaching
// its caller as complete.
func TestReplyWithoutFramingIsNotStatedAsComplete(t *testing.T) {
	for name, tt := range map[string]struct {
		reply    string
		unframed bool
	}{
		"length":                     {reply: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
		"chunks":                     {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"HTTP/1.1 without framing":   {reply: "HTTP/1.1 200 OK\r\n\r\nbody", unframed: true},
		"HTTP/1.0 without framing":   {reply: "HTTP/1.0 200 OK\r\n\r\nbody", unframed: true},
		"empty body without framing": {reply: "HTTP/1.1 200 OK\r\n\r\n", unframed: true},
		"status without a body":      {reply: "HTTP/1.1 204 No Content\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				// A close with a part of the request unread would be a reset.
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, tt.reply)
			}()
			service := &remote.Service{Sender: remote.Sender{URL: "http://" + l.Addr().String()}}
			defer service.Close()
			reply, err := service.Call(t.Context(), &sardinerock.ServiceRequest{Method: http.MethodPost, Path: "/x"})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Unframed).To(Equal(tt.unframed))

			front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				svcapi.WriteReply(&calls.Exchange{W: w, R: r, Clock: time.Now, Limits: calls.Limits{WriteTimeout: time.Minute}}, reply)
			}))
			defer front.Close()
			resp, err := http.Get(front.URL)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal(reply.Body))
			g.Expect(resp.ContentLength < 0 && len(resp.TransferEncoding) == 0).To(Equal(tt.unframed))
		})
	}
}
